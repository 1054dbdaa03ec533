#include "cardamomdeck/fleet/evacuationtable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cardamomdeck;

namespace {

evacuation_record evacuated(const std::string &zone, store_offset offset)
{
    return {zone, {0, offset}, true};
}

evacuation_record ended(const std::string &zone, store_offset offset)
{
    return {zone, {0, offset}, false};
}

std::string zoneName(std::size_t number)
{
    return "zone-" + std::to_string(100 + number);
}

}

TestSuite(evacuation_records);

// Guards against late, lost and doubled messages that bring an ended evacuation back, or end one that is in force.
Test(evacuation_records, every_order_of_messages_leads_to_the_newest_record)
{
    std::vector<evacuation_record> messages{evacuated("a", 3),
                                            ended("a", 5),
                                            evacuated("a", 9),
                                            evacuated("b", 4),
                                            ended("b", 8),
                                            evacuated("a", 3),
                                            ended("b", 8)};
    std::ranges::sort(messages);
    do {
        evacuation_table table;
        for (const evacuation_record &record : messages) {
            table.apply(record);
        }
        cr_assert((table.records() == std::vector<evacuation_record>{evacuated("a", 9), ended("b", 8)}));
        cr_assert((*table.evacuatedZones() == zone_set{"a"}));
    } while (std::ranges::next_permutation(messages).found);
}

Test(evacuation_records, an_era_goes_before_an_offset)
{
    evacuation_table table;
    table.apply(evacuated("a", 900));
    cr_assert(table.apply({"a", {1, 2}, false}));
    cr_assert_not(table.apply(evacuated("a", 901)));
    cr_assert(table.evacuatedZones()->empty());
}

Test(evacuation_records, evacuation_holds_if_two_records_claim_one_position)
{
    for (const bool evacuatedFirst : {true, false}) {
        evacuation_table table;
        table.apply(evacuatedFirst ? evacuated("a", 3) : ended("a", 3));
        table.apply(evacuatedFirst ? ended("a", 3) : evacuated("a", 3));
        cr_assert(table.evacuatedZones()->contains("a"));
    }
}

Test(evacuation_records, zones_are_the_same_object_until_they_change)
{
    evacuation_table table;
    table.apply(evacuated("a", 3));
    const zone_set_ptr before = table.evacuatedZones();
    cr_assert_not(table.apply(evacuated("a", 4)));
    cr_assert_not(table.apply(ended("b", 5)));
    cr_assert_eq(table.evacuatedZones().get(), before.get());
    cr_assert(table.apply(ended("a", 6)));
    cr_assert_neq(table.evacuatedZones().get(), before.get());
    cr_assert((*before == zone_set{"a"}));
}

TestSuite(evacuation_listings);

Test(evacuation_listings, listing_ends_what_it_lacks)
{
    evacuation_table table;
    table.applyRead({evacuated("a", 3), evacuated("b", 4)});
    cr_assert(table.applyListing({evacuated("b", 4)}, {0, 9}));
    cr_assert((table.records() == std::vector<evacuation_record>{ended("a", 8), evacuated("b", 4)}));
    cr_assert_not(table.apply(evacuated("a", 3)), "a late record does not bring it back");
}

// Guards against a listing that was under way for long, or that an old copy of the store returned.
Test(evacuation_listings, old_listing_does_not_end_a_newer_evacuation)
{
    evacuation_table table;
    table.apply(evacuated("a", 12));
    cr_assert_not(table.applyListing({}, {0, 12}));
    cr_assert_not(table.applyListing({}, {0, 9}));
    cr_assert_not(table.applyListing({}, {0, 0}));
    cr_assert(table.evacuatedZones()->contains("a"));
    cr_assert(table.applyListing({}, {0, 14}));
}

Test(evacuation_listings, old_listing_does_not_bring_an_ended_evacuation_back)
{
    evacuation_table table;
    table.applyRead({evacuated("a", 3), ended("a", 7)});
    cr_assert_not(table.applyListing({evacuated("a", 3)}, {0, 6}));
    cr_assert(table.evacuatedZones()->empty());
}

TestSuite(evacuation_limits);

// Guards against heartbeats that no longer fit one datagram.
Test(evacuation_limits, table_is_bounded_in_zones_and_in_bytes)
{
    evacuation_table many;
    evacuation_table longNames;
    for (std::size_t number = 0; number < 3 * evacuation_table::maxZones; ++number) {
        many.apply(evacuated(zoneName(number), number));
        longNames.apply(evacuated(std::string(200, 'x') + zoneName(number), number));
    }
    cr_assert_eq(many.records().size(), evacuation_table::maxZones);
    std::size_t bytes = 0;
    for (const evacuation_record &record : longNames.records()) {
        bytes += record.zone.size();
    }
    cr_assert_leq(bytes, evacuation_table::maxTotalNameBytes);
    cr_assert_geq(longNames.records().size(), 4);
}

Test(evacuation_limits, ended_evacuations_are_dropped_before_those_in_force)
{
    evacuation_table table;
    table.apply(evacuated("first", 0));
    for (std::size_t number = 1; number < evacuation_table::maxZones; ++number) {
        table.apply(ended(zoneName(number), number));
    }
    cr_assert(table.apply(evacuated("last", 1000)));
    cr_assert((*table.evacuatedZones() == zone_set{"first", "last"}));
    cr_assert_not(table.find(zoneName(1)).has_value());
    cr_assert(table.find(zoneName(2)).has_value());
}

// Guards against entries that pass dropped records to each other for ever.
Test(evacuation_limits, all_entries_keep_the_same_zones)
{
    std::vector<evacuation_record> records;
    for (std::size_t number = 0; number < evacuation_table::maxZones + 20; ++number) {
        records.push_back(number % 3 == 0 ? ended(zoneName(number), number) : evacuated(zoneName(number), number));
    }
    evacuation_table forwards;
    forwards.applyRead(records);
    std::ranges::reverse(records);
    evacuation_table backwards;
    backwards.applyRead(records);
    cr_assert(forwards.records() == backwards.records());
    cr_assert_not(forwards.applyRead(records));
}

TestSuite(zone_names);

Test(zone_names, names_are_short_and_without_control_characters)
{
    cr_assert(isZoneName("zone-a"));
    cr_assert(isZoneName(std::string(maxZoneNameBytes, 'z')));
    cr_assert_not(isZoneName(""));
    cr_assert_not(isZoneName("a\r\nb"));
    cr_assert_not(isZoneName(std::string(maxZoneNameBytes + 1, 'z')));
}
