#include "../viewupdaterelay.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

using namespace cardamomdeck;

namespace {

/** Entries by the outcome of sending to them; the others confirm. Records what is sent. */
struct relay_fixture
{
    std::map<std::string, update_delivery> outcomes;
    std::vector<std::string> receivers;
    std::vector<std::string> lastRelayHosts;

    boost::asio::awaitable<update_delivery> send(const std::string &host, const view_update &update)
    {
        receivers.push_back(host);
        lastRelayHosts = update.relayHosts;
        const auto found = outcomes.find(host);
        co_return found == outcomes.end() ? update_delivery::confirmed : found->second;
    }

    void broadcast(const std::vector<relay_group> &groups)
    {
        boost::asio::io_context context;
        view_update_relay relay(
            context, [this](const std::string &host, const view_update &update) { return send(host, update); });
        relay.broadcast({}, groups);
        context.run();
    }
};

}

TestSuite(relay_to_a_group);

Test(relay_to_a_group, first_entry_receives_the_hosts_of_the_others)
{
    relay_fixture fixture;
    fixture.broadcast({{"a", "b", "c"}});
    cr_assert((fixture.receivers == relay_group{"a"}));
    cr_assert((fixture.lastRelayHosts == relay_group{"b", "c"}));
}

Test(relay_to_a_group, entry_that_cannot_be_reached_is_replaced)
{
    relay_fixture fixture;
    fixture.outcomes = {{"a", update_delivery::unreachable}, {"b", update_delivery::unreachable}};
    fixture.broadcast({{"a", "b", "c", "d"}});
    cr_assert((fixture.receivers == relay_group{"a", "b", "c"}));
    cr_assert((fixture.lastRelayHosts == relay_group{"d"}));
}

// Guards against a fleet that collapses when all entries are busy: each one that confirmed late was replaced although
// it relayed the update too, so the messages multiplied at each level of the tree and never ended.
Test(relay_to_a_group, busy_entry_is_not_replaced)
{
    relay_fixture fixture;
    fixture.outcomes = {{"a", update_delivery::unconfirmed}};
    fixture.broadcast({{"a", "b", "c"}, {"d", "e"}});
    cr_assert((fixture.receivers == relay_group{"a", "d"}));
}
