/**
 * @file
 * What one entry knows of the fleet, from the store and from its peers; makes no I/O.
 */
#pragma once

#include "cardamomdeck/fleet/backendregistry.h"
#include "cardamomdeck/fleet/confighistory.h"
#include "cardamomdeck/fleet/fleetview.h"
#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/peernotice.h"
#include "cardamomdeck/fleet/readschedule.h"

#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * A read of the store that began at a time and saw everything written before it. The configuration and the back ends
 * lie in different parts of the store, either of which may be away alone.
 */
struct store_reading
{
    time_point startedAt;
    bool configRead = true;
    bool backendsRead = true;
    /** The newest configuration, if the read brought one. */
    std::optional<config_source> config;
    store_offset configEnd = 0;
    std::vector<backend_record> backends;
    store_offset backendsEnd = 0;
    /** The records are a complete listing; servers that it lacks are gone. */
    bool completeListing = false;
};

/** Folds readings, notices and answers; versions of the configuration only rise. */
class fleet_state
{
public:
    /** Age of the view above which the store counts as having been away: one that every entry reads before. */
    static constexpr milliseconds outageAge{2200};

    /** The state of the entry @p self. */
    explicit fleet_state(fleet_member self);

    /** Takes over what was read; true when the view changed. The view is as fresh as a read of both parts. */
    bool applyReading(const store_reading &reading, time_point now);

    /** What follows from a heartbeat. */
    struct hearing
    {
        /**
         * The sender knows more than this entry, and should be asked. An entry that starts does not ask for a view as
         * old as in an outage, which may name what has been withdrawn since, unless it cannot read the store itself.
         */
        bool ask = false;
        /** Something about the sender changed. */
        bool memberChanged = false;
        /** The notice brought changes of backend servers. */
        bool viewChanged = false;
        /** A later incarnation of the sender that is known, which the sender must hear of. */
        std::optional<fleet_member> laterSender;
    };

    /** Takes over a heartbeat. */
    hearing hear(const peer_notice &notice, time_point now);

    /** Takes over a peer's answer to a question that was asked at @p askedAt; true when the view changed. */
    bool applyAnswer(const view_answer &answer,
                     std::optional<config_source> config,
                     std::optional<milliseconds> age,
                     time_point askedAt,
                     time_point now);

    /** The question for what is newer than this view. */
    view_question question() const;

    /** Answers a peer's question. */
    view_answer answer(const view_question &question, time_point now);

    /**
     * The text of a configuration that a peer sent, or nothing when it is not newer than the known one. After an error
     * the next question asks for it whole. Errors: as config_history::restore().
     */
    boost::leaf::result<std::optional<std::string>> restoreConfig(const config_transfer &transfer);

    /** How much is known and how old it is, at @p now. */
    peer_notice notice(time_point now) const;

    /** The regular heartbeat within the own zone: a notice with some of the members heard of. */
    peer_notice heartbeat(time_point now);

    /** The regular heartbeat to other zones, with members of the own zone. */
    peer_notice farHeartbeat(time_point now);

    /** A notice with the changes after @p before, if they are few. */
    peer_notice news(const view_position &before, time_point now) const;

    /** What is new after @p before, when it must be handed on because news() cannot carry it to a large fleet. */
    std::optional<view_push> push(const view_position &before, time_point now);

    /** Takes over news that were handed on; true when the view changed. */
    bool applyPush(const view_push &push, std::optional<config_source> config, time_point now);

    /** True when nothing at @p position is new. */
    bool knows(const view_position &position) const;

    /** Forgets lapsed servers and silent members; true when the view changed. */
    bool expire(time_point now);

    /** Makes the next read due at once, and older views untrusted: the process did not run until @p now. */
    void notePaused(time_point now);

    /** Longest time after a pause for which a view from before it is suspect; a read of the store takes some 20 ms. */
    static constexpr milliseconds suspicionTime{200};

    /** True for a moment after a pause of this process, until the view has been read anew or a read has failed. */
    bool isSuspect(time_point now) const;

    /** This entry begins to shut down. */
    void startLeaving();

    /** When this entry should read the store. */
    time_point nextRead(time_point now) const;

    /** The last moment at which the view was known to be complete. */
    time_point freshAt() const;

    /** How much is known. */
    view_position position() const;

    /** True once a complete view has been read or received. */
    bool isComplete() const;

    /** Notes that the members have been learned from the store. */
    void noteIntroduced();

    /** True once a peer or the store has named the members. */
    bool isIntroduced() const;

    /** The view as one immutable value. */
    fleet_view_ptr view(time_point now) const;

    member_table &members();
    const member_table &members() const;

private:
    bool installConfig(config_source source);
    void updateReadiness();
    void noteFresh(time_point at, time_point now);
    bool applyBackends(const store_reading &reading, time_point now);
    bool fitsNotice(const std::vector<backend_record> &records) const;
    void noteAwaited(time_point now);
    bool mayStartFrom(milliseconds age) const;

    /** A newer view that was announced, and when it was known to be complete. */
    struct awaited_view
    {
        view_position position;
        time_point freshAt;
    };

    member_table m_members;
    backend_registry m_backends;
    read_schedule m_schedule;
    traffic_config_ptr m_config = std::make_shared<traffic_config>();
    config_history m_configTexts;
    /** A change could not be applied; the configuration is asked for whole. */
    bool m_wholeConfigWanted = false;
    store_offset m_configEnd = 0;
    bool m_complete = false;
    /** When the last read of the store that failed had begun; none if none has failed. */
    std::optional<time_point> m_failedReadAt;
    /** End of the last pause of this process. */
    time_point m_resumedAt;
    std::optional<awaited_view> m_awaited;
    time_point m_askMembersAfter;
    bool m_introduced = false;
};

}
