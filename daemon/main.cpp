/**
 * @file
 * Entry daemon: starts the control thread and the traffic thread and runs until SIGTERM or SIGINT.
 */
#include "controlstate.h"
#include "entrysettings.h"
#include "gateway/gatewaydaemon.h"
#include "configlogclient.h"
#include "peerexchange.h"
#include "reverseproxy.h"
#include "resourceapi.h"
#include "tracesink.h"
#include "trafficchannel.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/model/resource.h"
#include "cardamomdeck/platform/httplogservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace cardamomdeck {

namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr int exitInvalidSetting = 2;
constexpr int exitPortInUse = 3;

/**
 * Maximum time that the shutdown waits for connections of callers after the traffic port is closed: that of the longest
 * request, and of writing its response.
 */
constexpr milliseconds maxConnectionWait = maxServiceTimeout + milliseconds(15'000);

/** Owns all components of the daemon and runs them. */
class entry_daemon
{
public:
    explicit entry_daemon(const entry_settings &settings)
        : m_settings(settings)
        , m_trafficChannel(m_control, m_traffic)
        , m_traces(settings.name, settings.traceFile)
        , m_log(m_control.get_executor(), settings.logService)
        , m_state(settings, makeSelf(settings), m_trafficChannel)
        , m_proxy(m_traffic, settings, m_trafficChannel, m_traces)
        , m_configLogClient(m_control, settings, m_state, m_log)
        , m_exchange(m_control, settings, m_state)
        , m_api(m_control, settings, m_state, m_configLogClient, m_exchange, m_traces)
    {
        m_trafficChannel.reports.onItem([this](const auto &report) { m_state.setReport(report); });
        m_state.onChange([this] { pollPeersOnChange(); });
    }

    int run()
    {
        if (m_proxy.start() != result_code::ok) {
            return reportPortInUse(m_settings.traffic);
        }
        if (m_api.start() != result_code::ok) {
            return reportPortInUse(m_settings.api);
        }
        if (m_exchange.start() != result_code::ok) {
            return reportPortInUse(m_settings.peer);
        }
        m_configLogClient.start();
        startLoop(m_control, "signals", [this] { return awaitSignal(); });
        log_line("entry_started")
            .add("entry", m_settings.name)
            .add("traffic", toString(m_settings.traffic))
            .add("api", toString(m_settings.api))
            .info();
        std::thread trafficThread([this] { runContext(m_traffic, "traffic"); });
        runContext(m_control, "control");
        trafficThread.join();
        log_line("entry_stopped").add("entry", m_settings.name).info();
        return 0;
    }

private:
    static entry_member makeSelf(const entry_settings &settings)
    {
        const auto incarnation = static_cast<std::uint64_t>(unixMilliseconds());
        return {settings.name, settings.zone, incarnation, settings.traffic, settings.api, settings.peer};
    }

    static int reportPortInUse(const socket_address &address)
    {
        log_line("port_in_use")
            .add("code", static_cast<int>(result_code::port_in_use))
            .add("address", toString(address))
            .warn();
        return exitPortInUse;
    }

    /** Polls the peers at once if the message to them has changed: new records, installations, shutdowns, drains. */
    void pollPeersOnChange()
    {
        peer_message message = m_state.messageFor(m_state.config().appliedOffset());
        if (!(message == m_lastPeerMessage)) {
            m_lastPeerMessage = std::move(message);
            m_exchange.pollSoon();
        }
    }

    /** True if a request is in flight or may still arrive: open connections of callers are served until they end. */
    static bool isServing(const traffic_report &report)
    {
        return !report.stopped || report.requestsInFlight > 0 || report.callerConnections > 0;
    }

    asio::awaitable<void> awaitSignal()
    {
        asio::signal_set signals(m_control, SIGTERM, SIGINT);
        co_await signals.async_wait(asTuple);
        co_await shutDown();
        m_traffic.stop();
        m_control.stop();
    }

    /**
     * Graceful shutdown: removes this entry from address responses, waits until callers have refreshed
     * them, closes the traffic port, waits until all connections of callers have ended, and leaves the membership.
     */
    asio::awaitable<void> shutDown()
    {
        log_line("entry_leaving").add("entry", m_settings.name).info();
        m_state.startShutdown();
        asio::steady_timer timer(m_control);
        timer.expires_at(steady::now() + m_settings.shutdownDelay);
        co_await timer.async_wait(asTuple);
        asio::post(m_traffic, [this] { m_proxy.stop(); });
        const time_point deadline = steady::now() + maxConnectionWait;
        constexpr milliseconds reportPollInterval{100};
        do {
            timer.expires_at(steady::now() + reportPollInterval);
            co_await timer.async_wait(asTuple);
        } while (isServing(m_state.report()) && steady::now() < deadline);
        constexpr milliseconds leaveTimeout{1500};
        co_await m_configLogClient.leave(steady::now() + leaveTimeout);
    }

    const entry_settings &m_settings;
    asio::io_context m_control{1};
    asio::io_context m_traffic{1};
    traffic_channel m_trafficChannel;
    trace_sink m_traces;
    http_log_service m_log;
    control_state m_state;
    reverse_proxy m_proxy;
    config_log_client m_configLogClient;
    peer_exchange m_exchange;
    resource_api m_api;
    peer_message m_lastPeerMessage;
};

void printSettingError(const std::string &errorText)
{
    const log_line line = log_line("setting_invalid")
                              .add("code", static_cast<int>(result_code::setting_invalid))
                              .add("detail", errorText);
    std::fprintf(stderr, "%s\n", line.text().c_str());
}

int runGateway(const entry_settings &settings)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(platformSettings, platform::readPlatformSettings(settings.platformSettingsFile));
            if (settings.checkOnly) {
                return 0;
            }
            gateway_daemon daemon(
                platformSettings, settings.platformSettingsFile, settings.metricsPort, settings.zoneOverflow);
            return daemon.run();
        },
        [](const failure &error) {
            printSettingError(error.detail);
            return exitInvalidSetting;
        },
        [] { return exitInvalidSetting; });
}

int runDaemon(int argc, char **argv)
{
    const parsed_settings parsed = readSettings(argc, argv);
    if (!parsed.errors.empty()) {
        for (const std::string &errorText : parsed.errors) {
            printSettingError(errorText);
        }
        return exitInvalidSetting;
    }
    if (parsed.settings.checkOnly && parsed.settings.platformSettingsFile.empty()) {
        return 0;
    }
    startLogging(parsed.settings.logLevel);
    int exitCode = 0;
    if (!parsed.settings.platformSettingsFile.empty()) {
        exitCode = runGateway(parsed.settings);
    } else {
        entry_daemon daemon(parsed.settings);
        exitCode = daemon.run();
    }
    stopLogging();
    return exitCode;
}

}

}

int main(int argc, char **argv)
{
    const int exitCode = cardamomdeck::runDaemon(argc, argv);
    // The log has been written. quick_exit() skips the destructors of log4cplus, which wait for its thread pool and
    // may never return.
    std::fflush(nullptr);
    std::quick_exit(exitCode);
}
