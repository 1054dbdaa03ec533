/**
 * @file
 * Runs the daemon on the platform: joins control and traffic, and shuts down in order.
 */
#pragma once

#include "controlplane.h"
#include "dataplane.h"
#include "adminserver.h"

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
    boost::asio::awaitable<void> handleSignals();
    boost::asio::awaitable<void> shutDown();
    boost::asio::awaitable<void> watchSettings();
    void reloadSettings(const char *reason);
    result_code startAdminServer();

    platform::platform_settings m_settings;
    std::string m_settingsFile;
    std::uint16_t m_metricsPort;
    boost::asio::io_context m_context{1};
    data_plane m_dataPlane;
    control_plane m_controlPlane;
    admin_server m_adminServer;
};

}
