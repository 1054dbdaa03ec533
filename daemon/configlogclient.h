/**
 * @file
 * Client of the platform log service: configuration stream, membership and snapshots.
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

/**
 * Reads the configuration stream, keeps this entry in the membership, evicts unresponsive
 * members, writes snapshots, and polls the VM list.
 */
class config_log_client
{
public:
    /** Applies the records of @p log to @p state; the loops run on @p context. */
    config_log_client(boost::asio::io_context &context,
                      const entry_settings &settings,
                      control_state &state,
                      log_service &log);

    /** Starts the loops. */
    void start();

    /** Appends one change to the configuration stream. Errors: store_unavailable. */
    boost::asio::awaitable<result_code> append(config_change change, time_point deadline);

    /** Removes this entry from the membership, with retries until @p deadline. */
    boost::asio::awaitable<void> leave(time_point deadline);

    /** A change id that is unique among all entries: name, incarnation and a counter. */
    std::string newChangeId();

private:
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<bool> readRecords();
    boost::asio::awaitable<void> readSnapshot();
    boost::asio::awaitable<void> membershipLoop();
    boost::asio::awaitable<void> join();
    boost::asio::awaitable<void> evictUnresponsiveMember();
    std::string memberToEvict() const;
    boost::asio::awaitable<void> snapshotLoop();
    boost::asio::awaitable<void> writeSnapshot();
    boost::asio::awaitable<void> vmListLoop();
    boost::asio::awaitable<void> appendAndAwait(config_change change);
    bool canJoin() const;
    bool isMembershipAccepted() const;
    bool isVmListed(const std::string &vm) const;

    boost::asio::io_context &m_context;
    const entry_settings &m_settings;
    control_state &m_state;
    log_service &m_log;
    random_source m_random;
    /** Configuration offset of the newest known snapshot. */
    log_offset m_snapshotOffset = 0;
    log_offset m_nextSnapshotRecord = 1;
    time_point m_startedAt;
    std::uint64_t m_changeCount = 0;
};

}
