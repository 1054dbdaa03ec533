/**
 * @file
 * Replays the load of a fleet through the quota classes, with messages that are delivered in memory.
 */
#pragma once

#include "cardamomdeck/fleet/fleetsizeestimate.h"
#include "cardamomdeck/quota/fleetreach.h"
#include "cardamomdeck/quota/quotaaccount.h"
#include "cardamomdeck/quota/quotaissuer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck::replay {

/** Tolerances of the rule. */
inline constexpr milliseconds window{5000};
inline constexpr double excess = 0.1;
inline constexpr double slack = 20;

/** Start of each replay. */
inline constexpr time_point startTime{seconds(1000)};

/** Conditions of a replay. */
struct fleet_options
{
    std::size_t entries = 137;
    std::uint64_t seed = 1;
    /** Share of the messages that are lost, and of those that arrive twice. */
    double lossRate = 0;
    double duplicationRate = 0;
    /** Share of the messages that arrive up to two seconds late. */
    double lateRate = 0;
    /** All entries start at the start of the replay; otherwise they have been running for long. */
    bool justStarted = false;
    quota_policy policy = quota_policy::forTolerance(window, excess, slack);
};

/** A workspace's load. */
struct workload
{
    std::string workspace;
    /** Usual requests per second. */
    double rate = 0;
    /** Numbers of the entries that its callers are connected to, and the share of each. */
    std::vector<std::pair<std::size_t, double>> callers;
};

/** The usual load: 85 workspaces whose sizes follow a Zipf distribution and whose callers use few entries each. */
std::vector<workload> usualLoad(std::size_t entries, std::uint64_t seed);

/** The limit of a workspace that usually sends @p rate requests per second. */
quota_limit limitFor(double rate);

/** A fleet with its callers. */
class quota_fleet
{
public:
    explicit quota_fleet(fleet_options options);
    ~quota_fleet();
    quota_fleet(const quota_fleet &) = delete;
    quota_fleet &operator=(const quota_fleet &) = delete;

    /** Installs @p limits in all entries, at a random time within @p spread from now. */
    void setLimits(const quota_limit_table &limits, milliseconds spread = milliseconds(0));

    /** Adds a workspace's load. */
    void addLoad(const workload &load);

    /** Adds the usual load of the @p workspaces largest workspaces, with limits of 1.6 times the usual rates. */
    void addUsualLoad(std::size_t workspaces = 85);

    /** Multiplies the load of @p workspace by @p factor from now on. */
    void setLoadFactor(const std::string &workspace, double factor);

    /** Runs the replay for @p span. */
    void run(milliseconds span);

    /** Ends an entry without notice. Its callers use other entries. */
    void kill(std::size_t entry);

    /** Starts an entry that was killed. */
    void start(std::size_t entry);

    /** No request that is admitted before @p at runs: no server accepts it, and its token is returned then. */
    void returnTokensAt(time_point at);

    /** The entry runs nothing for @p span; what arrives meanwhile waits, or is dropped after a long pause. */
    void pause(std::size_t entry, milliseconds span);

    /** Puts entries into parts that cannot reach each other. Only @p partWithStore stays in contact with the store. */
    void split(const std::vector<std::size_t> &cutOff, bool keepStoreContact = false);

    /** Ends the split. */
    void heal();

    /** Cuts the link between two entries in both directions. */
    void cutLink(std::size_t a, std::size_t b);

    /** The entries @p viewers do not know of @p entry, while all can reach each other. */
    void hide(std::size_t entry, const std::vector<std::size_t> &viewers);

    /** The store is out of contact for all entries. */
    void setStoreAvailable(bool available);

    /** The first entry in the issuer order of @p workspace, and the others after it. */
    std::vector<std::size_t> issuersOf(const std::string &workspace) const;

    /** Number of entries that issue tokens for @p workspace. */
    std::size_t issuerCount(const std::string &workspace) const;

    time_point now() const;

    /** Requests of one workspace that ran and that were refused. */
    struct result
    {
        std::vector<time_point> admitted;
        std::vector<time_point> refused;
        milliseconds longestWait{0};
    };
    const result &resultOf(const std::string &workspace) const;

    /** Refused requests of all workspaces as a share of all requests, between two times. */
    double refusedShare(time_point since, time_point until = time_point::max()) const;

    /** Requests of @p workspace that ran between two times. */
    std::size_t admittedBetween(const std::string &workspace, time_point from, time_point to) const;
    std::size_t refusedBetween(const std::string &workspace, time_point from, time_point to) const;

    /** Number of messages sent, and their bytes. */
    std::uint64_t messages() const;
    std::uint64_t messageBytes() const;

    /** The limits in force. */
    const quota_limit_table &limits() const;

    /** Largest number of requests in a window minus what the rule permits, over all windows that end after @p since. */
    double excessOf(const std::string &workspace, time_point since = startTime) const;
    /** The largest value of excessOf() of all workspaces. */
    double largestExcess(time_point since = startTime) const;

private:
    struct node;
    struct event
    {
        time_point at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void schedule(time_point at, std::function<void()> run);
    void send(std::size_t from, const addressed_quota_message &message);
    void deliver(std::size_t from, std::size_t to, const quota_message &message);
    void sendAll(std::size_t from, const quota_messages &messages);
    void startNode(std::size_t index, bool running);
    void updateView(std::size_t index);
    void updateViewsLater(milliseconds earliest, milliseconds latest);
    void scheduleTick(std::size_t index);
    void keepHouse(std::size_t index, std::uint64_t incarnation);
    void installLimits(std::size_t index);
    bool canReach(std::size_t from, std::size_t to) const;
    void arrive(const std::string &workspace, std::size_t caller, std::uint64_t generation);
    void scheduleArrival(const std::string &workspace, std::size_t caller);
    void request(std::size_t index, const std::string &workspace);
    void advance(std::size_t index, const std::string &workspace);
    void record(std::size_t index, const std::string &workspace, const quota_decision &decision, time_point arrivedAt);
    double unit();
    milliseconds between(milliseconds earliest, milliseconds latest);

    fleet_options m_options;
    random_source m_random;
    time_point m_now = startTime;
    std::uint64_t m_lastEvent = 0;
    /** A heap; the next event is the first. */
    std::vector<event> m_events;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::map<std::string, std::size_t> m_numbers;
    quota_limit_table m_limits;
    struct load_state
    {
        workload load;
        double factor = 1;
        std::uint64_t generation = 0;
    };
    std::map<std::string, load_state> m_loads;
    std::map<std::string, result> m_results;
    std::vector<std::pair<std::size_t, std::size_t>> m_cutLinks;
    /** Pairs of an entry and one that does not know of it. */
    std::set<std::pair<std::size_t, std::size_t>> m_hidden;
    bool m_storeAvailable = true;
    time_point m_returnTokensAt;
    std::uint64_t m_messages = 0;
    std::uint64_t m_messageBytes = 0;
};

}
