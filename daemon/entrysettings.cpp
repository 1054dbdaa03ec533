#include "entrysettings.h"

#include "cardamomdeck/base/environment.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, name, "", "Name of this entry, unique among the entries; use the name of its VM. Required.");
ABSL_FLAG(std::string, zone, "", "Availability zone of this entry. Required.");
ABSL_FLAG(std::string, traffic_address, "127.0.0.1:8080", "IP:port where callers connect.");
ABSL_FLAG(std::string, api_address, "127.0.0.1:8081", "IP:port of the resource API and the metrics.");
ABSL_FLAG(std::string, peer_address, "127.0.0.1:8082", "IP:port where other entries connect.");
ABSL_FLAG(std::string, log_service, "", "IP:port of the platform's log service. Required.");
ABSL_FLAG(std::string, vm_list, "", "IP:port of the platform's VM list. Empty: not used.");
ABSL_FLAG(std::string, seeds, "", "Comma-separated peer addresses (IP:port) to contact at start.");
ABSL_FLAG(std::int64_t, leave_time_ms, 6000, "Milliseconds from SIGTERM to closing the traffic port; at least 3000.");
ABSL_FLAG(std::int64_t, memory_mb, 0, "Megabytes of memory for this entry, 32 to 1048576. 0: the memory of the VM.");
ABSL_FLAG(std::int64_t, snapshot_every, 512, "Log records between snapshots, 1 to 1000000.");
ABSL_FLAG(std::int64_t, trace_percent, 1, "Percentage of requests that are traced, 0 to 100. Failures always are.");
ABSL_FLAG(std::string, trace_file, "", "File for spans as Zipkin v2 JSON lines. Empty: memory only.");
ABSL_FLAG(std::string,
          settings,
          "",
          "Settings file that a platform writes (TOML). Its values replace all other flags.");
ABSL_FLAG(std::int64_t, metrics_port, 0, "With --settings: additional port for operators, 0 to 65535. 0: none.");
ABSL_FLAG(std::string,
          zone_overflow,
          "off",
          "With --settings: 'on' lets the share of requests leave the availability zone that it lacks servers for; "
          "'off' uses a fixed cost for other zones.");
ABSL_FLAG(double,
          cross_zone_cost_per_mb_ms,
          cardamomdeck::overflow_settings::defaultCostPerMbMs,
          "With --zone_overflow=on: milliseconds of latency that one megabyte across zones is worth, 0 to 100000.");
ABSL_FLAG(bool, check, false, "Check the settings, print errors, and exit.");
ABSL_FLAG(std::string, log_level, "INFO", "Minimum log level: INFO, WARN or OFF.");

namespace cardamomdeck {

namespace {

constexpr std::int64_t minShutdownDelayMs = 3000;
constexpr std::int64_t maxShutdownDelayMs = 600'000;
constexpr std::int64_t minMemoryMb = 32;
constexpr std::int64_t maxMemoryMb = 1'048'576;
constexpr std::int64_t maxRecordsPerSnapshot = 1'000'000;
constexpr std::int64_t maxPercent = 100;
constexpr double maxCostPerMbMs = 100'000;

/** Validates single settings and collects the errors. */
class settings_validator
{
public:
    explicit settings_validator(std::vector<std::string> &errorList)
        : m_errors(errorList)
    {
    }

    std::string required(const std::string &flag, const std::string &value)
    {
        if (value.empty()) {
            m_errors.push_back(flag + " is required");
        }
        return value;
    }

    socket_address address(const std::string &flag, const std::string &value)
    {
        const auto parsed = parseSocketAddress(value);
        if (!parsed) {
            m_errors.push_back(flag + " must be an IP address and a port, as in 127.0.0.1:8080");
        }
        return parsed.value_or(socket_address());
    }

