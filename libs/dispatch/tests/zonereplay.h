/**
 * @file
 * Small simulation of availability zones: servers with slots and a queue, and entries that each see a part of them.
 */
#pragma once

#include "cardamomdeck/dispatch/proberatelimiter.h"
#include "cardamomdeck/dispatch/zoneoverflow.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace cardamomdeck {

/** How requests leave a zone. */
enum class leave_method {
    /** As without zone_overflow: servers of other zones cost a fixed share of the objective. */
    fixed_cost,
    /** zone_overflow without reports of peers. */
    own_probes,
    /** zone_overflow with reports of peers. */
    peer_totals,
    /** Without a server in the zone, a random zone by expected wait. */
    random_shares,
};

struct replay_rule
{
    std::string name;
    /** Share of the requests. */
    double share = 1;
    double serviceMs = 300;
    double bytes = 1500;
    std::uint32_t priority = 0;
};

struct replay_zone
{
    std::size_t servers = 16;
    /** Requests per second by time in seconds. */
    std::function<double(double)> rate;
    /** Servers that are lost at 20 s, and return at 60 s. */
    std::size_t lostServers = 0;
};

struct replay_scenario
{
    std::string name;
    std::vector<replay_zone> zones;
    std::vector<replay_rule> rules{replay_rule{"lookup"}};
    double durationS = 60;
    std::size_t entriesPerZone = 4;
    std::uint32_t slots = 6;
    std::uint32_t queue = 12;
    std::uint64_t seed = 1;
};

/** Requests of one zone's callers. */
struct zone_outcome
{
    std::size_t requests = 0;
    std::size_t inTime = 0;
    std::size_t crossed = 0;
    double crossedBytes = 0;
    std::map<std::string, std::size_t> crossedByRule;
    /** By second. */
    std::vector<std::size_t> requestsInSecond;
    std::vector<std::size_t> crossedInSecond;
    std::vector<std::size_t> inTimeInSecond;
    /** Mean share of the entries by second. */
    std::vector<double> shareInSecond;

    double inTimeShare() const
    {
        return static_cast<double>(inTime) / static_cast<double>(requests);
    }

    /** Share of the requests from second @p first until @p end that crossed. */
    double crossedShare(std::size_t first, std::size_t end) const;
};

/** Plays a scenario with one method. */
class zone_replay
{
public:
    zone_replay(const replay_scenario &scenario, leave_method method);
    ~zone_replay();

    /** Outcome by zone. */
    std::vector<zone_outcome> run();

private:
    struct server;
    struct entry;
    struct request;
    using request_ptr = std::shared_ptr<request>;

    void at(time_point time, std::function<void()> action);
    void scheduleArrival(std::size_t zone);
    void handleArrival(std::size_t zone);
    std::optional<backend_choice>
    probe(entry &self, std::vector<server *> &candidates, std::size_t count, const choice_request &choice);
    std::optional<backend_choice> probeOtherZones(entry &self, const leave_decision &leave, choice_request &choice);
    std::vector<server *> usableServers(const entry &self, bool sameZone, const std::string &firstZone);
    leave_decision decide(entry &self, const overflow_request &overflow, const replay_rule &rule);
    leave_decision leaveAtFixedCost(entry &self, const overflow_request &overflow, const replay_rule &rule);
    leave_decision leaveByOverflow(entry &self, const overflow_request &overflow, const replay_rule &rule);
    leave_decision leaveByExpectedWait(entry &self, const overflow_request &overflow, const replay_rule &rule);
    void send(entry &self, server &target, const replay_rule &rule, time_point arrivedAt);
    void enqueue(server &target, const request_ptr &sent);
    void start(server &target, const request_ptr &sent);
    void exchangeReports();
    void recordShares();
    std::map<std::string, double> slotsByZone() const;

    const replay_scenario &m_scenario;
    leave_method m_method;
    random_source m_random;
    time_point m_now;
    std::uint64_t m_sequence = 0;
    struct event
    {
        time_point time;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator>(const event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<server>> m_servers;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<zone_outcome> m_outcomes;
    std::vector<server *> m_probed;
    std::vector<backend_candidate> m_candidates;
};

}
