#include "cardamomdeck/routing/balancer.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};

std::vector<backend_spec> makeBackends(unsigned count)
{
    std::vector<backend_spec> backends;
    for (unsigned i = 0; i < count; ++i) {
        backends.push_back(
            {"b" + std::to_string(i), "lots", {"127.0.0.1", static_cast<std::uint16_t>(100 + i)}, "a", false});
    }
    return backends;
}

balancer makeBalancer(unsigned count)
{
    service_spec service;
    service.name = "lots";
    balancer loadBalancer(service, "a");
    loadBalancer.setBackends(makeBackends(count), start);
    return loadBalancer;
}

void runAttempt(
    balancer &loadBalancer, const backend_handle &backend, attempt_outcome kind, time_point now, double latencyMs = 2)
{
    loadBalancer.attemptStarted(backend, now);
    const auto latency = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(latencyMs));
    loadBalancer.attemptEnded(backend, {kind, now, now + latency, std::nullopt});
}

void warmUp(balancer &loadBalancer, time_point now)
{
    for (const auto &[name, backend] : loadBalancer.backends()) {
        for (int i = 0; i < 20; ++i) {
            runAttempt(loadBalancer, backend, attempt_outcome::success, now);
        }
    }
}

std::map<std::string, unsigned> chooseMany(balancer &loadBalancer, time_point now, unsigned count = 2000)
{
    random_source random(5);
    std::map<std::string, unsigned> chosen;
    for (unsigned i = 0; i < count; ++i) {
        const backend_handle backend = loadBalancer.choose({}, now, random);
        ++chosen[backend ? backend->spec().name : ""];
    }
    return chosen;
}

}

Test(balancer, draining_or_shutting_down_server_is_never_chosen)
{
    balancer loadBalancer = makeBalancer(2);
    auto backends = makeBackends(2);
    backends[0].draining = true;
    loadBalancer.setBackends(backends, start);
    cr_assert(chooseMany(loadBalancer, start) == (std::map<std::string, unsigned>{{"b1", 2000}}));
    loadBalancer.setShuttingDown({"b1"});
    cr_assert(chooseMany(loadBalancer, start) == (std::map<std::string, unsigned>{{"", 2000}}));
}

Test(balancer, fast_failures_lead_to_ejection_and_later_trial)
{
    balancer loadBalancer = makeBalancer(5);
    warmUp(loadBalancer, start);
    const backend_handle bad = loadBalancer.backends().at("b0");
    for (int i = 0; i < 3; ++i) {
        runAttempt(loadBalancer, bad, attempt_outcome::failed, start, 0.01);
    }
    cr_assert(bad->isEjected(start + milliseconds(50)));
    cr_assert(not chooseMany(loadBalancer, start + milliseconds(50)).contains("b0"));

    // After the ejection, one trial request is sent; its success ends the trial.
    const time_point after = start + milliseconds(150);
    cr_assert(not bad->isEjected(after));
    loadBalancer.attemptStarted(bad, after);
    cr_assert(not chooseMany(loadBalancer, after).contains("b0"), "a second request during the trial");
    loadBalancer.attemptEnded(bad, {attempt_outcome::success, after, after + milliseconds(2), std::nullopt});
    cr_assert(not bad->isOnTrial());
    cr_assert(chooseMany(loadBalancer, after + milliseconds(2000)).contains("b0"));
}

Test(balancer, failed_trial_extends_ejection)
{
    balancer loadBalancer = makeBalancer(5);
    const backend_handle bad = loadBalancer.backends().at("b0");
    for (int i = 0; i < 3; ++i) {
        runAttempt(loadBalancer, bad, attempt_outcome::failed, start, 0.01);
    }
    const time_point after = start + milliseconds(150);
    runAttempt(loadBalancer, bad, attempt_outcome::failed, after, 0.01);
    cr_assert(bad->isEjected(after + milliseconds(190)));
}

Test(balancer, ejected_share_is_limited_when_all_fail)
{
    balancer loadBalancer = makeBalancer(10);
    for (const auto &[name, backend] : loadBalancer.backends()) {
        for (int i = 0; i < 5; ++i) {
            runAttempt(loadBalancer, backend, attempt_outcome::failed, start, 0.01);
        }
    }
    unsigned ejected = 0;
    for (const auto &[name, backend] : loadBalancer.backends()) {
        ejected += backend->isEjected(start + milliseconds(1)) ? 1 : 0;
    }
    cr_assert_eq(ejected, 4U);
}

Test(balancer, attempts_in_flight_reveal_straggler)
{
    balancer loadBalancer = makeBalancer(5);
    warmUp(loadBalancer, start);
    loadBalancer.attemptStarted(loadBalancer.backends().at("b0"), start);
    cr_assert(not chooseMany(loadBalancer, start + milliseconds(40)).contains("b0"));
}

Test(balancer, new_server_gets_fewer_requests_during_warm_up)
{
    balancer loadBalancer = makeBalancer(4);
    warmUp(loadBalancer, start);
    auto backends = makeBackends(5);
    loadBalancer.setBackends(backends, start);
    for (const auto &[name, backend] : loadBalancer.backends()) {
        loadBalancer.attemptStarted(backend, start + milliseconds(300));
    }
    cr_assert(not chooseMany(loadBalancer, start + milliseconds(300)).contains("b4"));
    const backend_handle cold = loadBalancer.backends().at("b4");
    loadBalancer.attemptEnded(
        cold, {attempt_outcome::cancelled, start + milliseconds(300), start + milliseconds(300), std::nullopt});
    for (int i = 0; i < 20; ++i) {
        runAttempt(loadBalancer, cold, attempt_outcome::success, start + milliseconds(300));
    }
    cr_assert(chooseMany(loadBalancer, start + milliseconds(302)).contains("b4"));
}

Test(balancer, crosses_zones_only_when_queueing_costs_more)
{
    balancer loadBalancer = makeBalancer(2);
    auto backends = makeBackends(2);
    backends[1].zone = "b";
    loadBalancer.setBackends(backends, start);
    warmUp(loadBalancer, start);
    const time_point later = start + milliseconds(10);
    cr_assert(not chooseMany(loadBalancer, later).contains("b1"));
    for (int i = 0; i < 8; ++i) {
        loadBalancer.attemptStarted(loadBalancer.backends().at("b0"), later);
    }
    cr_assert(chooseMany(loadBalancer, later).contains("b1"));
}

Test(balancer, connections_per_server_are_limited)
{
    balancer loadBalancer = makeBalancer(1);
    const backend_handle only = loadBalancer.backends().at("b0");
    for (std::uint32_t i = 0; i < loadBalancer.service().maxConnectionsPerBackend; ++i) {
        loadBalancer.attemptStarted(only, start);
    }
    random_source random(1);
    cr_assert(loadBalancer.choose({}, start, random) == nullptr);
}

Test(balancer, statistics_survive_a_changed_configuration_but_not_a_changed_address)
{
    balancer loadBalancer = makeBalancer(2);
    warmUp(loadBalancer, start);
    auto backends = makeBackends(2);
    backends[0].address.port = 999;
    loadBalancer.setBackends(backends, start);
    cr_assert(loadBalancer.backends().at("b0")->warmUpFactor(start) > 1.0);
    cr_assert(loadBalancer.backends().at("b1")->warmUpFactor(start) == 1.0);
}
