#include "cardamomdeck/fleet/answercache.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};

store_reading reading(std::uint64_t version, store_offset end)
{
    store_reading value;
    value.startedAt = start;
    value.config = config_source{{}, "text of version " + std::to_string(version)};
    value.config->config.version = version;
    value.configEnd = version;
    value.backendsEnd = end;
    for (store_offset offset = 0; offset < end; ++offset) {
        backend_server server;
        server.id = "s" + std::to_string(offset);
        server.address = {"10.0.1.1", 80};
        server.warmUntil = start;
        server.bornMs = 1;
        value.backends.push_back({server.id, offset, server});
    }
    return value;
}

fleet_state reader()
{
    fleet_state state({"e1", "a", "10.0.0.1", 100});
    state.applyReading(reading(3, 2), start);
    return state;
}

}

TestSuite(some_hundred_entries_start_at_once);

Test(some_hundred_entries_start_at_once, the_whole_view_is_encoded_once_for_those_who_ask_together)
{
    fleet_state state = reader();
    answer_cache cache;
    const auto first = cache.encoded(state, {}, start);
    cr_assert_eq(cache.encoded(state, {}, start + answer_cache::longestAge / 2).get(), first.get());
    cr_assert(decodeAnswer(*first, start).value() == state.answer({}, start));
}

Test(some_hundred_entries_start_at_once, nobody_gets_a_view_from_before_a_change)
{
    fleet_state state = reader();
    answer_cache cache;
    static_cast<void>(cache.encoded(state, {}, start));
    state.applyReading(reading(4, 3), start);
    const auto answer = decodeAnswer(*cache.encoded(state, {}, start), start);
    cr_assert_eq(answer->position.configVersion, 4);
    cr_assert_eq(answer->backends.size(), 3);
}

Test(some_hundred_entries_start_at_once, members_that_were_heard_meanwhile_are_named_soon)
{
    fleet_state state = reader();
    answer_cache cache;
    static_cast<void>(cache.encoded(state, {}, start));
    peer_notice notice;
    notice.sender = {"e2", "a", "10.0.0.2", 100};
    state.hear(notice, start);
    const time_point later = start + answer_cache::longestAge;
    cr_assert_eq(decodeAnswer(*cache.encoded(state, {}, later), later)->members.size(), 2);
}

Test(some_hundred_entries_start_at_once, a_question_for_changes_gets_only_these)
{
    fleet_state state = reader();
    answer_cache cache;
    static_cast<void>(cache.encoded(state, {}, start));
    const auto answer = decodeAnswer(*cache.encoded(state, {state.position()}, start), start);
    cr_assert(answer->backends.empty());
    cr_assert_not(answer->config.has_value());
}
