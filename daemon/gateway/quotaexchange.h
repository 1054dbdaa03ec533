/**
 * @file
 * Admits requests within the quotas of their workspaces; exchanges the tokens with other entries.
 */
#pragma once

#include "controlplane.h"
#include "quotametrics.h"
#include "requesthistory.h"

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/fleet/fleetsizeestimate.h"
#include "cardamomdeck/fleet/fleetstate.h"
#include "cardamomdeck/fleet/fleetview.h"
#include "cardamomdeck/platform/platformsettings.h"
#include "cardamomdeck/quota/fleetreach.h"
#include "cardamomdeck/quota/quotaaccount.h"
#include "cardamomdeck/quota/quotaissuer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomdeck {

/**
 * Holds the tokens of this entry and issues those of the workspaces that it is the issuer of. While no workspace has a
 * limit it has no state and no timer, and sends nothing. Its times include suspensions of the machine, so that tokens
 * expire during one.
 */
class quota_exchange
{
public:
    /** Takes the members from @p controlPlane, and sends and receives by it. */
    quota_exchange(boost::asio::io_context &context,
                   const platform::platform_settings &settings,
                   control_plane &controlPlane);

    /** Installs the limits of a configuration. */
    void applyConfig(const traffic_config_ptr &config);

    /** Handles a datagram from the entry at @p host. */
    void handleDatagram(std::string_view datagram, const std::string &host);

    /**
     * Decides whether a request of @p workspace may run: at once if there are tokens or no limit, otherwise after the
     * response of the issuer, or quota_account::maxWait, or at @p deadline.
     */
    boost::asio::awaitable<quota_decision> admit(const workspace &workspace, time_point deadline);

    /** Returns the token of a request that was admitted and has certainly not run. */
    void giveBack(const std::string &workspace, const quota_decision &decision);

    /** Logs that the request @p id was rejected. */
    void logRejection(const std::string &id, const std::string &workspace, const quota_decision &decision);

    /** Log lines of the most recent rejected requests. */
    const request_history &rejections() const;

    /** State of all workspaces with a limit. */
    quota_status status() const;

private:
    /** A request that waits for a token; it is decided when @c decision is set. */
    struct waiting_request
    {
        explicit waiting_request(boost::asio::io_context &context)
            : timer(context)
        {
        }

        boost::asio::steady_timer timer;
        std::optional<quota_decision> decision;
    };

    using waiting_request_ptr = std::shared_ptr<waiting_request>;

    /** The tokens of one workspace and the requests that wait for them. */
    struct holding
    {
        holding(boost::asio::io_context &context, quota_account tokens)
            : account(std::move(tokens))
            , timer(context)
        {
        }

        quota_account account;
        std::deque<waiting_request_ptr> waiting;
        /** Expires at the next action of the account. */
        boost::asio::steady_timer timer;
        std::optional<time_point> nextActionAt;
    };

    /** Monotonic time that includes suspensions of the machine. */
    time_point now() const;
    /** The point of the timers' clock at which now() is @p at. */
    time_point timerTime(time_point at) const;
    holding *findHolding(const std::string &workspace);
    holding &openHolding(const std::string &workspace);
    static void decide(holding &held, const quota_decision &decision);
    void advance(const std::string &workspace, holding &held);
    void scheduleAction(const std::string &workspace, holding &held);
    void handle(const quota_message &message, const std::string &host);
    void send(const quota_messages &messages);
    void send(const addressed_quota_message &message);
    boost::asio::awaitable<void> tickLoop();
    void updateMembers();
    void sampleReach();
    /** Starts the next tick sooner if a claim ends before it. */
    void rescheduleTick();

    boost::asio::io_context &m_context;
    const platform::platform_settings &m_settings;
    control_plane &m_controlPlane;
    const fleet_state &m_state;
    random_source m_random;
    nanoseconds m_initialSuspension;
    time_point m_startedAt;
    quota_policy m_policy;
    quota_issuer m_issuer;
    fleet_reach m_reach;
    fleet_size_estimate m_sizeEstimate;
    fleet_reach::fleet_size m_size;
    double m_issuedShare = 1.0;
    issuer_order m_order;
    quota_limit_table m_limits;
    std::uint64_t m_configVersion = 0;
    std::map<std::string, holding> m_holdings;
    /** Addresses of the known members by name. */
    std::map<std::string, std::string> m_hosts;
    boost::asio::steady_timer m_tickTimer;
    time_point m_lastTickAt;
    time_point m_membersUpdatedAt;
    bool m_ticking = false;
    request_history m_rejections;
    quota_log_limiter m_logLimiter;
};

}
