/**
 * @file
 * Shared state of the control thread.
 */
#pragma once

#include "entrysettings.h"
#include "trafficchannel.h"

#include "cardamomdeck/configlog/configstate.h"
#include "cardamomdeck/membership/peertable.h"
#include "cardamomdeck/platform/vmlist.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * The applied configuration, the state of the peers, and the last update that was sent to the
 * traffic thread. Not thread-safe: used on the control thread only.
 */
class control_state
{
public:
    /** Creates the state of the entry @p self; updates are sent through @p channel. */
    control_state(const entry_settings &settings, entry_member self, traffic_channel &channel);

    /** This entry as a member. */
    const entry_member &self() const;

    /** True when this incarnation of the entry is a member. */
    bool isMember() const;

    /** The configuration with all applied records. */
    const config_state &config() const;

    /** State of the peers. */
    const peer_table &peers() const;

    /** The last report of the traffic thread. */
    const traffic_report &report() const;

    /** Calls @p observer after each change of the configuration or the peers. */
    void onChange(std::function<void()> observer);

    /** Applies consecutive records. Records that are already applied, or that follow a gap, are skipped. */
    void ingest(const std::vector<log_record> &records);

    /** Replaces the configuration by the snapshot @p text if that is newer; otherwise ignores it. */
    void ingestSnapshot(const std::string &text);

    /** Records that all records up to the end of the log at @p asOf are applied, and updates the lease. */
    void confirmLogRead(time_point asOf);

    /** Sets whether the log service responds. */
    void setLogServiceReachable(bool reachable);

    /** True when the log service has responded to the last read. */
    bool isLogServiceReachable() const;

    /** Handles a peer's reply to a request that was sent at @p requestSentAt; updates the lease. */
    void handlePeerReply(const peer_message &message, time_point requestSentAt);

    /** Handles a request from a peer; does not update the lease. */
    void handlePeerRequest(const peer_message &message);

    /** A message for a peer that has applied records up to @p peerAppliedOffset. */
    peer_message messageFor(log_offset peerAppliedOffset) const;

    /** Sets the VM list; ignores @p list if it is not newer. */
    void setVmList(const vm_list &list);

    /** The newest VM list; version 0 before the first one is set. */
    const vm_list &vmList() const;

    /** Sets the last report of the traffic thread. */
    void setReport(const std::shared_ptr<const traffic_report> &report);

    /** Marks this entry as shutting down. */
    void startShutdown();

    /** True after startShutdown(). */
    bool isShuttingDown() const;

    /** Backend servers that are shutting down, with the source: "vm_list" or their own announcement, "announced". */
    std::map<std::string, std::string> shuttingDownBackends() const;

    /**
     * Entries that the drain of backend server @p name, stored at @p version, still waits for;
     * "(deadline)" when only unreported requests may be in flight; empty when drained.
     */
    std::vector<std::string> drainBlockers(const std::string &name, log_offset version) const;

    /** Sends an update to the traffic thread if anything has changed, and notifies the observer. */
    void publish();

private:
    void ingestRecord(const log_record &record);
    void ingestMessage(const peer_message &message);
    void configChanged();
    void updateLease();
    void addMissingRecords(peer_message &message, log_offset peerAppliedOffset) const;
    std::set<std::string> unavailableEntries() const;
    bool hasRecentNonMembers() const;
    bool canProbe() const;
    void updateProbeEligibility();
    std::vector<std::string> reportedDrainBlockers(const std::string &name, log_offset version) const;
    milliseconds longestTimeout(const std::string &service) const;

    const entry_settings &m_settings;
    entry_member m_self;
    traffic_channel &m_trafficChannel;
    config_state m_config;
    peer_table m_peers;
    std::deque<log_record> m_recentRecords;
    routing_view_ptr m_view;
    std::shared_ptr<const traffic_update> m_published;
    std::shared_ptr<const traffic_report> m_report;
    std::set<shutdown_announcement> m_localShutdownAnnouncements;
    vm_list m_vmList;
    std::function<void()> m_observer;
    bool m_logServiceReachable = false;
    bool m_shuttingDown = false;
    bool m_probingAllowed = false;
    std::size_t m_memberRank = 0;
    time_point m_probeNotBefore;
    /** Time of the last message from an entry that is not a member. */
    time_point m_lastNonMemberContactAt = time_point::min();
};

}
