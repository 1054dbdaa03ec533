/**
 * @file
 * The view of the fleet that one entry builds from the store and from its peers; does no I/O.
 */
#pragma once

#include "cardamomdeck/fleet/backendregistry.h"
#include "cardamomdeck/fleet/confighistory.h"
#include "cardamomdeck/fleet/evacuationtable.h"
#include "cardamomdeck/fleet/fleetsizeestimate.h"
#include "cardamomdeck/fleet/fleetview.h"
#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/fleetmessage.h"
#include "cardamomdeck/fleet/readschedule.h"

#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * Result of a store read, which sees everything written before @c startedAt. The configuration and the backend servers
 * are in different parts of the store, each of which can be unavailable on its own.
 */
struct store_read_result
{
    time_point startedAt;
    bool configRead = true;
    bool backendsRead = true;
    /** The newest configuration, if the read returned one. */
    std::optional<config_source> config;
    topic_position configEnd;
    /** Evacuations of the part of the store with the configuration. */
    std::vector<evacuation_record> evacuations;
    /** That part was listed completely; evacuations that are not listed have ended. */
    bool completeConfigListing = false;
    std::vector<backend_record> backends;
    topic_position backendsEnd;
    /** The records are a complete listing; servers that are not in it have been removed. */
    bool completeListing = false;
};

/** Merges store reads, heartbeats and view responses into one view. The configuration version never decreases. */
class fleet_state
{
public:
    /**
     * View age above which a store outage is assumed; without an outage every entry reads the store before its view is
     * that old.
     */
    static constexpr milliseconds storeOutageThreshold{2200};

    /**
     * Time in which a relayed update reaches all entries of a large fleet. Until then the others do not relay what they
     * read, because most of it is in that update, and copies of it would crowd the links of small VMs.
     */
    static constexpr milliseconds relayTime{600};

    /** Maximum time by which a relayed update that is under way delays a read; it is longer than the stagger. */
    static constexpr milliseconds maxReadDelay{250};

    /** Creates the state of the entry @p self. */
    explicit fleet_state(fleet_member self);

    /**
     * Applies a store read; returns true when the view changed. Only a read of both parts refreshes the view. A part
     * that was read in an era before that of the view counts as not read.
     */
    bool applyStoreRead(const store_read_result &readResult, time_point now);

    /** Outcome of applying a heartbeat. */
    struct heartbeat_result
    {
        /**
         * The sender's view should be requested because it has changes or members that this entry lacks. An entry
         * without a complete view does not request a view older than storeOutageThreshold, which may contain rules and
         * servers that have been removed since, unless one of its own store reads has failed.
         */
        bool shouldRequestView = false;
        /** Time at which the sender's view was still current, if the heartbeat states its age. */
        std::optional<time_point> announcedFreshAt;
        /** The sender is new, was not alive or has changed. */
        bool memberChanged = false;
        /** The heartbeat carried backend changes that changed the view. */
        bool viewChanged = false;
        /** The heartbeat changed the evacuated zones; it may come from an entry without a complete view. */
        bool evacuationsChanged = false;
        /** Known later incarnation of the sender, which must be sent to it; see member_table::laterIncarnation(). */
        std::optional<fleet_member> laterIncarnation;
    };

    /**
     * Applies a heartbeat. The position of a sender that has not noticed a restored store, or that is of an earlier
     * version and knows no eras, confirms nothing.
     */
    heartbeat_result applyHeartbeat(const heartbeat_message &message, time_point now);

    /**
     * Applies a peer's response to a view request; returns true when the view changed. @p config is the restored
     * configuration, if any. @p freshAt is the time that the heartbeat that caused the request announced; the response
     * itself has no age.
     */
    bool applyViewResponse(const view_response &response,
                           std::optional<config_source> config,
                           std::optional<time_point> freshAt,
                           time_point now);

    /** A request for the changes after the position of this view. */
    view_request makeViewRequest() const;

    /** The response to a peer's view request. */
    view_response makeViewResponse(const view_request &request, time_point now);

    /**
     * The text of a configuration that a peer sent, or none when it is not newer than the installed one. After an error
     * the next view request is for the full text. Errors: as config_history::restore().
     */
    boost::leaf::result<std::optional<std::string>> restoreConfig(const config_update &configUpdate);

    /** A heartbeat with only the position and the age of the view at @p now. */
    heartbeat_message basicHeartbeat(time_point now) const;

    /** The periodic heartbeat within the zone, with gossip about the next members. */
    heartbeat_message heartbeat(time_point now);

    /** The periodic heartbeat to other zones, with gossip about members of the own zone. */
    heartbeat_message crossZoneHeartbeat(time_point now);

    /** A heartbeat with the backend changes after @p before, if they fit. */
    heartbeat_message heartbeatWithChanges(const view_position &before, time_point now) const;

    /**
     * The changes after @p before, when they have to be relayed because heartbeatWithChanges() cannot carry them to a
     * large fleet; otherwise none.
     */
    std::optional<view_update> makeViewUpdate(const view_position &before, time_point now);

    /** Messages that pass changes on to the other entries. */
    struct change_announcement
    {
        /** To be sent to all of them; also tells that the view is current. */
        heartbeat_message heartbeat;
        /** To be relayed, see makeViewUpdate(). */
        std::optional<view_update> update;
    };

