/**
 * @file
 * Runs the daemon on the platform: joins control and traffic, and shuts down in order.
 */
#pragma once

#include "fleetcontrol.h"
#include "gatewaypath.h"

#include "cardamomdeck/platform/platformsettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace cardamomdeck {

/** The process on one VM of the platform. */
class gateway_daemon
{
public:
    explicit gateway_daemon(const platform::platform_settings &settings);

    /** Runs until SIGTERM or SIGINT; returns the exit code of the process. */
    int run();

private:
    boost::asio::awaitable<void> awaitSignal();
    boost::asio::awaitable<void> leave();

    const platform::platform_settings &m_settings;
    boost::asio::io_context m_context{1};
    gateway_path m_path;
    fleet_control m_control;
};

}
