#include "cardamomdeck/fleet/viewresponsecache.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point startTime{seconds(1000)};

store_read_result makeStoreRead(std::uint64_t version, store_offset end)
{
    store_read_result readResult;
    readResult.startedAt = startTime;
    readResult.config = config_source{{}, "text of version " + std::to_string(version)};
    readResult.config->config.version = version;
    readResult.configEnd = version;
    readResult.backendsEnd = end;
    for (store_offset offset = 0; offset < end; ++offset) {
        backend_server server;
        server.id = "s" + std::to_string(offset);
        server.address = {"10.0.1.1", 80};
        server.warmupEndsAt = startTime;
        server.startUnixMs = 1;
        readResult.backends.push_back({server.id, offset, server});
    }
    return readResult;
}

fleet_state makeReaderState()
{
    fleet_state state({"e1", "a", "10.0.0.1", 100});
    state.applyStoreRead(makeStoreRead(3, 2), startTime);
    return state;
}

}

TestSuite(view_response_cache_tests);

Test(view_response_cache_tests, concurrent_full_requests_share_one_response)
{
    fleet_state state = makeReaderState();
    view_response_cache cache;
    const auto first = cache.encodedResponse(state, {}, startTime);
    cr_assert_eq(cache.encodedResponse(state, {}, startTime + view_response_cache::maxAge / 2).get(), first.get());
    cr_assert(decodeViewResponse(*first, startTime).value() == state.makeViewResponse({}, startTime));
}

Test(view_response_cache_tests, a_view_change_invalidates_the_cached_response)
{
    fleet_state state = makeReaderState();
    view_response_cache cache;
    static_cast<void>(cache.encodedResponse(state, {}, startTime));
    state.applyStoreRead(makeStoreRead(4, 3), startTime);
    const auto response = decodeViewResponse(*cache.encodedResponse(state, {}, startTime), startTime);
    cr_assert_eq(response->position.configVersion, 4);
    cr_assert_eq(response->backends.size(), 3);
}

Test(view_response_cache_tests, new_members_are_included_after_max_age)
{
    fleet_state state = makeReaderState();
    view_response_cache cache;
    static_cast<void>(cache.encodedResponse(state, {}, startTime));
    heartbeat_message heartbeat;
    heartbeat.sender = {"e2", "a", "10.0.0.2", 100};
    state.applyHeartbeat(heartbeat, startTime);
    const time_point later = startTime + view_response_cache::maxAge;
    cr_assert_eq(decodeViewResponse(*cache.encodedResponse(state, {}, later), later)->members.size(), 2);
}

Test(view_response_cache_tests, a_request_for_changes_gets_only_changes)
{
    fleet_state state = makeReaderState();
    view_response_cache cache;
    static_cast<void>(cache.encodedResponse(state, {}, startTime));
    const auto response = decodeViewResponse(*cache.encodedResponse(state, {state.position()}, startTime), startTime);
    cr_assert(response->backends.empty());
    cr_assert_not(response->config.has_value());
}
