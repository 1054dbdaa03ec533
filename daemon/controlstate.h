/**
 * @file
 * State that the parts of the control thread share.
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

/** The folded configuration, the peers, and what the traffic thread was told. Used on the control thread only. */
class control_state
{
public:
    /** The state of the entry @p self. */
    control_state(const entry_settings &settings, entry_member self, traffic_channel &link);

    /** This entry as a member. */
    const entry_member &self() const;

    /** True when this incarnation of the entry is a member. */
    bool isMember() const;

    /** The folded configuration. */
    const config_state &config() const;

    /** What is known about the peers. */
    const peer_table &peers() const;

    /** The last report of the traffic thread. */
    const traffic_report &report() const;

    /** Calls @p observer after each change of the configuration or the peers. */
    void onChange(std::function<void()> observer);

    /** Folds consecutive records; those already folded, or beyond a gap, are skipped. */
    void ingest(const std::vector<log_record> &records);

    /** Replaces the configuration by a snapshot that is newer; an older one is ignored. */
    void ingestSnapshot(const std::string &text);

    /** Notes that all records up to the log's end at @p asOf are folded. */
    void confirmLogRead(time_point asOf);

    /** Notes whether the log service answers. */
    void setLogServiceReachable(bool reachable);

    /** True when the last read of the log service was answered. */
    bool isLogServiceReachable() const;

    /** Handles a message of a peer: a reply to a request sent at @p askedAt, or a request. */
    void handlePeerReply(const peer_message &message, time_point askedAt);

    /** @copydoc heardReply */
    void handlePeerRequest(const peer_message &message);

    /** A message for a peer that has folded records up to @p peerApplied. */
    peer_message messageFor(log_offset peerApplied) const;

    /** Takes a newer VM list. */
    void setVmList(const vm_list &list);

    /** The newest VM list; version 0 before the first. */
    const vm_list &vmList() const;

    /** Takes a report of the traffic thread. */
    void setReport(const std::shared_ptr<const traffic_report> &report);

    /** Marks this entry as shutting down. */
    void startShutdown();

    /** True after startLeaving(). */
    bool isShuttingDown() const;

    /** Back ends that are leaving according to the VM list or their own signs, with the source. */
    std::map<std::string, std::string> shuttingDownBackends() const;

    /** Who a drain of back end @p name, put at @p version, still waits for; empty when drained. */
    std::vector<std::string> drainBlockers(const std::string &name, log_offset version) const;

    /** Hands the traffic thread what has changed. */
    void publish();

private:
    void ingestRecord(const log_record &record);
    void ingestMessage(const peer_message &message);
    void configChanged();
    void updateLease();
    void addMissingRecords(peer_message &message, log_offset peerApplied) const;
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
    /** When an entry that is not a member was last heard. */
    time_point m_nonMemberHeardAt = time_point::min();
};

}
