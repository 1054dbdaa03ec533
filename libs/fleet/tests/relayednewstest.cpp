#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(news_too_large_for_a_datagram_are_handed_on);

namespace {

/** An entry of a fleet of @p size, which it has all heard. */
fleet_state entryOf(const std::string &name, std::size_t size)
{
    fleet_state entry(member(name));
    for (std::size_t i = 0; i + 1 < size; ++i) {
        entry.hear(heartbeatOf("m" + std::to_string(i)), start);
    }
    return entry;
}

std::vector<backend_record> manyBackends(store_offset count)
{
    std::vector<backend_record> records;
    for (store_offset offset = 0; offset < count; ++offset) {
        records.push_back(backend("s" + std::to_string(offset), offset));
    }
    return records;
}

}

Test(news_too_large_for_a_datagram_are_handed_on, a_new_configuration_in_a_large_fleet_only)
{
    fleet_state large = entryOf("e1", 30);
    large.applyReading(reading(start, 3, {}), start);
    const view_position before = large.position();
    cr_assert_not(large.push(before, start).has_value());
    large.applyReading(reading(start, 4, {}), start);
    cr_assert(large.push(before, start).has_value());
    fleet_state small = entryOf("e1", 15);
    small.applyReading(reading(start, 4, {}), start);
    cr_assert_not(small.push(before, start).has_value());
}

Test(news_too_large_for_a_datagram_are_handed_on, the_first_view_of_an_entry_that_starts_is_none)
{
    fleet_state entry = entryOf("e1", 300);
    const view_position before = entry.position();
    entry.applyReading(reading(start, 3, manyBackends(3000)), start);
    cr_assert_not(entry.push(before, start).has_value());
}

Test(news_too_large_for_a_datagram_are_handed_on, the_receiver_is_as_current_as_the_announcement_said)
{
    fleet_state reader = entryOf("e1", 30);
    fleet_state peer = entryOf("e2", 30);
    reader.applyReading(reading(start, 3, {}), start);
    peer.applyReading(reading(start, 3, {}), start);
    const view_position before = reader.position();
    const time_point readAt = start + milliseconds(700);
    reader.applyReading(reading(readAt, 4, manyBackends(20)), readAt);
    const time_point later = readAt + milliseconds(30);
    cr_assert(peer.hear(reader.news(before, later), later).ask);
    cr_assert(peer.applyPush(*reader.push(before, later), config(4), later + milliseconds(40)));
    cr_assert(peer.position() == reader.position());
    cr_assert_eq(peer.view(later)->backends->at("lots").size(), 20);
    cr_assert_geq(peer.freshAt(), readAt - milliseconds(1));
    cr_assert_leq(peer.freshAt(), readAt);
}

Test(news_too_large_for_a_datagram_are_handed_on, a_gap_before_them_is_not_covered_up)
{
    fleet_state reader = entryOf("e1", 30);
    fleet_state peer = entryOf("e2", 30);
    peer.applyReading(reading(start, 3, {}), start);
    reader.applyReading(reading(start, 3, manyBackends(20)), start);
    const view_position before = reader.position();
    std::vector<backend_record> further;
    for (store_offset offset = 20; offset < 40; ++offset) {
        further.push_back(backend("t" + std::to_string(offset), offset));
    }
    const time_point readAt = start + milliseconds(700);
    reader.applyReading(reading(readAt, 4, further), readAt);
    cr_assert(peer.applyPush(*reader.push(before, readAt), config(4), readAt));
    cr_assert_eq(peer.view(readAt)->config->version, 4);
    cr_assert(peer.view(readAt)->backends->empty());
    cr_assert_not(peer.knows(reader.position()));
    cr_assert_leq(peer.freshAt(), start);
}
