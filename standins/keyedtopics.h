/**
 * @file
 * Keyed topics of the platform's store, as the stand-in provides them.
 */
#pragma once

#include "cardamomdeck/http/httpserver.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cardamomdeck {

/** Handles the calls log-append, log-read and log-newest for topics with one partition. */
class keyed_topics
{
public:
    /** Returns the response to @p request, or nothing if it is a different call. */
    std::optional<http_response> handleCall(const http_request &request);

    /** Deletes all records from the history; the newest record of each key stays. */
    void compact();

    /** Keeps a copy of all topics for restore(). */
    void copy();

    /** Returns to the last copy, or to empty topics without one. Records written since are lost, and the era rises. */
    void restore();

    /** Sets whether responses tell the era. */
    void setTellsEra(bool tells);

    /** Returns the number of calls handled so far. */
    std::uint64_t callCount() const;

private:
    struct topic
    {
        std::uint64_t startOffset = 0;
        std::deque<std::string> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

        std::uint64_t endOffset() const
        {
            return startOffset + records.size();
        }
    };

    std::optional<http_response> respond(const http_request &request);
    http_response append(topic &keyedTopic, const std::string &body);
    http_response read(const topic &keyedTopic, std::uint64_t from) const;
    http_response newest(const topic &keyedTopic, const std::string &after) const;

    std::map<std::string, topic> m_topics;
    std::map<std::string, topic> m_copiedTopics;
    std::uint64_t m_era = 1;
    bool m_tellsEra = true;
    std::uint64_t m_callCount = 0;
};

}
