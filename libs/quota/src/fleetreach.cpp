#include "cardamomdeck/quota/fleetreach.h"

#include <algorithm>
#include <iterator>

namespace cardamomdeck {

std::optional<fleet_reach::sample>
fleet_reach::nextSample(const std::vector<std::string> &peers, time_point now, random_source &random)
{
    const bool hasEndedSample = !m_samples.empty() && m_samples.back().endsAt <= now;
    const bool isConfirmationDue = hasEndedSample && responseShares(now).last < suspiciousShare;
    if (now < m_nextSampleAt && !isConfirmationDue) {
        return std::nullopt;
    }
    m_nextSampleAt = now + samplePeriod;
    const std::size_t size = isConfirmationDue ? suspiciousSampleSize : sampleSize;
    sample next;
    next.number = ++m_lastNumber;
    std::ranges::sample(peers, std::back_inserter(next.entries), static_cast<std::ptrdiff_t>(size), random);
    m_samples.push_back({next.number, now + responseTime, next.entries.size(), {}});
    if (m_samples.size() > maxSamples) {
        m_samples.pop_front();
    }
    return next;
}

void fleet_reach::recordResponse(const std::string &entry, std::uint64_t number)
{
    const auto found = std::ranges::find(m_samples, number, &sent_sample::number);
    if (found != m_samples.end()) {
        found->responded.insert(entry);
    }
}

fleet_reach::response_shares fleet_reach::responseShares(time_point now) const
{
    constexpr std::size_t usedSamples = 2;
    response_shares shares;
    std::size_t asked = 0;
    std::size_t responded = 0;
    std::size_t used = 0;
    for (auto sent = m_samples.rbegin(); sent != m_samples.rend() && used < usedSamples; ++sent) {
        if (sent->endsAt > now || sent->asked == 0) {
            continue;
        }
        asked += sent->asked;
        responded += sent->responded.size();
        shares.lastTwo = static_cast<double>(responded) / static_cast<double>(asked);
        shares.last = used == 0 ? shares.lastTwo : shares.last;
        ++used;
    }
    return shares;
}

double fleet_reach::reachableShare(fleet_size size, time_point now) const
{
    // The lower share ends the issue of the whole limits at once when a part of the fleet is cut off.
    const response_shares shares = responseShares(now);
    const double responding = std::min(shares.last, shares.lastTwo);
    // This entry reaches itself, which matters in a small fleet.
    const double reachable = 1.0 + responding * static_cast<double>(std::max<std::size_t>(size.live, 1) - 1);
    return std::min(1.0, reachable / static_cast<double>(std::max({size.known, size.live, std::size_t{1}})));
}

double fleet_reach::issuedShare(fleet_size size, bool inContactWithStore, time_point now)
{
    const double reachable = reachableShare(size, now);
    constexpr double half = 0.5;
    if (reachable > half) {
        m_minorSince.reset();
        return inContactWithStore || reachable >= wholeShare ? 1.0 : reachable;
    }
    if (!m_minorSince) {
        m_minorSince = now;
    }
    const bool othersAreDead = inContactWithStore && now - *m_minorSince >= minorPartTime;
    return othersAreDead ? reachable : std::min(reachable, minorPartShare);
}

}
