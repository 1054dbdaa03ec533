/**
 * @file
 * Reads the configuration stream, keeps this entry a member, and writes snapshots.
 */
#pragma once

#include "controlstate.h"

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/platform/logservice.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace cardamomdeck {

/** Everything that this entry reads from, and appends to, the platform on its own account. */
class config_log_client
{
public:
    /** Follows @p log for @p state on @p context. */
    config_log_client(boost::asio::io_context &context,
                      const entry_settings &settings,
                      control_state &state,
                      log_service &log);

    /** Starts the loops. */
    void start();

    /** Appends one change to the configuration stream. Errors: store_unavailable. */
    boost::asio::awaitable<result_code> append(config_change value, time_point deadline);

    /** Leaves the membership; gives up at @p deadline. */
    boost::asio::awaitable<void> leave(time_point deadline);

    /** An id for a change that no other entry will use. */
    std::string newChangeId();

private:
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<bool> readRecords();
    boost::asio::awaitable<void> readSnapshot();
    boost::asio::awaitable<void> membershipLoop();
    boost::asio::awaitable<void> join();
    boost::asio::awaitable<void> evictSilentMember();
    std::string memberToEvict() const;
    boost::asio::awaitable<void> snapshotLoop();
    boost::asio::awaitable<void> writeSnapshot();
    boost::asio::awaitable<void> vmListLoop();
    boost::asio::awaitable<void> appendAndAwait(config_change value);
    bool canJoin() const;
    bool isMembershipAccepted() const;
    bool isVmListed(const std::string &vm) const;

    boost::asio::io_context &m_context;
    const entry_settings &m_settings;
    control_state &m_state;
    log_service &m_log;
    random_source m_random;
    /** Offset of the configuration that the newest known snapshot contains. */
    log_offset m_snapshotOffset = 0;
    log_offset m_nextSnapshotRecord = 1;
    time_point m_startedAt;
    std::uint64_t m_changeCount = 0;
};

}
