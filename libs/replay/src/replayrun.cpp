#include "cardamomdeck/replay/replayrun.h"

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/replay/simulatedbackend.h"
#include "cardamomdeck/routing/probebudget.h"
#include "cardamomdeck/routing/requestplan.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace cardamomdeck {

namespace {

const time_point replayStart{seconds(1000)};
constexpr milliseconds probeCheckInterval{10};
constexpr seconds probeWindow{10};
constexpr milliseconds cooldownPeriod{3000};

std::string backendName(std::uint32_t index)
{
    return "b" + std::to_string(index);
}

std::string zoneName(std::uint32_t index, const trace_deployment &deployment)
{
    return "zone-" + std::to_string(index % deployment.zones);
}

/** Runs events in the order of their times; events with equal times in the order in which they were scheduled. */
class event_queue
{
public:
    using action = std::function<void(time_point)>;

    void schedule(time_point when, action run)
    {
        m_events.push({when, m_count++, std::move(run)});
    }

    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            const event next = m_events.top();
            m_events.pop();
            next.run(next.when);
        }
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number;
        action run;

        bool operator<(const event &other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    std::priority_queue<event> m_events;
    std::uint64_t m_count = 0;
};

/** An entry with the load balancing classes of the daemon. */
struct replay_entry
{
    replay_entry(const service_spec &service, const std::string &zone, ejection_mode ejection, std::uint64_t seed)
        : loadBalancer(service, zone, ejection)
        , retries(service.retryPercent)
        , hedges(service.hedgePercent)
        , random(seed)
    {
    }

    balancer loadBalancer;
    attempt_budget retries;
    attempt_budget hedges;
    random_source random;
    std::map<std::string, probe_budget> probeBudgets;
};

/** A request in flight. */
struct replay_request
{
    replay_request(const trace_request &recorded, replay_entry &servingEntry, request_traits traits)
        : recordedRequest(recorded)
        , entry(servingEntry)
        , plan(traits, servingEntry.retries, servingEntry.hedges)
        , deadline(traits.deadline)
    {
    }

    const trace_request &recordedRequest;
    replay_entry &entry;
    request_plan plan;
    time_point deadline;
    std::vector<backend_handle> triedBackends;
    std::map<std::uint64_t, std::pair<backend_handle, time_point>> activeAttempts;
    std::uint32_t executionCount = 0;
    bool done = false;
};

using request_ptr = std::shared_ptr<replay_request>;

/** Simulates one trace with one policy as a series of timed events. */
class replay_run
{
public:
    replay_run(const recorded_trace &trace, const replay_policy &policy, std::uint64_t seed)
        : m_trace(trace)
        , m_service(policy.service)
    {
        const trace_deployment &deployment = trace.deployment;
        m_service.name = deployment.name;
        m_service.slotsPerBackend = deployment.slots;
        std::vector<backend_spec> specs;
        for (std::uint32_t i = 0; i < deployment.backends; ++i) {
            m_backends.emplace_back(deployment.slots, deployment.maxQueueLength);
            specs.push_back({backendName(i), m_service.name, {"127.0.0.1", 1}, zoneName(i, deployment), false});
            m_backendIndex[backendName(i)] = i;
        }
        m_probeTimes.resize(deployment.backends);
        for (std::uint32_t i = 0; i < deployment.entries; ++i) {
            m_entries.push_back(
                std::make_unique<replay_entry>(m_service, zoneName(i, deployment), policy.ejection, seed * 1000 + i));
            m_entries.back()->loadBalancer.setBackends(specs, replayStart);
            for (const backend_spec &spec : specs) {
                m_entries.back()->probeBudgets[spec.name].grantShare(
                    m_service.maxProbesPerTenSeconds, m_service.maxProbingEntries, replayStart);
            }
        }
    }

