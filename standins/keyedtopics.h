/**
 * @file
 * Keyed topics of the platform's store, for the stand-in.
 */
#pragma once

#include "cardamomdeck/http/httpserver.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cardamomdeck {

/** Answers the calls log-append, log-read and log-newest for topics with one partition. */
class keyed_topics
{
public:
    /** The answer to @p request, or nothing when it is another call. */
    std::optional<http_response> answer(const http_request &request);

    /** Deletes all records; the newest of each key stay. */
    void compact();

    /** Calls answered so far. */
    std::uint64_t calls() const;

private:
    struct topic
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

        std::uint64_t end() const
        {
            return first + records.size();
        }
    };

    http_response append(topic &target, const std::string &body);
    http_response read(const topic &target, std::uint64_t from) const;
    http_response newest(const topic &target, const std::string &after) const;

    std::map<std::string, topic> m_topics;
    std::uint64_t m_calls = 0;
};

}
