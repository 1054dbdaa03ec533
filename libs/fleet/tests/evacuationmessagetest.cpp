#include "fleetfixture.h"

#include <nlohmann/json.hpp>

using namespace cardamomdeck;
using nlohmann::json;

namespace {

const std::vector<evacuation_record> evacuations{{"zone-a", 7, true}, {"zone-b", 300, false}};

heartbeat_message makeHeartbeatWithEvacuations()
{
    heartbeat_message heartbeat = makeHeartbeat("e1");
    heartbeat.viewAge = milliseconds(5);
    heartbeat.evacuations = evacuations;
    return heartbeat;
}

json fieldsOf(const heartbeat_message &heartbeat)
{
    return json::from_msgpack(encode(heartbeat, startTime));
}

bool isDecoded(const json &fields)
{
    const std::vector<std::uint8_t> bytes = json::to_msgpack(fields);
    return decodeHeartbeat({reinterpret_cast<const char *>(bytes.data()), bytes.size()}, startTime).has_value();
}

constexpr std::size_t fieldsBefore = 8;

}

TestSuite(evacuation_messages);

Test(evacuation_messages, all_messages_carry_the_table)
{
    const heartbeat_message heartbeat = makeHeartbeatWithEvacuations();
    cr_assert(decodeHeartbeat(encode(heartbeat, startTime), startTime).value() == heartbeat);
    view_response response;
    response.members = {makeMember("e2")};
    response.evacuations = evacuations;
    cr_assert(decodeViewResponse(encode(response, startTime), startTime).value() == response);
    const view_update update{{}, response, {"10.0.0.9"}};
    cr_assert(std::get<view_update>(decodeRequest(encode(update, startTime), startTime).value()) == update);
}

Test(evacuation_messages, message_without_evacuations_is_that_of_earlier_versions)
{
    heartbeat_message heartbeat = makeHeartbeatWithEvacuations();
    heartbeat.evacuations.clear();
    cr_assert_eq(fieldsOf(heartbeat).size(), fieldsBefore);
    cr_assert(decodeHeartbeat(encode(heartbeat, startTime), startTime).value() == heartbeat);
}

// Entries of earlier versions read the fields by their index and ignore those after them.
Test(evacuation_messages, evacuations_are_the_last_field)
{
    const heartbeat_message heartbeat = makeHeartbeatWithEvacuations();
    json fields = fieldsOf(heartbeat);
    cr_assert_eq(fields.size(), fieldsBefore + 1);
    fields.erase(fieldsBefore);
    heartbeat_message without = heartbeat;
    without.evacuations.clear();
    cr_assert(fields == fieldsOf(without));
}

Test(evacuation_messages, a_zone_takes_few_bytes)
{
    heartbeat_message heartbeat = makeHeartbeatWithEvacuations();
    heartbeat.evacuations = {{"eu-central-1a", 70'000, true}};
    const std::size_t size = encode(heartbeat, startTime).size();
    heartbeat.evacuations.clear();
    cr_assert_leq(size - encode(heartbeat, startTime).size(), 25);
}

// Guards against malformed messages that fill the memory, or whose position no later record can exceed.
Test(evacuation_messages, invalid_evacuations_are_rejected)
{
    const json valid = fieldsOf(makeHeartbeatWithEvacuations());
    cr_assert(isDecoded(valid));
    const std::vector<json> invalidLists{json(7),
                                         json::object({{"zone-a", 1}}),
                                         json::array({7}),
                                         json::array({json::array({"zone-a", 0, 7})}),
                                         json::array({json::array({"", 0, 7, true})}),
                                         json::array({json::array({"a\nb", 0, 7, true})}),
                                         json::array({json::array({std::string(256, 'z'), 0, 7, true})}),
                                         json::array({json::array({"zone-a", 0, -7, true})}),
                                         json::array({json::array({"zone-a", 0, 1.5, true})}),
                                         json::array({json::array({"zone-a", 0, ~std::uint64_t(0), true})}),
                                         json::array({json::array({"zone-a", 0, 7, 1})}),
                                         json(evacuation_table::maxZones + 1, json::array({"zone-a", 0, 7, true}))};
    for (const json &invalid : invalidLists) {
        json fields = valid;
        fields[fieldsBefore] = invalid;
        cr_assert_not(isDecoded(fields), "%s", invalid.dump().substr(0, 100).c_str());
    }
}

// Guards against a full table that keeps the heartbeats of large fleets from fitting the receivers' buffer.
Test(evacuation_messages, heartbeat_with_a_full_table_fits_one_datagram)
{
    constexpr std::size_t maxDatagramBytes = 4096;
    fleet_member self{"entry-vm-1000000000", "eu-central-1a", "10.100.100.1", 1'790'000'000'000, true};
    fleet_state entry(self);
    for (int i = 0; i < 300; ++i) {
        heartbeat_message heartbeat;
        heartbeat.sender = self;
        heartbeat.sender.name = "entry-vm-" + std::to_string(1'000'000'001 + i);
        entry.applyHeartbeat(heartbeat, startTime);
    }
    store_read_result read = makeStoreRead(startTime, 3, {});
    for (std::size_t number = 0; number < evacuation_table::maxZones; ++number) {
        read.evacuations.push_back({"eu-central-" + std::to_string(10'000 + number), number, true});
    }
    entry.applyStoreRead(read, startTime);
    for (const heartbeat_message &heartbeat : {entry.heartbeat(startTime), entry.crossZoneHeartbeat(startTime)}) {
        cr_assert_eq(heartbeat.evacuations.size(), evacuation_table::maxZones);
        cr_assert_geq(heartbeat.gossipedMembers.size(), 4);
        cr_assert_leq(encode(heartbeat, startTime).size(), maxDatagramBytes / 4 * 3);
    }
}
