#include "cardamomdeck/base/environment.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>

#include <cstdlib>

namespace cardamomdeck {

std::vector<std::string> applyEnvironment(const std::string &prefix, const std::vector<std::string> &flags)
{
    std::vector<std::string> faults;
    for (const std::string &name : flags) {
        const std::string variable = prefix + absl::AsciiStrToUpper(name);
        const char *const value = std::getenv(variable.c_str());
        absl::CommandLineFlag *const flag = absl::FindCommandLineFlag(name);
        if (value == nullptr || flag == nullptr) {
            continue;
        }
        std::string error;
        if (!flag->ParseFrom(value, &error)) {
            faults.push_back(variable + ": " + error);
        }
    }
    return faults;
}

}
