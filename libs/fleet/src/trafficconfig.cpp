#include "cardamomdeck/fleet/trafficconfig.h"

#include <algorithm>
#include <cctype>

namespace cardamomdeck {

namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

}

const traffic_rule *matchTrafficRule(const traffic_config &config, std::string_view host, std::string_view path)
{
    const std::string_view hostName = host.substr(0, host.find(':'));
    const auto found = std::ranges::find_if(config.rules, [&](const traffic_rule &rule) {
        return path.starts_with(rule.pathPrefix) && equalsIgnoringCase(rule.host, hostName);
    });
    return found == config.rules.end() ? nullptr : &*found;
}

}
