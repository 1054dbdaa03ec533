#include "cardamomdeck/membership/peertable.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point startTime{seconds(1000)};

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
    table.setMembers(makeMembers(count), 1, startTime);
    return table;
}

peer_message makeMessage(const std::string &name, log_offset installed, std::uint64_t incarnation = 1)
{
    peer_message message;
    message.entry = name;
    message.incarnation = incarnation;
    message.appliedOffset = installed;
    message.installedOffset = installed;
    return message;
}

void receiveReply(peer_table &table, const std::string &name, log_offset installed, time_point at)
{
    table.handleReply(makeMessage(name, installed), true, at, at);
}

}

Test(view_lease, is_expired_without_log_read_or_majority_contact)
{
    peer_table table = makeTable(5);
    receiveReply(table, "e1", 1, startTime);
    cr_assert(table.leaseExpiresAt() <= startTime);
    receiveReply(table, "e2", 1, startTime);
    cr_assert(table.leaseExpiresAt() == startTime + viewLease);
}

Test(view_lease, starts_at_the_oldest_contact_of_the_latest_majority)
{
    peer_table table = makeTable(5);
    receiveReply(table, "e1", 1, startTime + seconds(1));
    receiveReply(table, "e2", 1, startTime + seconds(2));
    receiveReply(table, "e3", 1, startTime + seconds(3));
    cr_assert(table.leaseExpiresAt() == startTime + seconds(2) + viewLease);
}

Test(view_lease, log_read_alone_renews_the_lease)
{
    peer_table table = makeTable(5);
    table.confirmLogRead(startTime);
    cr_assert(table.leaseExpiresAt() == startTime + viewLease);
}

Test(view_lease, reply_with_missing_records_does_not_renew_the_lease)
{
    peer_table table = makeTable(3);
    table.handleReply(makeMessage("e1", 9), false, startTime, startTime);
    cr_assert(table.leaseExpiresAt() <= startTime);
    cr_assert(table.installedOffset("e1") == 9);
}

Test(view_lease, replies_of_non_members_and_other_incarnations_are_ignored)
{
    peer_table table = makeTable(3);
    table.handleReply(makeMessage("stranger", 5), true, startTime, startTime);
    table.handleReply(makeMessage("e1", 5, 2), true, startTime, startTime);
    cr_assert(table.leaseExpiresAt() <= startTime);
    cr_assert(table.acceptedOffset() == 0);
}

Test(acceptance, requires_a_majority_that_installed_the_record)
{
    peer_table table = makeTable(5);
    table.setInstalledOffset(7, startTime);
    receiveReply(table, "e1", 7, startTime);
    cr_assert(not table.acceptedAt(7).has_value());
    receiveReply(table, "e2", 8, startTime + seconds(1));
    cr_assert(table.acceptedAt(7) == startTime + seconds(1));
    cr_assert(not table.acceptedAt(8).has_value());
}

Test(acceptance, is_propagated_once_all_installed_it_or_the_lease_expired)
{
    peer_table table = makeTable(3);
    table.setInstalledOffset(7, startTime);
    receiveReply(table, "e1", 7, startTime);
    cr_assert(table.propagatedOffset(startTime + milliseconds(100)) == 0);
    cr_assert(table.laggingMembers(7) == std::vector<std::string>{"e2"});
    cr_assert(table.propagatedOffset(startTime + viewLease) == 7);
    receiveReply(table, "e2", 7, startTime + milliseconds(200));
    cr_assert(table.propagatedOffset(startTime + milliseconds(200)) == 7);
}

Test(acceptance, offset_does_not_decrease_when_a_member_is_replaced)
{
    peer_table table = makeTable(3);
    table.setInstalledOffset(7, startTime);
    receiveReply(table, "e1", 7, startTime);
    auto members = makeMembers(3);
    members["e1"].incarnation = 2;
    table.setMembers(members, 8, startTime + seconds(1));
    cr_assert(table.acceptedOffset() == 7);
    cr_assert(table.installedOffset("e1") == 0);
    receiveReply(table, "e1", 9, startTime + seconds(2));
    cr_assert(table.installedOffset("e1") == 0, "the reply of the earlier incarnation must be ignored");
}

Test(drain, waits_for_each_member_that_may_have_in_flight_requests)
{
    peer_table table = makeTable(3);
    receiveReply(table, "e1", 6, startTime);
    peer_message withRequests = makeMessage("e2", 7);
    withRequests.inFlightRequests = {{"lots-1", 2}};
    table.handleReply(withRequests, true, startTime, startTime);
    cr_assert(table.membersWithInFlightRequests("lots-1", 7) == (std::vector<std::string>{"e1", "e2"}));
    receiveReply(table, "e1", 7, startTime + seconds(1));
    receiveReply(table, "e2", 7, startTime + seconds(1));
    cr_assert(table.membersWithInFlightRequests("lots-1", 7).empty());
}
