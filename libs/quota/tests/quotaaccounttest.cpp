#include "cardamomdeck/quota/quotaaccount.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

TestSuite(quota_account);

namespace {

/** An account that can ask the entries i1 and i2, a minute after the start of its entry. */
struct account_fixture
{
    random_source random{1};
    time_point now{seconds(1000)};
    quota_account account{"e1", "w", {100, 100}, {}, 0, now - seconds(60), random};

    account_fixture()
    {
        account.setIssuers({"i1", "i2"});
        account.setFleetSize(100);
    }

    quota_account::step advance()
    {
        return account.advance(now, random);
    }

    /** Sends a request of a caller, which must make the account ask for tokens. */
    addressed_quota_message ask()
    {
        cr_assert_eq(account.request(now, random).verdict, quota_verdict::waiting);
        const auto message = advance().message;
        cr_assert(message);
        return *message;
    }

    static token_grant grantFor(const addressed_quota_message &message, std::uint32_t tokens)
    {
        const auto &request = std::get<token_request>(message.message);
        return {message.receiver, request.workspace, request.number, true, tokens, milliseconds(0), ""};
    }
};

}

Test(quota_account, request_waits_for_the_issuer_and_runs_with_its_token)
{
    account_fixture fixture;
    const auto message = fixture.ask();
    cr_assert_eq(message.receiver, "i1");
    fixture.now += milliseconds(2);
    cr_assert(fixture.account.recordGrant(fixture.grantFor(message, 1), fixture.now, fixture.random));
    const auto step = fixture.advance();
    cr_assert_eq(step.decisions.size(), 1);
    cr_assert_eq(step.decisions.front().verdict, quota_verdict::admitted);
    cr_assert_eq(fixture.account.stock(fixture.now), 0);
}

// Otherwise a datagram that the network doubled would double the tokens.
Test(quota_account, response_counts_once_and_only_from_the_entry_that_was_asked)
{
    account_fixture fixture;
    const auto message = fixture.ask();
    token_grant foreign = fixture.grantFor(message, 5);
    foreign.sender = "i2";
    cr_assert_not(fixture.account.recordGrant(foreign, fixture.now, fixture.random));
    cr_assert(fixture.account.recordGrant(fixture.grantFor(message, 5), fixture.now, fixture.random));
    cr_assert_not(fixture.account.recordGrant(fixture.grantFor(message, 5), fixture.now, fixture.random));
    cr_assert_eq(fixture.account.stock(fixture.now), 5);
}

Test(quota_account, tokens_expire_a_lifetime_after_the_request_for_them)
{
    account_fixture fixture;
    const auto message = fixture.ask();
    fixture.now += milliseconds(20);
    fixture.account.recordGrant(fixture.grantFor(message, 5), fixture.now, fixture.random);
    cr_assert_eq(fixture.account.stock(fixture.now + milliseconds(479)), 5);
    cr_assert_eq(fixture.account.stock(fixture.now + milliseconds(480)), 0);
}

Test(quota_account, returned_token_is_used_until_it_expires)
{
    account_fixture fixture;
    const auto message = fixture.ask();
    fixture.account.recordGrant(fixture.grantFor(message, 1), fixture.now, fixture.random);
    const quota_decision decision = fixture.advance().decisions.front();
    fixture.account.giveBack(decision, fixture.now + milliseconds(499));
    cr_assert_eq(fixture.account.stock(fixture.now + milliseconds(499)), 1);
    cr_assert_eq(fixture.account.request(fixture.now + milliseconds(499), fixture.random).verdict,
                 quota_verdict::admitted);
    fixture.account.giveBack(decision, fixture.now + milliseconds(500));
    cr_assert_eq(fixture.account.stock(fixture.now + milliseconds(500)), 0);
}

Test(quota_account, requests_are_rejected_at_once_while_the_issuer_has_no_tokens)
{
    account_fixture fixture;
    const auto message = fixture.ask();
    token_grant empty = fixture.grantFor(message, 0);
    empty.retryAfter = milliseconds(80);
    fixture.account.recordGrant(empty, fixture.now, fixture.random);
    const auto step = fixture.advance();
    cr_assert_eq(step.decisions.front().verdict, quota_verdict::rejected);
    cr_assert_geq(step.decisions.front().retryAfter.count(), 80);
    cr_assert_not(step.message);
    fixture.now += milliseconds(79);
    cr_assert_eq(fixture.account.request(fixture.now, fixture.random).verdict, quota_verdict::rejected);
    fixture.now += milliseconds(20);
    cr_assert_eq(fixture.account.request(fixture.now, fixture.random).verdict, quota_verdict::waiting);
    cr_assert(fixture.advance().message);
}

