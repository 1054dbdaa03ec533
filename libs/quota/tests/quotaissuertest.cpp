#include "cardamomdeck/quota/quotaissuer.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace cardamomdeck;

TestSuite(quota_issuer);

namespace {

/** The issuer in one of four entries that have been running for long. */
struct issuer_fixture
{
    time_point now{seconds(1000)};
    std::vector<std::string> order;
    std::string self;
    quota_issuer issuer;

    explicit issuer_fixture(std::size_t position = 0)
        : order(membership().order.orderFor("w"))
        , self(order[position])
        , issuer(self, {})
    {
        issuer.setLimits({{"w", {10, 10}}}, now);
        issuer.setMembership(membership(), now);
        runTicks(quota_issuer::candidateTime - milliseconds(100));
    }

    static issuer_membership membership()
    {
        std::vector<fleet_member> alive;
        for (std::int64_t number = 1; number <= 4; ++number) {
            alive.push_back({"e" + std::to_string(number), "zone", "", number * 60'000, true});
        }
        return makeIssuerMembership(alive, alive.front(), true);
    }

    quota_messages runTicks(milliseconds span)
    {
        quota_messages sent;
        for (const time_point end = now + span; now < end;) {
            now += milliseconds(100);
            const quota_messages out = issuer.tick(now);
            sent.insert(sent.end(), out.begin(), out.end());
        }
        return sent;
    }

    std::vector<token_grant> request(std::uint64_t number, std::uint32_t tokens, const std::string &sender = "e9")
    {
        std::vector<token_grant> grants;
        for (const auto &sent : issuer.handle(token_request{sender, "w", number, tokens}, now)) {
            if (const auto *const grant = std::get_if<token_grant>(&sent.message)) {
                grants.push_back(*grant);
            }
        }
        return grants;
    }
};

std::size_t countClaims(const quota_messages &messages)
{
    return static_cast<std::size_t>(std::ranges::count_if(messages, [](const addressed_quota_message &sent) {
        const auto *const query = std::get_if<issuer_query>(&sent.message);
        return query != nullptr && query->purpose == query_purpose::claim;
    }));
}

}

Test(quota_issuer, first_candidate_issues_after_its_time_and_after_it_has_queried_the_others)
{
    issuer_fixture fixture;
    const auto early = fixture.request(1, 1);
    cr_assert_eq(early.size(), 1);
    cr_assert_not(early.front().isIssuer);
    cr_assert_eq(countClaims(fixture.runTicks(milliseconds(100))), 3);
    cr_assert_not(fixture.issuer.isIssuer("w"));
    cr_assert_eq(fixture.request(2, 1).size(), 0, "requests wait for the end of the claim");
    const quota_messages sent = fixture.runTicks(milliseconds(100));
    cr_assert(fixture.issuer.isIssuer("w"));
    cr_assert(std::ranges::any_of(sent, [](const addressed_quota_message &message) {
        const auto *const grant = std::get_if<token_grant>(&message.message);
        return grant != nullptr && grant->number == 2 && grant->tokens == 1;
    }));
}

Test(quota_issuer, bucket_grants_the_rate_and_names_the_time_to_ask_again)
{
    issuer_fixture fixture;
    fixture.runTicks(milliseconds(200));
    std::size_t granted = 0;
    std::uint64_t number = 0;
    for (const time_point end = fixture.now + seconds(10); fixture.now < end;) {
        fixture.runTicks(milliseconds(100));
        const auto grants = fixture.request(++number, 50);
        cr_assert_eq(grants.size(), 1);
        granted += grants.front().tokens;
        cr_assert_geq(grants.front().retryAfter.count(), 20);
        cr_assert_leq(grants.front().retryAfter.count(), 1000);
    }
    cr_assert_geq(granted, 99);
    cr_assert_leq(granted, 104);
}

// Each holder asks up to three times; the network may double and delay the datagrams as well.
Test(quota_issuer, repeated_request_gets_the_same_response_and_late_one_none)
{
    issuer_fixture fixture;
    fixture.runTicks(milliseconds(2000));
    const auto first = fixture.request(7, 5);
    cr_assert_eq(first.front().tokens, 5);
    const double left = *fixture.issuer.tokens("w", fixture.now);
    cr_assert(fixture.request(7, 5) == first);
    cr_assert(fixture.request(6, 5).empty());
    cr_assert_float_eq(*fixture.issuer.tokens("w", fixture.now), left, 1e-9);
}

Test(quota_issuer, deputy_issues_only_when_the_first_candidate_does_not_respond)
{
    issuer_fixture fixture(1);
    fixture.runTicks(milliseconds(500));
    cr_assert_not(fixture.issuer.isIssuer("w"), "it is not asked");
    cr_assert_not(fixture.request(1, 1).front().isIssuer);
    const quota_messages handled
        = fixture.issuer.handle(issuer_status{fixture.order[0], "w", 1, issuer_state::issuer, 0, {}}, fixture.now);
    fixture.runTicks(milliseconds(200));
    cr_assert_not(fixture.issuer.isIssuer("w"));
    cr_assert_eq(fixture.request(2, 1).front().issuer, fixture.order[0]);
    fixture.runTicks(milliseconds(300));
    fixture.request(3, 1);
    fixture.runTicks(milliseconds(100));
    cr_assert(fixture.issuer.isIssuer("w"));
    cr_assert_eq(fixture.issuer.totals().takeovers, 1);
}

// Otherwise two entries would issue the limit whenever one of them does not know the other.
Test(quota_issuer, entry_relays_the_query_of_a_deputy_to_the_first_candidate)
{
    issuer_fixture fixture(2);
    const auto out = fixture.issuer.handle(issuer_query{fixture.order[1], "w", 44, query_purpose::claim}, fixture.now);
    cr_assert_eq(out.size(), 1);
    cr_assert_eq(out.front().receiver, fixture.order[0]);
    const auto &query = std::get<issuer_query>(out.front().message);
    cr_assert_eq(query.purpose, query_purpose::status);
    const auto relayed = fixture.issuer.handle(
        issuer_status{fixture.order[0], "w", query.number, issuer_state::issuer, 0, {}}, fixture.now);
    cr_assert_eq(relayed.size(), 1);
    cr_assert_eq(relayed.front().receiver, fixture.order[1]);
    const issuer_status expected{fixture.order[0], "w", 44, issuer_state::issuer, 0, fixture.self};
    cr_assert(std::get<issuer_status>(relayed.front().message) == expected);
}

Test(quota_issuer, issuer_yields_its_tokens_to_an_entry_that_goes_before_it)
{
    issuer_fixture fixture(1);
    fixture.request(1, 1);
    fixture.runTicks(milliseconds(100));
    fixture.request(2, 1);
    fixture.runTicks(milliseconds(1000));
    cr_assert(fixture.issuer.isIssuer("w"));
    const auto out = fixture.issuer.handle(issuer_query{fixture.order[0], "w", 9, query_purpose::claim}, fixture.now);
    const auto &status = std::get<issuer_status>(out.front().message);
    cr_assert_eq(status.state, issuer_state::yielded);
    cr_assert_geq(status.tokens, 9);
    cr_assert_not(fixture.issuer.isIssuer("w"));
    cr_assert_eq(fixture.request(3, 1).front().issuer, fixture.order[0]);
}

Test(quota_issuer, status_query_changes_nothing)
{
    issuer_fixture fixture;
    fixture.runTicks(milliseconds(500));
    const auto out = fixture.issuer.handle(issuer_query{"zzz", "w", 9, query_purpose::status}, fixture.now);
    cr_assert_eq(std::get<issuer_status>(out.front().message).state, issuer_state::issuer);
    cr_assert(fixture.issuer.isIssuer("w"));
}

Test(quota_issuer, pause_does_not_fill_the_bucket_and_ends_the_duty)
{
    issuer_fixture fixture;
    fixture.runTicks(milliseconds(500));
    fixture.request(1, 1000);
    fixture.now += milliseconds(450);
    cr_assert(fixture.request(2, 1).empty());
    cr_assert_not(fixture.issuer.isIssuer("w"));
    fixture.runTicks(milliseconds(100));
    cr_assert(fixture.issuer.isIssuer("w"));
    cr_assert_leq(*fixture.issuer.tokens("w", fixture.now), quota_issuer::initialTokens + 1);
}

Test(quota_issuer, part_of_the_fleet_issues_its_share)
{
    issuer_fixture fixture;
    fixture.runTicks(seconds(5));
    fixture.issuer.setShare(0.1, fixture.now);
    cr_assert_leq(*fixture.issuer.tokens("w", fixture.now), 0.1 * 20 + 2);
    fixture.request(1, 1000);
    fixture.runTicks(seconds(1));
    cr_assert_float_eq(*fixture.issuer.tokens("w", fixture.now), 2.0, 0.5);
}

Test(quota_issuer, entry_without_known_members_issues_nothing)
{
    quota_issuer issuer("e1", {});
    time_point now{seconds(1000)};
    issuer.setLimits({{"w", {10, 10}}}, now);
    const fleet_member self{"e1", "zone", "", 1, true};
    issuer.setMembership(makeIssuerMembership({self}, self, false), now);
    for (int tick = 0; tick < 20; ++tick) {
        now += milliseconds(100);
        issuer.tick(now);
    }
    cr_assert_not(issuer.isIssuer("w"));
    issuer.setMembership(makeIssuerMembership({self}, self, true), now);
    issuer.tick(now);
    cr_assert(issuer.isIssuer("w"), "it is the only entry");
}
