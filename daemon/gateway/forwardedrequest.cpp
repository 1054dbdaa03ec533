#include "forwardedrequest.h"

#include "cardamomdeck/dispatch/admission.h"

#include <algorithm>

namespace cardamomdeck {

choice_request makeChoiceRequest(const forwarded_request &request, time_point now)
{
    const double objectiveMs = toMilliseconds(request.rule->latencyObjective);
    const service_state &service = *request.service;
    choice_request choice;
    choice.latencyObjectiveMs = std::max(1.0, objectiveMs - toMilliseconds(now - request.arrivedAt));
    choice.remainingMs = toMilliseconds(request.deadline - now);
    choice.averageSlowdown = std::max(1.0, service.slowdown.valueOr(1.0));
    const auto found = service.ruleServiceTimeMs.find(request.rule->name);
    const double guessMs = initialServiceTimeMs(objectiveMs, toMilliseconds(request.deadline - request.arrivedAt));
    choice.serviceTimes.requestMs = found == service.ruleServiceTimeMs.end() ? guessMs : found->second.valueOr(guessMs);
    choice.serviceTimes.averageMs = service.serviceTimeMs.valueOr(guessMs);
    return choice;
}

}
