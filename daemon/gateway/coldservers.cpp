#include "coldservers.h"

#include "servicestate.h"
#include "trafficmetrics.h"

#include "cardamomdeck/base/logline.h"

#include <algorithm>

namespace cardamomdeck {

cold_request_limiter::cold_request_limiter(const platform::warmup_limits &limits,
                                           contact_check contact,
                                           random_source &random)
    : m_limits(limits)
    , m_contact(std::move(contact))
    , m_random(random)
    , m_startsAt(steady::now() + coldStartDelay)
{
}

std::optional<cold_permit_terms> cold_request_limiter::termsFor(const service_state &service, time_point now)
{
    const cold_request_limit limit{service.profile.warmupRequestsPerSecond, m_limits.excess, m_limits.slack};
    return coldPermitTerms(limit, m_contact(), m_startsAt, now);
}

bool cold_request_limiter::isCandidate(const service_state &service, const backend_state &backend, time_point now)
{
    if (!backend.isCold(now)) {
        return true;
    }
    const auto terms = termsFor(service, now);
    return terms && backend.limited->pacer.hasPermit(*terms, now, m_random);
}

bool cold_request_limiter::tryStartRequest(service_state &service, const backend_state &backend, time_point now)
{
    if (!backend.isCold(now)) {
        return true;
    }
    const auto terms = termsFor(service, now);
    if (!terms || !backend.limited->pacer.tryUsePermit(*terms, now, m_random)) {
        ++service.coldRequests.withheld;
        return false;
    }
    ++service.coldRequests.sent;
    return true;
}

milliseconds cold_request_limiter::retryDelay(const service_state &service, time_point now)
{
    time_point earliestEnd = time_point::max();
    std::size_t coldServers = 0;
    for (const auto &[id, backend] : service.backends) {
        if (backend->isCold(now)) {
            ++coldServers;
            earliestEnd = std::min(earliestEnd, backend->limited->warmup.coldUntil());
        }
    }
    double waitMs = toMilliseconds(earliestEnd - now);
    if (const auto terms = termsFor(service, now); terms && terms->permitsPerSecond > 0) {
        constexpr double millisecondsPerSecond = 1000.0;
        const double permitsPerSecond = terms->permitsPerSecond * static_cast<double>(coldServers);
        waitMs = std::min(waitMs, millisecondsPerSecond / permitsPerSecond);
    }
    return retryDelayWhileCold(std::chrono::ceil<milliseconds>(std::chrono::duration<double, std::milli>(waitMs)),
                               m_random);
}

void recordWarmup(backend_state &backend, const platform::probe_response &response, time_point sentAt, time_point now)
{
    const bool isStated = response.warmupLeft && (response.healthy || *response.warmupLeft > milliseconds(0));
    if (!backend.limited || !isStated) {
        return;
    }
    const bool wasCold = backend.isCold(now);
    backend.limited->warmup.recordProbe(*response.warmupLeft, sentAt, now);
    if (backend.isCold(now) && !wasCold) {
        log_line("backend_cold")
            .add("backend", backend.server.id)
            .add("warmup_ms", response.warmupLeft->count())
            .add("in_flight", backend.inFlight)
            .info();
    }
}

void recordWarmupReport(backend_state &backend, const service_state &service, bool restarted)
{
    if (service.profile.warmupRequestsPerSecond <= 0) {
        backend.limited.reset();
        return;
    }
    if (!backend.limited) {
        backend.limited = std::make_shared<limited_server>();
    }
    if (restarted) {
        backend.limited->warmup.recordRestart(backend.server.warmupEndsAt);
    } else {
        backend.limited->warmup.recordReport(backend.server.warmupEndsAt);
    }
}

std::size_t countColdServers(const service_state &service, time_point now)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(service.backends, [now](const auto &item) { return item.second->isCold(now); }));
}

void appendColdMetrics(std::string &text, const service_state &service, const std::string &name, time_point now)
{
    if (service.profile.warmupRequestsPerSecond <= 0) {
        return;
    }
    const std::string label = "service=\"" + name + "\"";
    appendMetric(text, "backends_cold", label, static_cast<double>(countColdServers(service, now)));
    appendMetric(text, "cold_requests_total", label, static_cast<double>(service.coldRequests.sent));
    appendMetric(text, "cold_requests_withheld_total", label, static_cast<double>(service.coldRequests.withheld));
}

}