    replay_result run()
    {
        time_point end = replayStart;
        for (const trace_backend_change &change : m_trace.changes) {
            m_events.schedule(replayStart + change.at, [this, &change](time_point) {
                m_backends[change.backend].setBehavior(change.slowdownFactor, change.mode);
            });
        }
        for (const trace_request &request : m_trace.requests) {
            m_events.schedule(replayStart + request.at,
                              [this, &request](time_point now) { handleRequestArrival(request, now); });
            end = replayStart + request.at;
        }
        m_lastArrival = end;
        for (std::uint32_t i = 0; i < m_entries.size(); ++i) {
            // Staggers the probe checks of the entries.
            const microseconds offset = probeCheckInterval * i / static_cast<int>(m_entries.size());
            m_events.schedule(replayStart + offset, [this, i](time_point now) { sendDueProbes(i, now); });
        }
        m_events.runUntil(end + cooldownPeriod);
        std::ranges::sort(m_result.latenciesMs);
        m_result.maxProbesInWindow = maxProbesInWindow();
        return std::move(m_result);
    }

private:
    microseconds delayTo(const backend_handle &backend) const
    {
        return backend->isCrossZone() ? m_trace.deployment.crossZoneDelay : m_trace.deployment.sameZoneDelay;
    }

    simulated_backend &simulatedBackendOf(const backend_handle &backend)
    {
        return m_backends[m_backendIndex.at(backend->spec().name)];
    }

    void handleRequestArrival(const trace_request &recorded, time_point now)
    {
        ++m_result.requests;
        replay_entry &entry = *m_entries[recorded.entry];
        const request_traits traits = {recorded.idempotent, false, now + m_service.timeout};
        const auto request = std::make_shared<replay_request>(recorded, entry, traits);
        if (!startAttempt(request, now)) {
            endRequest(request, request->plan.finalCode(), now);
        }
    }

    bool startAttempt(const request_ptr &request, time_point now)
    {
        replay_entry &entry = request->entry;
        const backend_handle backend = entry.loadBalancer.choose(request->triedBackends, now, entry.random);
        if (!backend) {
            return false;
        }
        const std::uint64_t attempt = ++m_attemptCount;
        ++m_result.attempts;
        request->plan.attemptStarted();
        request->triedBackends.push_back(backend);
        request->activeAttempts[attempt] = {backend, now};
        entry.loadBalancer.attemptStarted(backend, now);
        m_events.schedule(now + delayTo(backend),
                          [=, this](time_point at) { handleAttemptArrival(request, attempt, backend, at); });
        m_events.schedule(request->deadline, [=, this](time_point at) {
            endAttempt(request, attempt, {result_code::deadline_passed, true, 0, false, false}, std::nullopt, at);
        });
        scheduleHedge(request, now);
        return true;
    }

    void scheduleHedge(const request_ptr &request, time_point now)
    {
        const double delayMs = request->entry.loadBalancer.hedgeDelayMs();
        if (!request->recordedRequest.idempotent || m_service.hedgePercent == 0 || delayMs <= 0) {
            return;
        }
        const auto delay = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(delayMs));
        m_events.schedule(now + delay, [=, this](time_point at) {
            const bool shouldSendHedge
                = !request->done && request->activeAttempts.size() == 1 && request->entry.loadBalancer.shouldHedge(at);
            if (shouldSendHedge && request->plan.tryAcquireHedge(at)) {
                startAttempt(request, at);
            }
        });
    }

    void handleAttemptArrival(const request_ptr &request,
                              std::uint64_t attempt,
                              const backend_handle &backend,
                              time_point now)
    {
        running_attempt started;
        switch (simulatedBackendOf(backend).submit(attempt, request->recordedRequest.serviceTime, now, started)) {
        case submission_result::started:
            m_queuedRequests.erase(attempt);
            startExecution(request, backend, started);
            return;
        case submission_result::queued:
            m_queuedRequests[attempt] = request;
            return;
        case submission_result::refused:
            sendResponse(request, attempt, backend, {result_code::ok, true, 503, true, false}, now);
            return;
        case submission_result::failed:
            sendResponse(request, attempt, backend, {result_code::ok, true, 500, false, false}, now);
            return;
        }
    }