    /**
     * Announces the changes that a store read has brought after @p before. Returns none while another entry relays an
     * update; the changes are then part of the next announcement, except those of evacuations, which are announced at
     * once.
     */
    std::optional<change_announcement> announceChanges(const view_position &before, time_point now);

    /** Applies a relayed view update; returns true when the view changed. */
    bool applyViewUpdate(const view_update &update, std::optional<config_source> config, time_point now);

    /**
     * True when a view at @p position has no changes that this view lacks. A view that has been listed beyond the end
     * of this one may have some, see backend_registry::listedUpTo().
     */
    bool isUpToDateWith(const view_position &position) const;

    /**
     * Removes members without heartbeats and ends grace periods of servers; returns true when usable servers changed.
     */
    bool expire(time_point now);

    /**
     * Handles the end of a pause of the process at @p now: the next read is due at once, and the view counts as
     * possibly stale.
     */
    void recordProcessResumed(time_point now);

    /** Maximum time after a pause during which the view counts as possibly stale; a store read takes about 20 ms. */
    static constexpr milliseconds maxPossiblyStaleTime{200};

    /**
     * True after a pause of this process until a store read or a peer confirms the view, a read fails, or
     * maxPossiblyStaleTime has passed.
     */
    bool isPossiblyStale(time_point now) const;

    /** Starts the graceful shutdown of this entry. */
    void startShutdown();

    /** Time at which the next store read of this entry is due. */
    time_point nextRead(time_point now) const;

    /** Time at which the view was last known to be complete. */
    time_point freshAt() const;

    /** End of the last pause of this process. */
    time_point resumedAt() const;

    /** Largest number of entries known recently, see fleet_size_estimate; recorded by expire(). */
    std::size_t knownEntries(time_point now) const;

    /** Position of this view. */
    view_position position() const;

    /** True if the next read must list all backend servers, see backend_registry::listingNeededAt(). */
    bool needsBackendListing(time_point now) const;

    /** True once a complete view has been read or received. */
    bool isComplete() const;

    /** Evacuations of availability zones. */
    const evacuation_table &evacuations() const;

    /** Records that the members have been read from the store. */
    void recordMembershipKnown();

    /** True once a peer or the store has provided the members. */
    bool hasMembership() const;

    /** The view as one immutable value. */
    fleet_view_ptr view(time_point now) const;

    member_table &members();
    const member_table &members() const;

private:
    bool installConfig(config_source source);
    void updateReadiness();
    void recordFresh(time_point at, time_point now);
    bool applyBackends(const store_read_result &readResult, time_point now);
    /** True if the sender of @p message should be asked for its members. */
    bool shouldRequestMembers(const heartbeat_message &message, time_point now);
    /** Applies the backend servers of a peer's view; see view_response::completeBackends. */
    bool applyPeerBackends(const view_response &response, time_point now);
    /** True if @p position is from an era of the store before that of this view. */
    bool isOfEarlierEra(const view_position &position) const;
    /** Raises m_configEnd to @p end; a lower position is ignored. */
    void advanceConfigTo(const topic_position &end, time_point now);
    bool applyEvacuations(const store_read_result &readResult);
    /** Applies the table of a peer with the view @p peerPosition; returns true when the evacuated zones changed. */
    bool applyPeerEvacuations(const std::vector<evacuation_record> &records,
                              const view_position &peerPosition,
                              time_point now);
    /** Number of members in a heartbeat that has room for @p maxMembers of them without evacuations. */
    std::size_t gossipLimit(std::size_t maxMembers) const;
    /** Announces evacuations alone if a read has changed them, while the changes after @p announced are deferred. */
    std::optional<change_announcement> announceEvacuations(const view_position &announced, time_point now);
    bool fitsHeartbeat(const std::vector<backend_record> &records) const;
    void confirmAnnouncedView(time_point now);
    bool canBootstrapFrom(milliseconds age) const;

    /** Position of a newer view that a peer announced, and the time at which that view was known to be complete. */
    struct announced_view
    {
        view_position position;
        time_point freshAt;
    };

    member_table m_members;
    backend_registry m_backends;
    read_schedule m_schedule;
    fleet_size_estimate m_sizeEstimate;
    traffic_config_ptr m_config = std::make_shared<traffic_config>();
    config_history m_configHistory;
    /** A delta could not be applied; the next view request is for the full configuration. */
    bool m_fullConfigNeeded = false;
    topic_position m_configEnd;
    evacuation_table m_evacuations;
    /** A read has changed the evacuated zones, and no announcement has followed. */
    bool m_evacuationsUnannounced = false;
    bool m_complete = false;
    /** Start of the last store read of this entry. */
    time_point m_lastReadAt;
    /** Start of the last failed store read; none if no read has failed. */
    std::optional<time_point> m_failedReadAt;
    /** End of the last pause of this process. */
    time_point m_resumedAt;
    std::optional<announced_view> m_announcedView;
    /** End of the time in which the last update that another entry relays is under way. */
    time_point m_relayEndsAt;
    /** Position after which changes were read and not announced. */
    std::optional<view_position> m_unannouncedAfter;
    time_point m_nextMemberRequestAt;
    bool m_membershipKnown = false;
};

}
