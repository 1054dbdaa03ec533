#include "cardamomdeck/dispatch/zonefilter.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

// Guards against data that leaves the regions to which a customer or a route confines it, also when the settings of an
// entry do not name the zone of a server.

TestSuite(allowed_regions);

namespace {

const zone_regions zones = {{"east-1", "east"}, {"east-2", "east"}, {"west-1", "west"}, {"north-1", "north"}};

}

Test(allowed_regions, every_zone_is_allowed_without_restriction)
{
    const zone_filter filter({}, {}, zones);
    cr_assert_not(filter.isRestricted());
    cr_assert(filter.allows("east-1"));
    cr_assert(filter.allows("of-no-region"));
    cr_assert(filter == zone_filter());
}

Test(allowed_regions, either_restriction_holds_alone)
{
    for (const zone_filter &filter : {zone_filter({"east"}, {}, zones), zone_filter({}, {"east"}, zones)}) {
        cr_assert(filter.isRestricted());
        cr_assert(filter.allows("east-1"));
        cr_assert(filter.allows("east-2"));
        cr_assert_not(filter.allows("west-1"));
        cr_assert_not(filter.allows("of-no-region"));
    }
}

Test(allowed_regions, both_restrictions_hold_together)
{
    const zone_filter filter({"east", "west"}, {"west", "north"}, zones);
    cr_assert(filter.allows("west-1"));
    for (const char *const zone : {"east-1", "north-1", ""}) {
        cr_assert_not(filter.allows(zone));
    }
}

Test(allowed_regions, no_zone_is_allowed_when_the_restrictions_exclude_each_other)
{
    for (const zone_filter &filter : {zone_filter({"east"}, {"west"}, zones), zone_filter({"nowhere"}, {}, zones)}) {
        for (const auto &[zone, region] : zones) {
            cr_assert_not(filter.allows(zone));
        }
    }
}
