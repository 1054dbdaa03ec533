/**
 * @file
 * Values that the control thread and the traffic thread hand each other.
 */
#pragma once

#include "cardamomdeck/base/boundedring.h"
#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/membership/peermessage.h"
#include "cardamomdeck/routing/routingview.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** What the traffic thread has to act on. */
struct traffic_update
{
    routing_view_ptr view;
    /** Back ends that are leaving, from any source. */
    std::set<std::string> shuttingDownBackends;
    /** Entries that callers should not be told to use. */
    std::set<std::string> unavailableEntries;
    /** This entry is a member and may use a share of the probe budgets from probeNotBefore on. */
    bool probingAllowed = false;
    /** Number of members whose names come before this entry's; shares go to the first ones. */
    std::size_t memberRank = 0;
    time_point probeNotBefore;
    /** This entry is shutting down. */
    bool shuttingDown = false;

    bool operator==(const traffic_update &) const = default;
};

/** State of one back end for status answers. */
struct backend_status
{
    std::string name;
    std::string service;
    std::uint32_t inFlight = 0;
    /** "ready", "draining", "leaving", "ejected" or "on_trial". */
    std::string state;
    std::uint32_t failureStreak = 0;

    bool operator==(const backend_status &) const = default;
};

/** What the traffic thread tells the control thread. */
struct traffic_report
{
    log_offset installed = 0;
    /** Requests in flight by back end; back ends without any are left out. */
    std::map<std::string, std::uint32_t> inFlightByBackend;
    /** Back ends that announced their shutdown in an answer or probe. */
    std::set<std::string> announcedShutdowns;
    /** Requests that this entry holds. */
    std::uint64_t requestsInFlight = 0;
    /** State of all back ends, as of at most a second ago; null before the first. */
    std::shared_ptr<const std::vector<backend_status>> backends;
    /** Metrics of the traffic thread in text format. */
    std::string metrics;

    bool operator==(const traffic_report &) const = default;
};

/** Bounded ring that wakes a handler on the consumer's thread. */
template<typename value_type>
class wakeup_ring
{
public:
    using item = std::shared_ptr<const value_type>;

    /** Delivers to handlers that run on @p consumer. */
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

    /** Hands over @p value; false when the ring is full. */
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

/** The rings and the lease that join the two threads. */
struct traffic_channel
{
    /** Rings between the threads of @p control and @p traffic. */
    traffic_channel(boost::asio::io_context &control, boost::asio::io_context &traffic)
        : updates(traffic)
        , reports(control)
    {
    }

    wakeup_ring<traffic_update> updates;
    wakeup_ring<traffic_report> reports;
    /** End of the view lease, in ticks of the monotonic clock. */
    std::atomic<time_point::rep> leaseExpiresAt = time_point::min().time_since_epoch().count();

    /** True while the view lease holds at @p now. */
    bool isLeaseValid(time_point now) const
    {
        return now.time_since_epoch().count() < leaseExpiresAt.load(std::memory_order_acquire);
    }
};

}
