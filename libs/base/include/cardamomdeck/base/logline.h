/**
 * @file
 * Builds one log line of key=value pairs and hands it to log4cplus.
 */
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomdeck {

/**
 * One event. Values are quoted and escaped where needed, so that text from
 * outside can neither start a line nor add a key.
 */
class log_line
{
public:
    /** Starts the line of event @p event. */
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

    /** Writes the line at information level. */
    void info() const;

    /** Writes the line at warning level. */
    void warn() const;

private:
    std::string m_text;
};

/** Sends log lines to standard output; @p level is a log4cplus level name. */
void startLogging(const std::string &level);

/** Lines that were dropped since the start, because there were too many or the output was blocked. */
std::uint64_t droppedLogLines();

/** Writes the lines that wait; later ones are dropped. */
void stopLogging();

}