    void startExecution(const request_ptr &request, const backend_handle &backend, const running_attempt &started)
    {
        ++request->executionCount;
        if (!request->recordedRequest.idempotent && request->executionCount > 1) {
            ++m_result.duplicateExecutions;
        }
        m_events.schedule(started.doneAt, [=, this](time_point now) {
            const auto next = simulatedBackendOf(backend).finish(now);
            sendResponse(request, started.attempt, backend, {result_code::ok, true, 200, false, false}, now);
            if (next) {
                const request_ptr queuedRequest = m_queuedRequests.at(next->attempt);
                m_queuedRequests.erase(next->attempt);
                startExecution(queuedRequest, backend, *next);
            }
        });
    }

    void sendResponse(const request_ptr &request,
                      std::uint64_t attempt,
                      const backend_handle &backend,
                      attempt_result result,
                      time_point now)
    {
        const std::uint32_t load = simulatedBackendOf(backend).reportedLoad(now, m_trace.deployment.reportDelay);
        m_events.schedule(now + delayTo(backend),
                          [=, this](time_point at) { endAttempt(request, attempt, result, load, at); });
    }

    void endAttempt(const request_ptr &request,
                    std::uint64_t attempt,
                    const attempt_result &result,
                    std::optional<std::uint32_t> load,
                    time_point now)
    {
        const auto activeAttempt = request->activeAttempts.find(attempt);
        if (activeAttempt == request->activeAttempts.end()) {
            return;
        }
        const auto [backend, started] = activeAttempt->second;
        request->activeAttempts.erase(activeAttempt);
        const attempt_outcome attemptOutcome = result.refused            ? attempt_outcome::refused
                                               : isServerFailure(result) ? attempt_outcome::failed
                                                                         : attempt_outcome::success;
        request->entry.loadBalancer.attemptEnded(backend, {attemptOutcome, started, now, load});
        switch (request->plan.attemptEnded(result, now)) {
        case retry_decision::answer:
            m_result.failures += isServerFailure(result) ? 1 : 0;
            recordLatency(*request, isServerFailure(result) ? request->deadline : now);
            endRequest(request, result_code::ok, now);
            return;
        case retry_decision::retry:
            if (!startAttempt(request, now)) {
                endRequest(request, request->plan.finalCode(), now);
            }
            return;
        case retry_decision::wait:
            return;
        case retry_decision::give_up:
            endRequest(request, request->plan.finalCode(), now);
            return;
        }
    }

    void endRequest(const request_ptr &request, result_code code, time_point now)
    {
        request->done = true;
        for (const auto &[attempt, activeAttempt] : request->activeAttempts) {
            cancel(request, attempt, activeAttempt.first, activeAttempt.second, now);
        }
        request->activeAttempts.clear();
        if (code != result_code::ok) {
            recordLatency(*request, request->deadline);
        }
        switch (infoOf(code).requestOutcome) {
        case outcome::answered:
            ++m_result.answered;
            return;
        case outcome::not_run:
            ++m_result.notRun;
            return;
        case outcome::unknown:
            ++m_result.unknown;
            return;
        }
    }

    void recordLatency(const replay_request &request, time_point endedAt)
    {
        m_result.latenciesMs.push_back(toMilliseconds(endedAt - replayStart - request.recordedRequest.at));
    }

    void cancel(const request_ptr &request,
                std::uint64_t attempt,
                const backend_handle &backend,
                time_point started,
                time_point now)
    {
        request->entry.loadBalancer.attemptEnded(backend, {attempt_outcome::cancelled, started, now, std::nullopt});
        m_events.schedule(now + delayTo(backend), [=, this](time_point at) {
            if (simulatedBackendOf(backend).cancel(attempt, at)) {
                m_queuedRequests.erase(attempt);
            }
        });
    }