Test(quota_account, silent_entry_is_asked_three_times_and_then_passed_over)
{
    account_fixture fixture;
    const auto first = fixture.ask();
    for (int repetition = 0; repetition < 2; ++repetition) {
        fixture.now = fixture.account.nextActionAt();
        const auto repeated = fixture.advance().message;
        cr_assert(repeated == first, "a repetition has the same number");
    }
    fixture.now = fixture.account.nextActionAt();
    const auto next = fixture.advance().message;
    cr_assert(next);
    cr_assert_eq(next->receiver, "i2");
    cr_assert(std::get<token_request>(next->message).number > std::get<token_request>(first.message).number);
}

Test(quota_account, without_an_issuer_an_entry_spends_its_part_of_the_limit)
{
    account_fixture fixture;
    fixture.account.setIssuers({});
    std::size_t admitted = 0;
    for (int request = 0; request < 10'000; ++request) {
        fixture.now += milliseconds(1);
        admitted += fixture.account.request(fixture.now, fixture.random).verdict == quota_verdict::admitted ? 1 : 0;
    }
    // One of 100 entries, for 10 s, with a limit of 100 requests per second.
    cr_assert_geq(admitted, 9);
    cr_assert_leq(admitted, 11);
    cr_assert_eq(fixture.account.totals().fallback, admitted);
}

// It may know only itself, and would spend the whole limit.
Test(quota_account, entry_that_has_just_started_spends_nothing_without_an_issuer)
{
    account_fixture fixture;
    quota_account started("e1", "w", {100, 100}, {}, 0, fixture.now, fixture.random);
    for (int request = 0; request < 2900; ++request) {
        fixture.now += milliseconds(1);
        cr_assert_eq(started.request(fixture.now, fixture.random).verdict, quota_verdict::rejected);
    }
}

Test(quota_account, issuer_that_another_entry_names_is_asked_next)
{
    account_fixture fixture;
    const auto first = fixture.ask();
    token_grant notIssuer = fixture.grantFor(first, 0);
    notIssuer.isIssuer = false;
    notIssuer.retryAfter = milliseconds(100);
    notIssuer.issuer = "i7";
    fixture.account.recordGrant(notIssuer, fixture.now, fixture.random);
    const auto second = fixture.advance().message;
    cr_assert(second);
    cr_assert_eq(second->receiver, "i7");
}

Test(quota_account, lowered_limit_reduces_the_stock)
{
    account_fixture fixture;
    const auto message = fixture.ask();
    fixture.account.recordGrant(fixture.grantFor(message, 50), fixture.now, fixture.random);
    fixture.account.setLimit({10, 10});
    cr_assert_eq(fixture.account.stock(fixture.now), 5);
    fixture.account.setLimit({1000, 10});
    cr_assert_eq(fixture.account.stock(fixture.now), 5);
}

// A token that is requested ahead by an entry with few requests expires unused most of the time.
Test(quota_account, tokens_are_requested_ahead_only_under_enough_demand)
{
    for (const int requestsPerSecond : {4, 100}) {
        account_fixture fixture;
        std::size_t ahead = 0;
        for (int request = 0; request < 5 * requestsPerSecond; ++request) {
            fixture.now += milliseconds(1000 / requestsPerSecond);
            const bool isWaiting
                = fixture.account.request(fixture.now, fixture.random).verdict == quota_verdict::waiting;
            if (const auto message = fixture.advance().message) {
                ahead += isWaiting ? 0 : 1;
                const auto tokens = std::get<token_request>(message->message).tokens;
                fixture.account.recordGrant(fixture.grantFor(*message, tokens), fixture.now, fixture.random);
                fixture.advance();
            }
        }
        cr_assert(requestsPerSecond == 4 ? ahead == 0 : ahead >= 10, "%zu", ahead);
    }
}
