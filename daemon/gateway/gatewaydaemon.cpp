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

/** Part of the grace period after which new requests are refused, so that long ones can be finished. */
constexpr double acceptPart = 0.5;

/** Part of the grace period after which the process ends, whatever is still in hand. */
constexpr double endPart = 0.93;

/** Period in which the shutdown looks whether everything is finished. */
constexpr milliseconds finishPoll{50};

/** Period in which the settings file is looked at; it may change without a signal. */
constexpr milliseconds settingsPeriod{5000};

milliseconds partOf(milliseconds whole, double part)
{
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(whole.count()) * part));
}

}

gateway_daemon::gateway_daemon(platform::platform_settings settings, std::string file, std::uint16_t metricsPort)
    : m_settings(std::move(settings))
    , m_file(std::move(file))
    , m_metricsPort(metricsPort)
    , m_path(m_context, m_settings, [this] { return m_control.isViewSuspect(); })
    , m_control(m_context, m_settings, [this](const fleet_view_ptr &view) { m_path.install(view); })
    , m_operators(m_context, m_path, m_control)
{
}

result_code gateway_daemon::listenForOperators()
{
    if (m_settings.api.port != 0) {
        const result_code code = m_operators.listen(m_settings.api);
        if (code != result_code::ok) {
            return code;
        }
    }
    return m_metricsPort == 0 ? result_code::ok : m_operators.listen({m_settings.host, m_metricsPort});
}

int gateway_daemon::run()
{
    if (m_path.start() != result_code::ok || m_control.start() != result_code::ok
        || listenForOperators() != result_code::ok) {
        log_line("entry_not_started").add("code", infoOf(result_code::port_in_use).name).warn();
        return exitPortInUse;
    }
    startLoop(m_context, "settings", [this] { return watchSettings(); });
    startLoop(m_context, "signals", [this] { return awaitSignal(); });
    log_line("entry_started")
        .add("entry", m_settings.vmName)
        .add("zone", m_settings.zone)
        .add("traffic", toString(m_settings.traffic))
        .info();
    runContext(m_context, "entry");
    log_line("entry_stopped").add("entry", m_settings.vmName).add("store_calls", m_control.storeCalls()).info();
    return 0;
}

asio::awaitable<void> gateway_daemon::awaitSignal()
{
    asio::signal_set signals(m_context, SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        const auto [error, number] = co_await signals.async_wait(asTuple);
        if (error) {
            co_return;
        }
        if (number != SIGHUP) {
            break;
        }
        reloadSettings("SIGHUP");
    }
    co_await leave();
    m_context.stop();
}

asio::awaitable<void> gateway_daemon::watchSettings()
{
    for (;;) {
        co_await sleepUntil(steady::now() + settingsPeriod);
        reloadSettings("period");
    }
}

void gateway_daemon::reloadSettings(const char *reason)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, platform::readPlatformSettings(m_file));
            if (settings == m_settings) {
                return {};
            }
            // Addresses are bound at the start; the rest holds from now on.
            const bool moved = settings.traffic != m_settings.traffic || settings.store != m_settings.store;
            m_settings.seedHosts = settings.seedHosts;
            m_settings.bounds = settings.bounds;
            log_line("settings_reloaded")
                .add("reason", reason)
                .add("seeds", settings.seedHosts.size())
                .add("restart_needed", moved ? "true" : "false")
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

asio::awaitable<void> gateway_daemon::leave()
{
    const time_point start = steady::now();
    log_line("entry_leaving").add("entry", m_settings.vmName).info();
    m_path.startLeaving();
    m_control.startLeaving();
    co_await sleepUntil(start + partOf(m_settings.bounds.stopGrace, acceptPart));
    m_path.refuseNew();
    const time_point end = start + partOf(m_settings.bounds.stopGrace, endPart);
    bool stopped = false;
    while (steady::now() < end) {
        const bool idle = m_path.requestsInHand() == 0;
        if (idle && stopped && m_path.callerConnections() == 0) {
            co_return;
        }
        if (idle) {
            m_path.stop();
            // What is accepted last counts as a connection only when its task has begun.
            stopped = true;
        }
        co_await sleepUntil(steady::now() + finishPoll);
    }
}

}
