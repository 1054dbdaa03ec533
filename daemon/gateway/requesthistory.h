/**
 * @file
 * The last requests of an entry, so that one can be explained by its id without the log.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace cardamomdeck {

/** What the log line of a request says. */
struct request_record
{
    std::string id;
    std::string text;

    bool operator==(const request_record &) const = default;
};

/** Keeps a bounded number of records. */
class request_history
{
public:
    /** Records that are kept; some tens of seconds at the usual load. */
    static constexpr std::size_t maxRecords = 512;

    /** Adds a record, and forgets the oldest when there are too many. */
    void add(request_record record);

    /** The texts of the records with @p id, oldest first. */
    std::vector<std::string> find(const std::string &id) const;

private:
    std::deque<request_record> m_records;
};

}
