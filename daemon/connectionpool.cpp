#include "connectionpool.h"

#include <iterator>

namespace cardamomdeck {

connection_pool::connection_pool(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

connection_ptr connection_pool::acquireIdle(const std::string &backend, time_point aliveSince)
{
    const auto found = m_idle.find(backend);
    if (found == m_idle.end()) {
        return nullptr;
    }
    std::vector<connection_ptr> &idle = found->second;
    while (!idle.empty()) {
        // The connection that was released last has the latest time at which it was alive.
        if (idle.back()->lastAliveAt() < aliveSince) {
            return nullptr;
        }
        connection_ptr connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReusable()) {
            return connection;
        }
    }
    return nullptr;
}

connection_ptr connection_pool::create() const
{
    return std::make_shared<http_connection>(m_executor);
}

void connection_pool::release(const std::string &backend, const connection_ptr &connection)
{
    if (connection->isIdle()) {
        m_idle[backend].push_back(connection);
    }
}

void connection_pool::drop(const std::string &backend)
{
    m_idle.erase(backend);
}

void connection_pool::dropStale(const std::string &backend, time_point aliveSince)
{
    const auto found = m_idle.find(backend);
    if (found == m_idle.end()) {
        return;
    }
    std::erase_if(found->second,
                  [&](const connection_ptr &connection) { return connection->lastAliveAt() < aliveSince; });
}

void connection_pool::dropAllStale(time_point aliveSince)
{
    for (auto position = m_idle.begin(); position != m_idle.end();) {
        dropStale(position->first, aliveSince);
        position = position->second.empty() ? m_idle.erase(position) : std::next(position);
    }
}

void connection_pool::dropUnusable()
{
    for (auto &[backend, idle] : m_idle) {
        std::erase_if(idle, [](const connection_ptr &connection) { return !connection->isReusable(); });
    }
}

void connection_pool::dropUnknown(const std::function<bool(const std::string &)> &isKnown)
{
    std::erase_if(m_idle, [&](const auto &item) { return !isKnown(item.first); });
}

std::size_t connection_pool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[backend, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

}