    void sendDueProbes(std::uint32_t index, time_point now)
    {
        replay_entry &entry = *m_entries[index];
        for (const auto &[name, backend] : entry.loadBalancer.backends()) {
            const auto last = backend->lastUpdatedAt();
            const bool due = !last || *last + m_service.maxLoadDataAge <= now;
            if (due && entry.probeBudgets[name].tryAcquire(now)) {
                probe(backend, now);
            }
        }
        if (now < m_lastArrival) {
            m_events.schedule(now + probeCheckInterval, [this, index](time_point at) { sendDueProbes(index, at); });
        }
    }

    void probe(const backend_handle &backend, time_point now)
    {
        ++m_result.probes;
        const microseconds delay = delayTo(backend);
        m_events.schedule(now + delay, [=, this](time_point at) {
            m_probeTimes[m_backendIndex.at(backend->spec().name)].push_back(at);
            const std::uint32_t load = simulatedBackendOf(backend).reportedLoad(at, m_trace.deployment.reportDelay);
            m_events.schedule(at + delay, [=](time_point receivedAt) { backend->recordLoadReport(load, receivedAt); });
        });
    }

    std::uint64_t maxProbesInWindow() const
    {
        std::uint64_t maxProbes = 0;
        for (const std::vector<time_point> &times : m_probeTimes) {
            std::size_t first = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= probeWindow) {
                    ++first;
                }
                maxProbes = std::max<std::uint64_t>(maxProbes, last - first + 1);
            }
        }
        return maxProbes;
    }

    const recorded_trace &m_trace;
    service_spec m_service;
    event_queue m_events;
    std::vector<simulated_backend> m_backends;
    std::map<std::string, std::uint32_t> m_backendIndex;
    std::vector<std::unique_ptr<replay_entry>> m_entries;
    std::map<std::uint64_t, request_ptr> m_queuedRequests;
    std::vector<std::vector<time_point>> m_probeTimes;
    std::uint64_t m_attemptCount = 0;
    time_point m_lastArrival;
    replay_result m_result;
};

replay_policy makePolicy(const std::string &name, const std::string &strategy, ejection_mode ejection)
{
    replay_policy policy;
    policy.name = name;
    policy.service.strategy = strategy;
    policy.ejection = ejection;
    return policy;
}

replay_policy makeBaseline(const std::string &strategy)
{
    replay_policy policy = makePolicy(strategy, strategy, ejection_mode::off);
    policy.service.hedgePercent = 0;
    policy.service.maxProbesPerTenSeconds = 0;
    return policy;
}

}

double replay_result::latencyMs(double quantile) const
{
    if (latenciesMs.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(latenciesMs.size()));
    return latenciesMs[std::min(index, latenciesMs.size() - 1)];
}

replay_result replay(const recorded_trace &trace, const replay_policy &policy, std::uint64_t seed)
{
    return replay_run(trace, policy, seed).run();
}

std::vector<replay_policy> benchmarkPolicies()
{
    replay_policy tail = makePolicy("load_aware_tail", "load_aware", ejection_mode::on);
    tail.service.hedgePercent = 10;
    tail.service.maxLoadDataAge = milliseconds(50);
    replay_policy cheap = makePolicy("load_aware_cheap", "load_aware", ejection_mode::on);
    cheap.service.hedgePercent = 5;
    cheap.service.maxProbesPerTenSeconds = 32;
    cheap.service.maxLoadDataAge = milliseconds(1000);
    replay_policy unhedged = tail;
    unhedged.name = "load_aware_unhedged";
    unhedged.service.hedgePercent = 0;
    replay_policy unprobed = tail;
    unprobed.name = "load_aware_unprobed";
    unprobed.service.maxProbesPerTenSeconds = 0;
    return {tail,
            cheap,
            unhedged,
            unprobed,
            makeBaseline("random"),
            makeBaseline("round_robin"),
            makeBaseline("least_in_flight"),
            makeBaseline("least_reported")};
}

}
