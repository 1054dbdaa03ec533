#include "cardamomdeck/membership/peertable.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};

std::map<std::string, entry_member> makeMembers(unsigned count)
{
    std::map<std::string, entry_member> members;
    for (unsigned i = 0; i < count; ++i) {
        const std::string name = "e" + std::to_string(i);
        members[name] = {name, "a", 1, {"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
    }
    return members;
}

peer_table makeTable(unsigned count)
{
    peer_table table("e0");
    table.setMembers(makeMembers(count), 1, start);
    return table;
}

peer_message from(const std::string &name, log_offset installed, std::uint64_t incarnation = 1)
{
    peer_message message;
    message.entry = name;
    message.incarnation = incarnation;
    message.applied = installed;
    message.installed = installed;
    return message;
}

void hear(peer_table &table, const std::string &name, log_offset installed, time_point at)
{
    table.heard(from(name, installed), true, at, at);
}

}

Test(view_lease, without_store_and_majority_there_is_none)
{
    peer_table table = makeTable(5);
    hear(table, "e1", 1, start);
    cr_assert(table.freshUntil() <= start);
    hear(table, "e2", 1, start);
    cr_assert(table.freshUntil() == start + viewLease);
}

Test(view_lease, runs_from_the_oldest_member_of_the_youngest_majority)
{
    peer_table table = makeTable(5);
    hear(table, "e1", 1, start + seconds(1));
    hear(table, "e2", 1, start + seconds(2));
    hear(table, "e3", 1, start + seconds(3));
    cr_assert(table.freshUntil() == start + seconds(2) + viewLease);
}

Test(view_lease, a_store_read_counts_alone)
{
    peer_table table = makeTable(5);
    table.confirmedByStore(start);
    cr_assert(table.freshUntil() == start + viewLease);
}

Test(view_lease, a_peer_whose_records_are_missing_here_confirms_nothing)
{
    peer_table table = makeTable(3);
    table.heard(from("e1", 9), false, start, start);
    cr_assert(table.freshUntil() <= start);
    cr_assert(table.installedAt("e1") == 9);
}

Test(view_lease, strangers_and_earlier_incarnations_confirm_nothing)
{
    peer_table table = makeTable(3);
    table.heard(from("stranger", 5), true, start, start);
    table.heard(from("e1", 5, 2), true, start, start);
    cr_assert(table.freshUntil() <= start);
    cr_assert(table.acceptedOffset() == 0);
}

Test(acceptance, needs_a_majority_that_acts_on_the_record)
{
    peer_table table = makeTable(5);
    table.setInstalled(7, start);
    hear(table, "e1", 7, start);
    cr_assert(not table.acceptedAt(7).has_value());
    hear(table, "e2", 8, start + seconds(1));
    cr_assert(table.acceptedAt(7) == start + seconds(1));
    cr_assert(not table.acceptedAt(8).has_value());
}

Test(acceptance, is_in_force_when_all_have_it_or_one_lease_later)
{
    peer_table table = makeTable(3);
    table.setInstalled(7, start);
    hear(table, "e1", 7, start);
    cr_assert(table.inForceOffset(start + milliseconds(100)) == 0);
    cr_assert(table.waitingFor(7) == std::vector<std::string>{"e2"});
    cr_assert(table.inForceOffset(start + viewLease) == 7);
    hear(table, "e2", 7, start + milliseconds(200));
    cr_assert(table.inForceOffset(start + milliseconds(200)) == 7);
}

Test(acceptance, never_goes_back_when_a_member_is_replaced)
{
    peer_table table = makeTable(3);
    table.setInstalled(7, start);
    hear(table, "e1", 7, start);
    auto members = makeMembers(3);
    members["e1"].incarnation = 2;
    table.setMembers(members, 8, start + seconds(1));
    cr_assert(table.acceptedOffset() == 7);
    cr_assert(table.installedAt("e1") == 0);
    hear(table, "e1", 9, start + seconds(2));
    cr_assert(table.installedAt("e1") == 0, "the earlier incarnation is not the member any more");
}

Test(drain, waits_for_each_member_that_may_hold_a_request)
{
    peer_table table = makeTable(3);
    hear(table, "e1", 6, start);
    peer_message holding = from("e2", 7);
    holding.held = {{"lots-1", 2}};
    table.heard(holding, true, start, start);
    cr_assert(table.holdersOf("lots-1", 7) == (std::vector<std::string>{"e1", "e2"}));
    hear(table, "e1", 7, start + seconds(1));
    hear(table, "e2", 7, start + seconds(1));
    cr_assert(table.holdersOf("lots-1", 7).empty());
}
