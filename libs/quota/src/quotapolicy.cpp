#include "cardamomdeck/quota/quotapolicy.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Bounds of the lifetime of tokens. A shorter one than the time of a batch would leave most tokens unused. */
constexpr milliseconds minTokenLifetime{300};
constexpr milliseconds maxTokenLifetime{1000};

/** Share of the slack that deepens the buckets. The rest is for tokens of two issuers or of none. */
constexpr double depthShare = 0.5;

}

quota_policy quota_policy::forTolerance(milliseconds window, double excess, double slack)
{
    const double lifetimeMs = std::clamp(static_cast<double>(window.count()) * std::max(0.0, excess),
                                         static_cast<double>(minTokenLifetime.count()),
                                         static_cast<double>(maxTokenLifetime.count()));
    return {milliseconds(std::llround(lifetimeMs)), depthShare * std::max(0.0, slack)};
}

}
