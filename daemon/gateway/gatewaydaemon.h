/**
 * @file
 * Runs the daemon on the platform: joins control and traffic, and shuts down in order.
 */
#pragma once

#include "fleetcontrol.h"
#include "gatewaypath.h"
#include "operatorpage.h"

#include "cardamomdeck/platform/platformsettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace cardamomdeck {

/** The process on one VM of the platform. */
class gateway_daemon
{
public:
    /** Runs with @p settings, which were read from @p file; @p metricsPort is a further port for operators, or 0. */
    gateway_daemon(platform::platform_settings settings, std::string file, std::uint16_t metricsPort);

    /** Runs until SIGTERM or SIGINT; returns the exit code of the process. */
    int run();

private:
    boost::asio::awaitable<void> awaitSignal();
    boost::asio::awaitable<void> leave();
    boost::asio::awaitable<void> watchSettings();
    void reloadSettings(const char *reason);
    result_code listenForOperators();

    platform::platform_settings m_settings;
    std::string m_file;
    std::uint16_t m_metricsPort;
    boost::asio::io_context m_context{1};
    gateway_path m_path;
    fleet_control m_control;
    operator_page m_operators;
};

}
