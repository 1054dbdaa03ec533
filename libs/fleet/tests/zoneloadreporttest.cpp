#include "fleetfixture.h"

#include "cardamomdeck/fleet/fleetmessage.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace cardamomdeck;
using nlohmann::json;

namespace {

heartbeat_message makeHeartbeat()
{
    heartbeat_message heartbeat;
    heartbeat.sender = makeMember("e1");
    return heartbeat;
}

std::string pack(const json &message)
{
    std::string bytes;
    json::to_msgpack(message, bytes);
    return bytes;
}

}

TestSuite(loads_in_heartbeats);

Test(loads_in_heartbeats, round_trip)
{
    heartbeat_message heartbeat = makeHeartbeat();
    heartbeat.zoneLoads
        = {{"zone-a", milliseconds(120), {{"desk", 0}, {"lots", 137}}}, {"zone-b", milliseconds(900), {{"lots", 85}}}};
    cr_assert(decodeHeartbeat(encode(heartbeat, startTime), startTime).value() == heartbeat);
}

// Guards against a change of the messages of fleets that do not use the feature.
Test(loads_in_heartbeats, are_absent_without_content)
{
    const std::string message = encode(makeHeartbeat(), startTime);
    cr_assert_eq(json::from_msgpack(message).size(), 8);
    cr_assert(decodeHeartbeat(message, startTime).value().zoneLoads.empty());
}

// Guards against heartbeats that are rejected because another optional field stands before, or is unknown.
Test(loads_in_heartbeats, are_found_beside_other_fields)
{
    heartbeat_message heartbeat = makeHeartbeat();
    heartbeat.zoneLoads = {{"zone-a", milliseconds(1), {{"lots", 50}}}};
    json fields = json::from_msgpack(encode(heartbeat, startTime));
    fields.insert(fields.begin() + 8, json::array({json::array({"zone-c", 0, 7, true})}));
    heartbeat.evacuations = {{"zone-c", 7, true}};
    fields.push_back(json({{"unknown", 1}}));
    cr_assert(decodeHeartbeat(pack(fields), startTime).value() == heartbeat);
}

// Guards against damaged loads that count as recent for good, or end the entry.
Test(loads_in_heartbeats, that_are_malformed_are_rejected)
{
    json fields = json::from_msgpack(encode(makeHeartbeat(), startTime));
    fields.push_back(nullptr);
    for (const char *loads : {R"([1])",
                              R"({"a": []})",
                              R"({"a": [-1, {}]})",
                              R"({"a": [9223372036854775807, {}]})",
                              R"({"a": [1, {"s": "x"}]})",
                              R"({"a": [1, [5]]})"}) {
        fields[8] = {{"loads", json::parse(loads)}};
        cr_assert_not(decodeHeartbeat(pack(fields), startTime), "%s", loads);
    }
}
