#include "cardamomdeck/base/logline.h"

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/logqueue.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdio>
#include <memory>

namespace cardamomdeck {

namespace {

std::unique_ptr<log4cplus::Initializer> &initializer()
{
    static std::unique_ptr<log4cplus::Initializer> instance;
    return instance;
}

std::unique_ptr<log_queue> &queue()
{
    static std::unique_ptr<log_queue> instance;
    return instance;
}

void writeLine(log_severity severity, const std::string &text)
{
    if (severity == log_severity::info) {
        LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), "level=info " << text);
    } else {
        LOG4CPLUS_WARN(log4cplus::Logger::getRoot(), "level=warn " << text);
    }
}

void enqueueLine(log_severity severity, const std::string &text)
{
    // There is no queue before logging is started and after it is stopped.
    if (queue()) {
        queue()->push(severity, text);
    }
}

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const unsigned char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f) {
            return true;
        }
    }
    return false;
}

void appendEscaped(std::string &text, unsigned char c)
{
    if (c == '"' || c == '\\') {
        text += '\\';
        text += static_cast<char>(c);
        return;
    }
    if (c >= ' ' && c < 0x7f) {
        text += static_cast<char>(c);
        return;
    }
    char escaped[5];
    std::snprintf(escaped, sizeof escaped, "\\x%02x", c);
    text += escaped;
}

}

log_line::log_line(std::string_view event)
{
    add("event", event);
}

log_line &log_line::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text += key;
    m_text += '=';
    if (!needsQuotes(value)) {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (const unsigned char c : value) {
        appendEscaped(m_text, c);
    }
    m_text += '"';
    return *this;
}

const std::string &log_line::text() const
{
    return m_text;
}

void log_line::info() const
{
    enqueueLine(log_severity::info, m_text);
}

void log_line::warn() const
{
    enqueueLine(log_severity::warn, m_text);
}

void startLogging(const std::string &level)
{
    initializer() = std::make_unique<log4cplus::Initializer>();
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(false, true));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(console);
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
    queue() = std::make_unique<log_queue>(writeLine);
}

std::uint64_t droppedLogLines()
{
    return queue() ? queue()->dropped() : 0;
}

void stopLogging()
{
    queue().reset();
}

}
