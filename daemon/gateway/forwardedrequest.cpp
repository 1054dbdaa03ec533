#include "forwardedrequest.h"

#include "cardamomdeck/dispatch/admission.h"
#include "cardamomdeck/http/asynctools.h"

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

/** Polling interval of requests that wait for a current view after a pause of this process. */
constexpr milliseconds viewCheckPeriod{5};

}

bool forwarding_context::isEvacuated(const backend_state &backend) const
{
    return evacuatedZones->contains(backend.server.zone);
}

asio::awaitable<void> awaitCurrentView(const forwarding_context &context)
{
    while (context.isViewPossiblyStale()) {
        co_await sleepUntil(steady::now() + viewCheckPeriod);
    }
}

choice_request makeChoiceRequest(const forwarded_request &request, time_point now)
{
    const double latencyObjectiveMs = toMilliseconds(request.rule->latencyObjective);
    const service_state &service = *request.service;
    choice_request choice;
    choice.latencyObjectiveMs = std::max(1.0, latencyObjectiveMs - toMilliseconds(now - request.arrivedAt));
    choice.remainingMs = toMilliseconds(request.deadline - now);
    choice.averageSlowdown = std::max(1.0, service.slowdown.valueOr(1.0));
    const auto found = service.ruleServiceTimeMs.find(request.rule->name);
    const double initialMs
        = initialServiceTimeMs(latencyObjectiveMs, toMilliseconds(request.deadline - request.arrivedAt));
    choice.serviceTimes.requestMs
        = found == service.ruleServiceTimeMs.end() ? initialMs : found->second.valueOr(initialMs);
    choice.serviceTimes.averageMs = service.serviceTimeMs.valueOr(initialMs);
    return choice;
}

}
