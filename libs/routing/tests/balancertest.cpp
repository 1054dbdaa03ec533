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
    balancer balance(service, "a");
    balance.setBackends(makeBackends(count), start);
    return balance;
}

void endAttempt(
    balancer &balance, const backend_handle &backend, attempt_class kind, time_point now, double latencyMs = 2)
{
    balance.started(backend, now);
    const auto latency = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(latencyMs));
    balance.finished(backend, {kind, now, now + latency, std::nullopt});
}

void warm(balancer &balance, time_point now)
{
    for (const auto &[name, backend] : balance.backends()) {
        for (int i = 0; i < 20; ++i) {
            endAttempt(balance, backend, attempt_class::success, now);
        }
    }
}

std::map<std::string, unsigned> chooseMany(balancer &balance, time_point now, unsigned count = 2000)
{
    random_source random(5);
    std::map<std::string, unsigned> chosen;
    for (unsigned i = 0; i < count; ++i) {
        const backend_handle backend = balance.choose({}, now, random);
        ++chosen[backend ? backend->spec().name : ""];
    }
    return chosen;
}

}

Test(balancer, a_draining_or_leaving_back_end_gets_no_work_even_when_it_is_the_last)
{
    balancer balance = makeBalancer(2);
    auto backends = makeBackends(2);
    backends[0].draining = true;
    balance.setBackends(backends, start);
    cr_assert(chooseMany(balance, start) == (std::map<std::string, unsigned>{{"b1", 2000}}));
    balance.setLeaving({"b1"});
    cr_assert(chooseMany(balance, start) == (std::map<std::string, unsigned>{{"", 2000}}));
}

Test(balancer, fast_failures_never_attract_and_lead_to_ejection_with_a_way_back)
{
    balancer balance = makeBalancer(5);
    warm(balance, start);
    const backend_handle bad = balance.backends().at("b0");
    for (int i = 0; i < 3; ++i) {
        endAttempt(balance, bad, attempt_class::failed, start, 0.01);
    }
    cr_assert(bad->isEjected(start + milliseconds(50)));
    cr_assert(not chooseMany(balance, start + milliseconds(50)).contains("b0"));

    // After the ejection one request tries it; its success brings the back end back.
    const time_point after = start + milliseconds(150);
    cr_assert(not bad->isEjected(after));
    balance.started(bad, after);
    cr_assert(not chooseMany(balance, after).contains("b0"), "a second request during the trial");
    balance.finished(bad, {attempt_class::success, after, after + milliseconds(2), std::nullopt});
    cr_assert(not bad->isOnTrial());
    cr_assert(chooseMany(balance, after + milliseconds(2000)).contains("b0"));
}

Test(balancer, a_failed_trial_lengthens_the_ejection)
{
    balancer balance = makeBalancer(5);
    const backend_handle bad = balance.backends().at("b0");
    for (int i = 0; i < 3; ++i) {
        endAttempt(balance, bad, attempt_class::failed, start, 0.01);
    }
    const time_point after = start + milliseconds(150);
    endAttempt(balance, bad, attempt_class::failed, after, 0.01);
    cr_assert(bad->isEjected(after + milliseconds(190)));
}

Test(balancer, no_more_than_the_allowed_share_is_ejected_when_all_fail)
{
    balancer balance = makeBalancer(10);
    for (const auto &[name, backend] : balance.backends()) {
        for (int i = 0; i < 5; ++i) {
            endAttempt(balance, backend, attempt_class::failed, start, 0.01);
        }
    }
    unsigned ejected = 0;
    for (const auto &[name, backend] : balance.backends()) {
        ejected += backend->isEjected(start + milliseconds(1)) ? 1 : 0;
    }
    cr_assert_eq(ejected, 4U);
}

Test(balancer, a_straggler_is_seen_by_its_unfinished_attempts_before_any_answer)
{
    balancer balance = makeBalancer(5);
    warm(balance, start);
    balance.started(balance.backends().at("b0"), start);
    cr_assert(not chooseMany(balance, start + milliseconds(40)).contains("b0"));
}

Test(balancer, a_cold_back_end_gets_a_smaller_share_until_it_is_warm)
{
    balancer balance = makeBalancer(4);
    warm(balance, start);
    auto backends = makeBackends(5);
    balance.setBackends(backends, start);
    for (const auto &[name, backend] : balance.backends()) {
        balance.started(backend, start + milliseconds(300));
    }
    cr_assert(not chooseMany(balance, start + milliseconds(300)).contains("b4"));
    const backend_handle cold = balance.backends().at("b4");
    balance.finished(cold,
                     {attempt_class::cancelled, start + milliseconds(300), start + milliseconds(300), std::nullopt});
    for (int i = 0; i < 20; ++i) {
        endAttempt(balance, cold, attempt_class::success, start + milliseconds(300));
    }
    cr_assert(chooseMany(balance, start + milliseconds(302)).contains("b4"));
}

Test(balancer, zones_are_crossed_only_when_waiting_costs_more)
{
    balancer balance = makeBalancer(2);
    auto backends = makeBackends(2);
    backends[1].zone = "b";
    balance.setBackends(backends, start);
    warm(balance, start);
    const time_point later = start + milliseconds(10);
    cr_assert(not chooseMany(balance, later).contains("b1"));
    for (int i = 0; i < 8; ++i) {
        balance.started(balance.backends().at("b0"), later);
    }
    cr_assert(chooseMany(balance, later).contains("b1"));
}

Test(balancer, connections_to_a_back_end_are_bounded)
{
    balancer balance = makeBalancer(1);
    const backend_handle only = balance.backends().at("b0");
    for (std::uint32_t i = 0; i < balance.service().connectionsPerBackend; ++i) {
        balance.started(only, start);
    }
    random_source random(1);
    cr_assert(balance.choose({}, start, random) == nullptr);
}

Test(balancer, statistics_survive_a_changed_configuration_but_not_a_changed_address)
{
    balancer balance = makeBalancer(2);
    warm(balance, start);
    auto backends = makeBackends(2);
    backends[0].address.port = 999;
    balance.setBackends(backends, start);
    cr_assert(balance.backends().at("b0")->coldFactor(start) > 1.0);
    cr_assert(balance.backends().at("b1")->coldFactor(start) == 1.0);
}
