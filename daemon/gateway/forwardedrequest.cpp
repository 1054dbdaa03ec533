#include "forwardedrequest.h"

#include "cardamomdeck/dispatch/admission.h"

#include <algorithm>

namespace cardamomdeck {

choice_request describeChoice(const forwarded_request &request, time_point now)
{
    const double objectiveMs = toMilliseconds(request.rule->latencyObjective);
    const service_traffic &service = *request.service;
    choice_request choice;
    choice.objectiveMs = std::max(1.0, objectiveMs - toMilliseconds(now - request.arrival));
    choice.deadlineMs = toMilliseconds(request.deadline - now);
    choice.averagePace = std::max(1.0, service.pace.valueOr(1.0));
    const auto found = service.ruleWorkMs.find(request.rule->name);
    const double guessMs = guessedWorkMs(objectiveMs, toMilliseconds(request.deadline - request.arrival));
    choice.work.requestMs = found == service.ruleWorkMs.end() ? guessMs : found->second.valueOr(guessMs);
    choice.work.serviceMs = service.workMs.valueOr(guessMs);
    return choice;
}

}
