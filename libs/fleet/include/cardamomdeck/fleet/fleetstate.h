/**
 * @file
 * What one entry knows of the fleet, from the store and from its peers; makes no I/O.
 */
#pragma once

#include "cardamomdeck/fleet/backendregistry.h"
#include "cardamomdeck/fleet/confighistory.h"
#include "cardamomdeck/fleet/fleetview.h"
#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/fleetmessage.h"
#include "cardamomdeck/fleet/readschedule.h"

#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * A read of the store that began at a time and saw everything written before it. The configuration and the back ends
 * lie in different parts of the store, either of which may be away alone.
 */
struct store_read_result
{
    time_point startedAt;
    bool configRead = true;
    bool backendsRead = true;
    /** The newest configuration, if the read brought one. */
    std::optional<config_source> config;
    store_offset configEndOffset = 0;
    std::vector<backend_record> backends;
    store_offset backendsEndOffset = 0;
    /** The records are a complete listing; servers that it lacks are gone. */
    bool completeListing = false;
};

/** Folds readings, notices and answers; versions of the configuration only rise. */
class fleet_state
{
public:
    /** Age of the view above which the store counts as having been away: one that every entry reads before. */
    static constexpr milliseconds storeOutageThreshold{2200};

    /** The state of the entry @p self. */
    explicit fleet_state(fleet_member self);

    /** Takes over what was read; true when the view changed. The view is as fresh as a read of both parts. */
    bool applyStoreRead(const store_read_result &reading, time_point now);

    /** What follows from a heartbeat. */
    struct heartbeat_result
    {
        /**
         * The sender knows more than this entry, and should be asked. An entry that starts does not ask for a view as
         * old as in an outage, which may name what has been withdrawn since, unless it cannot read the store itself.
         */
        bool shouldRequestView = false;
        /** Something about the sender changed. */
        bool memberChanged = false;
        /** The notice brought changes of backend servers. */
        bool viewChanged = false;
        /** A later incarnation of the sender that is known, which the sender must hear of. */
        std::optional<fleet_member> laterIncarnation;
    };

    /** Takes over a heartbeat. */
    heartbeat_result applyHeartbeat(const heartbeat_message &notice, time_point now);

    /** Takes over a peer's answer to a question that was asked at @p askedAt; true when the view changed. */
    bool applyViewResponse(const view_response &answer,
                           std::optional<config_source> config,
                           std::optional<milliseconds> age,
                           time_point askedAt,
                           time_point now);

    /** The question for what is newer than this view. */
    view_request makeViewRequest() const;

    /** Answers a peer's question. */
    view_response makeViewResponse(const view_request &question, time_point now);

    /**
     * The text of a configuration that a peer sent, or nothing when it is not newer than the known one. After an error
     * the next question asks for it whole. Errors: as config_history::restore().
     */
    boost::leaf::result<std::optional<std::string>> restoreConfig(const config_update &transfer);

    /** How much is known and how old it is, at @p now. */
    heartbeat_message basicHeartbeat(time_point now) const;

    /** The regular heartbeat within the own zone: a notice with some of the members heard of. */
    heartbeat_message heartbeat(time_point now);

    /** The regular heartbeat to other zones, with members of the own zone. */
    heartbeat_message crossZoneHeartbeat(time_point now);

    /** A notice with the changes after @p before, if they are few. */
    heartbeat_message heartbeatWithChanges(const view_position &before, time_point now) const;

    /** What is new after @p before, when it must be handed on because news() cannot carry it to a large fleet. */
    std::optional<view_update> makeViewUpdate(const view_position &before, time_point now);

    /** Takes over news that were handed on; true when the view changed. */
    bool applyViewUpdate(const view_update &push, std::optional<config_source> config, time_point now);

    /** True when nothing at @p position is new. */
    bool isUpToDateWith(const view_position &position) const;

    /** Forgets lapsed servers and silent members; true when the view changed. */
    bool expire(time_point now);

    /** Makes the next read due at once, and older views untrusted: the process did not run until @p now. */
    void noteProcessResumed(time_point now);

    /** Longest time after a pause for which a view from before it is suspect; a read of the store takes some 20 ms. */
    static constexpr milliseconds maxPossiblyStaleTime{200};

    /** True for a moment after a pause of this process, until the view has been read anew or a read has failed. */
    bool isPossiblyStale(time_point now) const;

    /** This entry begins to shut down. */
    void startShutdown();

    /** When this entry should read the store. */
    time_point nextRead(time_point now) const;

    /** The last moment at which the view was known to be complete. */
    time_point freshAt() const;

    /** How much is known. */
    view_position position() const;

    /** True once a complete view has been read or received. */
    bool isComplete() const;

    /** Notes that the members have been learned from the store. */
    void noteMembershipKnown();

    /** True once a peer or the store has named the members. */
    bool hasMembership() const;

    /** The view as one immutable value. */
    fleet_view_ptr view(time_point now) const;

    member_table &members();
    const member_table &members() const;

private:
    bool installConfig(config_source source);
    void updateReadiness();
    void noteFresh(time_point at, time_point now);
    bool applyBackends(const store_read_result &reading, time_point now);
    bool fitsHeartbeat(const std::vector<backend_record> &records) const;
    void confirmAnnouncedView(time_point now);
    bool canBootstrapFrom(milliseconds age) const;

    /** A newer view that was announced, and when it was known to be complete. */
    struct announced_view
    {
        view_position position;
        time_point freshAt;
    };

    member_table m_members;
    backend_registry m_backends;
    read_schedule m_schedule;
    traffic_config_ptr m_config = std::make_shared<traffic_config>();
    config_history m_configHistory;
    /** A change could not be applied; the configuration is asked for whole. */
    bool m_fullConfigNeeded = false;
    store_offset m_configEndOffset = 0;
    bool m_complete = false;
    /** When the last read of the store that failed had begun; none if none has failed. */
    std::optional<time_point> m_failedReadAt;
    /** End of the last pause of this process. */
    time_point m_resumedAt;
    std::optional<announced_view> m_announcedView;
    time_point m_nextMemberRequestAt;
    bool m_membershipKnown = false;
};

}
