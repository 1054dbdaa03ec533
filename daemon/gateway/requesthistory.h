/**
 * @file
 * Log lines of an entry's most recent requests, so that a request can be looked up by id without the log.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Log line of a request. */
struct request_record
{
    std::string id;
    std::string text;

    bool operator==(const request_record &) const = default;
};

/** Keeps the records of a bounded number of requests. */
class request_history
{
public:
    /** Maximum number of records; covers some tens of seconds at the usual load. */
    static constexpr std::size_t maxRecords = 512;

    /** Adds a record, and removes the oldest one when there are more than maxRecords. */
    void add(request_record record);

    /** The texts of the records with @p id, oldest first. */
    std::vector<std::string> find(const std::string &id) const;

private:
    std::deque<request_record> m_records;
};

}