    std::int64_t number(const std::string &flag, std::int64_t value, std::int64_t minimum, std::int64_t maximum)
    {
        if (value < minimum || value > maximum) {
            m_errors.push_back(flag + " must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        }
        return value;
    }

    std::string level(const std::string &value)
    {
        if (value != "INFO" && value != "WARN" && value != "OFF") {
            m_errors.emplace_back("log_level must be INFO, WARN or OFF");
        }
        return value;
    }

    overflow_settings overflow(const std::string &mode, double costPerMbMs)
    {
        if (mode != "on" && mode != "off") {
            m_errors.emplace_back("zone_overflow must be on or off");
        }
        // Written so that NaN is rejected.
        if (!(costPerMbMs >= 0 && costPerMbMs <= maxCostPerMbMs)) {
            m_errors.emplace_back("cross_zone_cost_per_mb_ms must be from 0 to 100000");
        }
        return {mode == "on", costPerMbMs};
    }

    std::vector<socket_address> addresses(const std::string &flag, const std::string &value)
    {
        const auto parsed = parseSocketAddressList(value);
        if (!parsed) {
            m_errors.push_back(flag + " must be a comma-separated list of IP:port");
        }
        return parsed.value_or(std::vector<socket_address>());
    }

private:
    std::vector<std::string> &m_errors;
};

/** Memory in bytes that the flag memory_mb sets; without it that of the VM. */
std::size_t memoryOf(settings_validator &validator, std::int64_t memoryMb)
{
    constexpr std::size_t bytesPerMegabyte = 1024U * 1024U;
    if (const std::size_t physicalBytes = physicalMemoryBytes(); memoryMb == 0 && physicalBytes > 0) {
        return physicalBytes;
    }
    return static_cast<std::size_t>(validator.number("memory_mb", memoryMb, minMemoryMb, maxMemoryMb))
           * bytesPerMegabyte;
}

}

parsed_settings readSettings(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Entry of the cardamomdeck load balancer.\n"
                                 "Each flag can be set by the environment variable CARDAMOMDECK_<FLAG>; flags win.\n"
                                 "Exit codes: 0 stopped, 1 unknown flag, 2 invalid setting, 3 port in use.");
    showFlagsOf("entrysettings");
    parsed_settings parsedSettings;
    parsedSettings.errors = applyEnvironment("CARDAMOMDECK_",
                                             {"name",
                                              "zone",
                                              "traffic_address",
                                              "api_address",
                                              "peer_address",
                                              "log_service",
                                              "vm_list",
                                              "seeds",
                                              "leave_time_ms",
                                              "memory_mb",
                                              "snapshot_every",
                                              "trace_percent",
                                              "trace_file",
                                              "settings",
                                              "metrics_port",
                                              "zone_overflow",
                                              "cross_zone_cost_per_mb_ms",
                                              "check",
                                              "log_level"});
    if (absl::ParseCommandLine(argc, argv).size() > 1) {
        parsedSettings.errors.emplace_back("positional arguments are not supported");
    }
    settings_validator validator(parsedSettings.errors);
    entry_settings &settings = parsedSettings.settings;
    settings.platformSettingsFile = absl::GetFlag(FLAGS_settings);
    settings.checkOnly = absl::GetFlag(FLAGS_check);
    constexpr std::int64_t maxPort = 65'535;
    settings.metricsPort
        = static_cast<std::uint16_t>(validator.number("metrics_port", absl::GetFlag(FLAGS_metrics_port), 0, maxPort));
    settings.zoneOverflow
        = validator.overflow(absl::GetFlag(FLAGS_zone_overflow), absl::GetFlag(FLAGS_cross_zone_cost_per_mb_ms));
    settings.logLevel = validator.level(absl::GetFlag(FLAGS_log_level));
    if (!settings.platformSettingsFile.empty()) {
        return parsedSettings;
    }
    settings.name = validator.required("name", absl::GetFlag(FLAGS_name));
    settings.zone = validator.required("zone", absl::GetFlag(FLAGS_zone));
    settings.traffic = validator.address("traffic_address", absl::GetFlag(FLAGS_traffic_address));
    settings.api = validator.address("api_address", absl::GetFlag(FLAGS_api_address));
    settings.peer = validator.address("peer_address", absl::GetFlag(FLAGS_peer_address));
    settings.logService = validator.address("log_service", absl::GetFlag(FLAGS_log_service));
    if (const std::string vmList = absl::GetFlag(FLAGS_vm_list); !vmList.empty()) {
        settings.vmList = validator.address("vm_list", vmList);
    }
    settings.seeds = validator.addresses("seeds", absl::GetFlag(FLAGS_seeds));
    settings.shutdownDelay = milliseconds(
        validator.number("leave_time_ms", absl::GetFlag(FLAGS_leave_time_ms), minShutdownDelayMs, maxShutdownDelayMs));
    settings.memoryBytes = memoryOf(validator, absl::GetFlag(FLAGS_memory_mb));
    settings.recordsPerSnapshot = static_cast<std::uint64_t>(
        validator.number("snapshot_every", absl::GetFlag(FLAGS_snapshot_every), 1, maxRecordsPerSnapshot));
    settings.tracePercent = static_cast<std::uint32_t>(
        validator.number("trace_percent", absl::GetFlag(FLAGS_trace_percent), 0, maxPercent));
    settings.traceFile = absl::GetFlag(FLAGS_trace_file);
    return parsedSettings;
}

}
