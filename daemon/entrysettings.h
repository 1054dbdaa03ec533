/**
 * @file
 * Settings of one entry, from flags and environment variables.
 */
#pragma once

#include "gateway/overflowsettings.h"

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/socketaddress.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Validated settings. */
struct entry_settings
{
    std::string name;
    std::string zone;
    socket_address traffic;
    socket_address api;
    socket_address peer;
    socket_address logService;
    std::optional<socket_address> vmList;
    /** Peer addresses to contact before the members are known. */
    std::vector<socket_address> seeds;
    /** Time between the removal from address responses and the closing of the traffic port. */
    milliseconds shutdownDelay{6000};
    /** Memory that this entry may use, of which a share holds the bodies of requests and responses. */
    std::size_t memoryBytes = 0;
    /** Number of log records between two snapshots. */
    std::uint64_t recordsPerSnapshot = 512;
    /** Percentage of requests that are traced; failed requests are always traced. */
    std::uint32_t tracePercent = 1;
    /** File for spans; empty keeps them in memory only. */
    std::string traceFile;
    std::string logLevel;
    /** Only validate the settings; start nothing. */
    bool checkOnly = false;
    /** Additional port for operators when platformSettingsFile is set; 0 for none. */
    std::uint16_t metricsPort = 0;
    /** Requests that leave the availability zone; used when platformSettingsFile is set. */
    overflow_settings zoneOverflow;
    /**
     * Platform settings file. When it is set, only metricsPort, zoneOverflow, logLevel and checkOnly are used besides
     * it.
     */
    std::string platformSettingsFile;

    bool operator==(const entry_settings &) const = default;
};

/** Settings and all errors found in them. */
struct parsed_settings
{
    entry_settings settings;
    std::vector<std::string> errors;
};

/** Parses and validates the command line and the environment variables; the command line takes precedence. */
parsed_settings readSettings(int argc, char **argv);

}
