/**
 * @file
 * Messages between the control thread and the traffic thread.
 */
#pragma once

#include "cardamomdeck/base/boundedring.h"
#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/membership/peermessage.h"
#include "cardamomdeck/routing/routingview.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Update from the control thread to the traffic thread. */
struct traffic_update
{
    routing_view_ptr view;
    /** Backend servers that are shutting down, from any source. */
    std::set<std::string> shuttingDownBackends;
    /** Entries that are not returned to callers. */
    std::set<std::string> unavailableEntries;
    /** This entry is a member that may use a share of the probe budgets from probeNotBefore on. */
    bool probingAllowed = false;
    /** Number of members whose names sort before this entry's; the first members get the shares. */
    std::size_t memberRank = 0;
    time_point probeNotBefore;
    /** This entry is shutting down. */
    bool shuttingDown = false;

    bool operator==(const traffic_update &) const = default;
};

/** State of one backend server for status responses. */
struct backend_status
{
    std::string name;
    std::string service;
    std::uint32_t inFlight = 0;
    /** "ready", "draining", "leaving", "ejected" or "on_trial". */
    std::string state;
    std::uint32_t consecutiveFailures = 0;

    bool operator==(const backend_status &) const = default;
};

/** Report from the traffic thread to the control thread. */
struct traffic_report
{
    log_offset installed = 0;
    /** Requests in flight by backend server; servers without any are left out. */
    std::map<std::string, std::uint32_t> inFlightByBackend;
    /** Backend servers that announced their shutdown in a response to a request or probe. */
    std::set<std::string> announcedShutdowns;
    /** Number of requests in flight in this entry. */
    std::uint64_t requestsInFlight = 0;
    /** Number of open connections of callers. */
    std::size_t callerConnections = 0;
    /** The traffic port is closed; callerConnections only decreases. */
    bool stopped = false;
    /** State of all backend servers, about a second old at most; null before the first update. */
    std::shared_ptr<const std::vector<backend_status>> backends;
    /** Metrics of the traffic thread in Prometheus text format. */
    std::string metrics;

    bool operator==(const traffic_report &) const = default;
};

/** Bounded ring that delivers its items to a handler on the consumer's thread. */
template<typename value_type>
class wakeup_ring
{
public:
    using item = std::shared_ptr<const value_type>;

    /** Creates a ring whose handler runs on @p consumer. */
    explicit wakeup_ring(boost::asio::io_context &consumer)
        : m_consumer(consumer)
        , m_ring(capacity)
    {
    }

    /** Sets the handler; call it before the first push. */
    void onItem(std::function<void(const item &)> handler)
    {
        m_handler = std::move(handler);
    }

    /** Queues @p value; returns false when the ring is full. */
    bool push(item value)
    {
        const bool pushed = m_ring.push(std::move(value));
        if (!m_wakePending.exchange(true)) {
            boost::asio::post(m_consumer, [this] { deliverAll(); });
        }
        return pushed;
    }

private:
    static constexpr std::size_t capacity = 1024;

    void deliverAll()
    {
        m_wakePending.store(false);
        item value;
        while (m_ring.pop(value)) {
            m_handler(value);
        }
    }

    boost::asio::io_context &m_consumer;
    bounded_ring<item> m_ring;
    std::function<void(const item &)> m_handler;
    std::atomic<bool> m_wakePending = false;
};

/** The rings and the view lease that the two threads share. */
struct traffic_channel
{
    /** Creates rings between the threads of @p control and @p traffic. */
    traffic_channel(boost::asio::io_context &control, boost::asio::io_context &traffic)
        : updates(traffic)
        , reports(control)
    {
    }

    wakeup_ring<traffic_update> updates;
    wakeup_ring<traffic_report> reports;
    /** End of the view lease, in ticks of the monotonic clock. */
    std::atomic<time_point::rep> leaseExpiresAt = time_point::min().time_since_epoch().count();

    /** True when the view lease is valid at @p now. */
    bool isLeaseValid(time_point now) const
    {
        return now.time_since_epoch().count() < leaseExpiresAt.load(std::memory_order_acquire);
    }
};

}
