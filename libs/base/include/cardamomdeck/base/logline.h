/**
 * @file
 * Log lines of key=value pairs, written by log4cplus.
 */
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomdeck {

/**
 * Log line of one event. Values are quoted and escaped where needed, so that
 * untrusted text can neither start a new line nor add a key.
 */
class log_line
{
public:
    /** Creates a line for the event @p event. */
    explicit log_line(std::string_view event);

    /** Appends @p key with a text value. */
    log_line &add(std::string_view key, std::string_view value);

    /** Appends @p key with a numeric value. */
    template<typename number>
    requires std::integral<number> || std::floating_point<number> log_line &add(std::string_view key, number value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }

    /** The line without its end-of-line character. */
    const std::string &text() const;

    /** Queues the line at info level. Does nothing unless logging has been started. */
    void info() const;

    /** Queues the line at warning level. Does nothing unless logging has been started. */
    void warn() const;

private:
    std::string m_text;
};

/** Starts to write log lines to standard output; @p level is a log4cplus level name. */
void startLogging(const std::string &level);

/** Number of lines dropped since logging was started, by the rate limit or because the output was blocked. */
std::uint64_t droppedLogLines();

/** Writes the queued lines and stops logging; later lines are dropped. */
void stopLogging();

}
