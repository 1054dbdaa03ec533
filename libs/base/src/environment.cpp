#include "cardamomdeck/base/environment.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <unistd.h>

#include <cstdlib>

namespace cardamomdeck {

std::vector<std::string> applyEnvironment(const std::string &prefix, const std::vector<std::string> &flags)
{
    std::vector<std::string> errors;
    for (const std::string &name : flags) {
        const std::string variable = prefix + absl::AsciiStrToUpper(name);
        const char *const value = std::getenv(variable.c_str());
        absl::CommandLineFlag *const flag = absl::FindCommandLineFlag(name);
        if (value == nullptr || flag == nullptr) {
            continue;
        }
        std::string error;
        if (!flag->ParseFrom(value, &error)) {
            errors.push_back(variable + ": " + error);
        }
    }
    return errors;
}

std::size_t physicalMemoryBytes()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
}

void showFlagsOf(const std::string &file)
{
    absl::FlagsUsageConfig config;
    const auto isShown = [file](absl::string_view path) {
        return absl::StrContains(path, file);
    };
    config.contains_help_flags = isShown;
    config.contains_helpshort_flags = isShown;
    absl::SetFlagsUsageConfig(config);
}

}
