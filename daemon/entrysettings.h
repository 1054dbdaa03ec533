/**
 * @file
 * Settings of one entry, from flags and environment variables.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/socketaddress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Checked settings. */
struct entry_settings
{
    std::string name;
    std::string zone;
    socket_address traffic;
    socket_address api;
    socket_address peer;
    socket_address logService;
    std::optional<socket_address> vmList;
    /** Peer addresses to ask before the members are known. */
    std::vector<socket_address> seeds;
    /** Time between leaving the address answers and closing the traffic port. */
    milliseconds shutdownDelay{6000};
    /** Records after which a snapshot is written. */
    std::uint64_t recordsPerSnapshot = 512;
    /** Requests of a hundred whose trace is written; failures are always written. */
    std::uint32_t tracePercent = 1;
    /** Where spans are written; empty keeps them in memory only. */
    std::string traceFile;
    std::string logLevel;
    /** Only the settings are checked; nothing is started. */
    bool checkOnly = false;
    /** Further port for operators on a platform; 0 for none. */
    std::uint16_t metricsPort = 0;
    /** Settings file of a platform; when it is set, the other values are not used. */
    std::string platformSettingsFile;

    bool operator==(const entry_settings &) const = default;
};

/** Settings, and every fault found in them. */
struct parsed_settings
{
    entry_settings settings;
    std::vector<std::string> errors;
};

/** Parses the command line, which wins over the environment, and checks all values. */
parsed_settings readSettings(int argc, char **argv);

}
