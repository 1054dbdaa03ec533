/**
 * @file
 * Runs the daemon on the platform: connects control plane and data plane, and shuts down gracefully.
 */
#pragma once

#include "controlplane.h"
#include "dataplane.h"
#include "adminserver.h"
#include "quotaexchange.h"

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
    /** @p settings were read from @p settingsFile; @p metricsPort is an additional port for operators, or 0. */
    gateway_daemon(platform::platform_settings settings, std::string settingsFile, std::uint16_t metricsPort);

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
    quota_exchange m_quotas;
    admin_server m_adminServer;
};

}
