#include "gatewaydaemon.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr int exitPortInUse = 3;

/** Share of the grace period after which new requests are rejected, so that long ones can be finished. */
constexpr double acceptShare = 0.5;

/** Share of the grace period after which the process exits, even with requests in flight. */
constexpr double exitShare = 0.93;

/** Time before the exit in which responses are written. */
constexpr milliseconds lastResponsesTime{100};

/** Interval at which the shutdown checks whether all requests and connections are finished. */
constexpr milliseconds shutdownCheckPeriod{50};

/** Interval at which the settings file is reloaded, because it may change without a signal. */
constexpr milliseconds settingsReloadPeriod{5000};

milliseconds shareOf(milliseconds duration, double share)
{
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(duration.count()) * share));
}

}

gateway_daemon::gateway_daemon(platform::platform_settings settings,
                               std::string settingsFile,
                               std::uint16_t metricsPort)
    : m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_metricsPort(metricsPort)
    , m_dataPlane(m_context, m_settings, [this] { return m_controlPlane.isViewPossiblyStale(); })
    , m_controlPlane(m_context,
                     m_settings,
                     [this](const fleet_view_ptr &view) {
                         m_quotas.applyConfig(view->config);
                         m_dataPlane.applyView(view);
                     })
    , m_quotas(m_context, m_settings, m_controlPlane)
    , m_adminServer(m_context, m_dataPlane, m_controlPlane, m_quotas)
{
    m_dataPlane.setQuotas(m_quotas);
}

result_code gateway_daemon::startAdminServer()
{
    if (m_settings.apiAddress.port != 0) {
        const result_code code = m_adminServer.listen(m_settings.apiAddress);
        if (code != result_code::ok) {
            return code;
        }
    }
    return m_metricsPort == 0 ? result_code::ok : m_adminServer.listen({m_settings.host, m_metricsPort});
}

int gateway_daemon::run()
{
    if (m_dataPlane.start() != result_code::ok || m_controlPlane.start() != result_code::ok
        || startAdminServer() != result_code::ok) {
        log_line("entry_not_started").add("code", infoOf(result_code::port_in_use).name).warn();
        return exitPortInUse;
    }
    startLoop(m_context, "settings", [this] { return watchSettings(); });
    startLoop(m_context, "signals", [this] { return handleSignals(); });
    log_line("entry_started")
        .add("entry", m_settings.vmName)
        .add("zone", m_settings.zone)
        .add("traffic", toString(m_settings.trafficAddress))
        .info();
    runContext(m_context, "entry");
    log_line("entry_stopped").add("entry", m_settings.vmName).add("store_calls", m_controlPlane.storeCalls()).info();
    return 0;
}

asio::awaitable<void> gateway_daemon::handleSignals()
{
    asio::signal_set signals(m_context, SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        const auto [error, signalNumber] = co_await signals.async_wait(asTuple);
        if (error) {
            co_return;
        }
        if (signalNumber != SIGHUP) {
            break;
        }
        reloadSettings("SIGHUP");
    }
    co_await shutDown();
    m_context.stop();
}

asio::awaitable<void> gateway_daemon::watchSettings()
{
    for (;;) {
        co_await sleepUntil(steady::now() + settingsReloadPeriod);
        reloadSettings("period");
    }
}

void gateway_daemon::reloadSettings(const char *reason)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, platform::readPlatformSettings(m_settingsFile));
            if (settings == m_settings) {
                return {};
            }
            // Addresses are bound only at startup; seed hosts and fleet limits take effect now.
            const bool restartNeeded = settings.trafficAddress != m_settings.trafficAddress
                                       || settings.storeAddress != m_settings.storeAddress;
            m_settings.seedHosts = settings.seedHosts;
            m_settings.fleetLimits = settings.fleetLimits;
            log_line("settings_reloaded")
                .add("reason", reason)
                .add("seeds", settings.seedHosts.size())
                .add("restart_needed", restartNeeded ? "true" : "false")
                .info();
            return {};
        },
        [&](const failure &error) {
            log_line("settings_rejected")
                .add("code", infoOf(error.code).name)
                .add("reason", reason)
                .add("detail", error.detail)
                .warn();
        },
        [] {});
}

asio::awaitable<void> gateway_daemon::shutDown()
{
    const time_point startedAt = steady::now();
    log_line("entry_leaving").add("entry", m_settings.vmName).info();
    const time_point exitAt = startedAt + shareOf(m_settings.fleetLimits.terminationGracePeriod, exitShare);
    m_dataPlane.startShutdown(exitAt - lastResponsesTime);
    m_controlPlane.startShutdown();
    co_await sleepUntil(startedAt + shareOf(m_settings.fleetLimits.terminationGracePeriod, acceptShare));
    m_dataPlane.rejectNewRequests();
    bool stoppedAccepting = false;
    while (steady::now() < exitAt) {
        const bool idle = m_dataPlane.requestsInFlight() == 0;
        if (idle && stoppedAccepting && m_dataPlane.callerConnections() == 0) {
            co_return;
        }
        if (idle) {
            m_dataPlane.stopAccepting();
            // The last accepted connection is counted only once its task has started, so this checks again.
            stoppedAccepting = true;
        }
        co_await sleepUntil(steady::now() + shutdownCheckPeriod);
    }
}

}
