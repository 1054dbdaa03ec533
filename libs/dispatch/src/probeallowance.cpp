#include "cardamomdeck/dispatch/probeallowance.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Probes that may be saved up, in milliseconds of the share; a burst of requests lasts for some seconds. */
constexpr double savedMs = 8000.0;

/** Part of the allowance that is used; entries that do not know of each other take too large shares. */
constexpr double usedPart = 0.8;

/** Part of the saved probes that one request may take. */
constexpr double sharedPart = 0.1;

constexpr double millisecondsPerSecond = 1000.0;

}

probe_allowance::probe_allowance(double perBackend)
    : m_perBackend(perBackend)
{
}

std::size_t probe_allowance::take(std::size_t wanted, std::size_t backends, std::size_t entries, time_point now)
{
    const double perMs = usedPart * m_perBackend * static_cast<double>(backends)
                         / static_cast<double>(std::max<std::size_t>(1, entries)) / millisecondsPerSecond;
    const double earned = perMs * std::min(savedMs, toMilliseconds(now - m_updated));
    m_saved = std::min(m_saved + earned, perMs * savedMs);
    m_updated = now;
    // A part of what is saved at most, so that the requests of a burst share it.
    const double affordable = std::max(std::min(1.0, m_saved), std::floor(m_saved * sharedPart));
    const auto granted = std::min(wanted, static_cast<std::size_t>(affordable));
    m_saved -= static_cast<double>(granted);
    return granted;
}

}
