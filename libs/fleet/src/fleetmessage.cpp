#include "cardamomdeck/fleet/fleetmessage.h"

#include "evacuationencoding.h"

#include "cardamomdeck/base/compression.h"
#include "cardamomdeck/base/messagenesting.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/** Arrays instead of objects keep heartbeats small. */
json toJson(const fleet_member &member)
{
    return json::array({member.name,
                        member.zone,
                        member.host,
                        member.startUnixMs,
                        member.ready,
                        member.shuttingDown,
                        member.readCapacity});
}

fleet_member memberFromJson(const json &fields)
{
    return {fields.at(0).get<std::string>(),
            fields.at(1).get<std::string>(),
            fields.at(2).get<std::string>(),
            fields.at(3).get<std::int64_t>(),
            fields.at(4).get<bool>(),
            fields.at(5).get<bool>(),
            fields.at(6).get<std::uint32_t>()};
}

json toJson(const store_era &era)
{
    return era ? json(*era) : json();
}

store_era eraFromJson(const json &field)
{
    if (field.is_null()) {
        return std::nullopt;
    }
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maxStoreEra) {
        throw std::invalid_argument("era of the store is out of range");
    }
    return field.get<std::uint64_t>();
}

/**
 * Entries of earlier versions read the last change as a number, so whether there is one is a field of its own. They
 * ignore the last field, with the eras and the end of the last listing.
 */
json toJson(const view_position &position)
{
    json fields = json::array({position.configVersion,
                               position.configEnd.offset,
                               position.lastBackendChange.value_or(topic_position()).offset,
                               position.backendsEnd.offset,
                               position.lastBackendChange.has_value()});
    if (position.configEnd.era || position.backendsListedUpTo != topic_position()) {
        fields.push_back(json::array({toJson(position.configEnd.era),
                                      toJson(position.lastBackendChange.value_or(topic_position()).era),
                                      toJson(position.backendsEnd.era),
                                      toJson(position.backendsListedUpTo.era),
                                      position.backendsListedUpTo.offset}));
    }
    return fields;
}

/** Maximum of the durations in messages; larger ones could overflow when they are applied to a point in time. */
constexpr milliseconds maxDuration{10LL * 365 * 24 * 3600 * 1000};

/** Decodes an age in milliseconds; throws if it is out of range. */
milliseconds ageFromJson(const json &field)
{
    const milliseconds age(field.get<std::int64_t>());
    if (age < milliseconds(0) || age > maxDuration) {
        throw std::invalid_argument("age is out of range");
    }
    return age;
}

view_position positionFromJson(const json &fields)
{
    view_position position;
    position.configVersion = fields.at(0).get<std::uint64_t>();
    position.configEnd.offset = fields.at(1).get<store_offset>();
    position.backendsEnd.offset = fields.at(3).get<store_offset>();
    const auto lastChange = fields.at(2).get<store_offset>();
    constexpr std::size_t hasChangeField = 4;
    constexpr std::size_t erasField = 5;
    // An entry of an earlier version sends 0 both for the first record and for no change.
    const bool hasChange = fields.size() > hasChangeField ? fields.at(hasChangeField).get<bool>()
                                                          : lastChange > 0 || position.backendsEnd.offset > 0;
    if (hasChange) {
        position.lastBackendChange = lastChange;
    }
    if (fields.size() > erasField) {
        const json &eras = fields.at(erasField);
        position.configEnd.era = eraFromJson(eras.at(0));
        position.backendsEnd.era = eraFromJson(eras.at(2));
        if (position.lastBackendChange) {
            position.lastBackendChange->era = eraFromJson(eras.at(1));
        }
        position.backendsListedUpTo = {eraFromJson(eras.at(3)), eras.at(4).get<store_offset>()};
    }
    return position;
}

json toJson(const backend_record &record, time_point now)
{
    if (!record.server) {
        return json::array({record.id, record.position.offset});
    }
    const backend_server &server = *record.server;
    const auto remainingWarmup = std::chrono::duration_cast<milliseconds>(std::max(server.warmupEndsAt, now) - now);
    return json::array({record.id,
                        record.position.offset,
                        server.service,
                        server.zone,
                        toString(server.address),
                        server.slots,
                        server.draining,
                        server.startUnixMs,
                        server.sequence,
                        remainingWarmup.count()});
}

backend_record recordFromJson(const json &fields, time_point now)
{
    constexpr std::size_t removalFields = 2;
    backend_record record{fields.at(0).get<std::string>(), fields.at(1).get<store_offset>(), std::nullopt};
    if (fields.size() == removalFields) {
        return record;
    }
    const auto address = parseSocketAddress(fields.at(4).get<std::string>());
    if (!address) {
        throw std::invalid_argument("invalid backend server address");
    }
    backend_server server;
    server.id = record.id;
    server.service = fields.at(2).get<std::string>();
    server.zone = fields.at(3).get<std::string>();
    server.address = *address;
    server.slots = fields.at(5).get<std::uint32_t>();
    server.draining = fields.at(6).get<bool>();
    server.startUnixMs = fields.at(7).get<std::int64_t>();
    server.sequence = fields.at(8).get<std::uint64_t>();
    server.warmupEndsAt
        = now + std::clamp(milliseconds(fields.at(9).get<std::int64_t>()), milliseconds(0), maxDuration);
    record.server = std::move(server);
    return record;
}

json recordsToJson(const std::vector<backend_record> &records, time_point now)
{
    json list = json::array();
    for (const backend_record &record : records) {
        list.push_back(toJson(record, now));
    }
    return list;
}

std::vector<backend_record> recordsFromJson(const json &list, time_point now)
{
    std::vector<backend_record> records;
    for (const json &record : list) {
        records.push_back(recordFromJson(record, now));
    }
    return records;
}

/** Eras of records in a list of their own, because entries of earlier versions read records of a fixed size. */
json erasToJson(const std::vector<backend_record> &records)
{
    json eras = json::array();
    for (const backend_record &record : records) {
        eras.push_back(toJson(record.position.era));
    }
    return eras;
}

void applyErasFromJson(const json &eras, std::vector<backend_record> &records)
{
    if (eras.size() != records.size()) {
        throw std::invalid_argument("records and their eras differ in number");
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].position.era = eraFromJson(eras.at(i));
    }
}

json toJson(const std::optional<config_update> &config)
{
    if (!config) {
        return json::array();
    }
    return json::array({config->version,
                        config->baseVersion,
                        json::binary({config->compressedText.begin(), config->compressedText.end()})});
}

std::optional<config_update> configFromJson(const json &fields)
{
    if (fields.empty()) {
        return std::nullopt;
    }
    const auto &bytes = fields.at(2).get_binary();
    return config_update{
        fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>(), {bytes.begin(), bytes.end()}};
}

/** First field of a request that is sent over a connection. */
enum class request_kind {
    view_request = 0,
    view_update = 1,
};

json toJson(const view_response &response, time_point now)
{
    json members = json::array();
    for (const fleet_member &member : response.members) {
        members.push_back(toJson(member));
    }
    json fields = json::array(
        {toJson(response.position), toJson(response.config), recordsToJson(response.backends, now), members});
    appendEvacuations(fields, response.evacuations);
    if (response.position.backendsEnd.era || response.completeBackends) {
        if (response.evacuations.empty()) {
            fields.push_back(json::array());
        }
        fields.push_back(
            json::array({response.completeBackends, erasToJson(response.backends), response.disputedBackends}));
    }
    return fields;
}

view_response viewResponseFromJson(const json &fields, time_point now)
{
    view_response response;
    response.position = positionFromJson(fields.at(0));
    response.config = configFromJson(fields.at(1));
    response.backends = recordsFromJson(fields.at(2), now);
    for (const json &member : fields.at(3)) {
        response.members.push_back(memberFromJson(member));
    }
    constexpr std::size_t evacuationsField = 4;
    response.evacuations = evacuationsFromJson(fields, evacuationsField);
    constexpr std::size_t listingField = 5;
    if (fields.size() > listingField) {
        const json &listing = fields.at(listingField);
        response.completeBackends = listing.at(0).get<bool>();
        applyErasFromJson(listing.at(1), response.backends);
        response.disputedBackends = listing.at(2).get<std::vector<std::string>>();
    }
    return response;
}

view_update viewUpdateFromJson(const json &fields, time_point now)
{
    return {positionFromJson(fields.at(1)),
            viewResponseFromJson(fields.at(2), now),
            fields.at(3).get<std::vector<std::string>>()};
}

/**
 * Optional fields of a heartbeat by name, which follow the fields that are always sent. Entries of earlier versions
 * ignore them, and each is absent while it has no content.
 */
constexpr std::size_t firstOptionalField = 8;
constexpr const char *zoneLoadsField = "loads";

json toJson(const std::vector<zone_load_report> &reports)
{
    json zones = json::object();
    for (const zone_load_report &report : reports) {
        zones[report.zone] = json::array({report.age.count(), report.percentByService});
    }
    return zones;
}

std::vector<zone_load_report> zoneLoadsFromJson(const json &zones)
{
    std::vector<zone_load_report> reports;
    for (const auto &[zone, fields] : zones.items()) {
        reports.push_back({zone, ageFromJson(fields.at(0)), fields.at(1).get<std::map<std::string, std::uint32_t>>()});
    }
    return reports;
}

/** True if the field @p index of a heartbeat holds the optional fields with the loads of zones. */
bool hasLoads(const json &fields, std::size_t index)
{
    return index < fields.size() && fields[index].is_object() && fields[index].contains(zoneLoadsField);
}

void decodeOptionalFields(const json &fields, heartbeat_message &heartbeat)
{
    for (std::size_t i = firstOptionalField; i < fields.size(); ++i) {
        if (hasLoads(fields, i)) {
            heartbeat.zoneLoads = zoneLoadsFromJson(fields[i][zoneLoadsField]);
        }
    }
}

backend_changes changesFromJson(const json &fields, time_point now)
{
    backend_changes changes{fields.at(0).get<store_offset>(), recordsFromJson(fields.at(1), now)};
    constexpr std::size_t hasAfterField = 2;
    constexpr std::size_t erasField = 3;
    if (fields.size() > erasField) {
        changes.after->era = eraFromJson(fields.at(erasField).at(0));
        applyErasFromJson(fields.at(erasField).at(1), changes.records);
    }
    if (fields.size() > hasAfterField && !fields.at(hasAfterField).get<bool>()) {
        changes.after.reset();
    }
    return changes;
}

std::string pack(const json &message)
{
    std::string bytes;
    json::to_msgpack(message, bytes);
    return bytes;
}

/** Maximum nesting depth of a valid message. */
constexpr int maxNestingDepth = 8;

/** Messages up to this size cannot exhaust the stack of the decoder, which uses some hundred bytes for each level. */
constexpr std::size_t maxUncheckedBytes = 4096;

/** Runs @p decode and returns exceptions as the error frame_malformed. */
template<typename decoder>
auto unpack(std::string_view message, decoder decode) -> leaf::result<decltype(decode(json()))>
{
    if (message.size() > maxUncheckedBytes && !isNestedAtMost(message, maxNestingDepth)) {
        return leaf::new_error(failure{result_code::frame_malformed, "invalid or nested too deeply"});
    }
    try {
        return decode(json::from_msgpack(message));
    } catch (const std::exception &error) {
        return leaf::new_error(failure{result_code::frame_malformed, error.what()});
    }
}

}

std::string encode(const heartbeat_message &heartbeat, time_point now)
{
    json gossipList = json::array();
    for (const gossiped_member &gossiped : heartbeat.gossipedMembers) {
        gossipList.push_back(json::array({toJson(gossiped.member), gossiped.age.count()}));
    }
    json changes = json::array();
    if (heartbeat.changes) {
        const topic_position after = heartbeat.changes->after.value_or(topic_position());
        changes.push_back(after.offset);
        changes.push_back(recordsToJson(heartbeat.changes->records, now));
        changes.push_back(heartbeat.changes->after.has_value());
        if (heartbeat.position.backendsEnd.era) {
            changes.push_back(json::array({toJson(after.era), erasToJson(heartbeat.changes->records)}));
        }
    }
    const json age = heartbeat.viewAge ? json(heartbeat.viewAge->count()) : json();
    json fields = json::array({toJson(heartbeat.sender),
                               toJson(heartbeat.position),
                               age,
                               heartbeat.liveMembers,
                               gossipList,
                               changes,
                               heartbeat.relayed,
                               heartbeat.onlyInitialListing});
    appendEvacuations(fields, heartbeat.evacuations);
    json optionalFields = json::object();
    if (!heartbeat.zoneLoads.empty()) {
        optionalFields[zoneLoadsField] = toJson(heartbeat.zoneLoads);
    }
    if (!optionalFields.empty()) {
        fields.push_back(optionalFields);
    }
    return pack(fields);
}

std::string encode(const view_request &request)
{
    return compress(pack(json::array({request_kind::view_request, toJson(request.position), request.acceptsListing})));
}

std::string encode(const view_update &update, time_point now)
{
    return compress(pack(json::array(
        {request_kind::view_update, toJson(update.basePosition), toJson(update.changes, now), update.relayHosts})));
}

std::string encode(const view_response &response, time_point now)
{
    return compress(pack(toJson(response, now)));
}

leaf::result<heartbeat_message> decodeHeartbeat(std::string_view message, time_point now)
{
    return unpack(message, [now](const json &fields) {
        heartbeat_message heartbeat;
        heartbeat.sender = memberFromJson(fields.at(0));
        heartbeat.position = positionFromJson(fields.at(1));
        if (!fields.at(2).is_null()) {
            heartbeat.viewAge = ageFromJson(fields.at(2));
        }
        heartbeat.liveMembers = fields.at(3).get<std::size_t>();
        for (const json &gossiped : fields.at(4)) {
            heartbeat.gossipedMembers.push_back({memberFromJson(gossiped.at(0)), ageFromJson(gossiped.at(1))});
        }
        if (const json &changes = fields.at(5); !changes.empty()) {
            heartbeat.changes = changesFromJson(changes, now);
        }
        heartbeat.relayed = fields.at(6).get<bool>();
        heartbeat.onlyInitialListing = fields.at(7).get<bool>();
        // The list of evacuations is absent while it is empty; the optional fields stand in its place then.
        if (!hasLoads(fields, firstOptionalField)) {
            heartbeat.evacuations = evacuationsFromJson(fields, firstOptionalField);
        }
        decodeOptionalFields(fields, heartbeat);
        return heartbeat;
    });
}

leaf::result<peer_request> decodeRequest(std::string_view message, time_point now)
{
    BOOST_LEAF_AUTO(decompressed, decompress(message, maxPeerMessageBytes));
    constexpr std::size_t acceptsListingField = 2;
    return unpack(decompressed, [now](const json &fields) -> peer_request {
        switch (fields.at(0).get<request_kind>()) {
        case request_kind::view_request:
            return view_request{positionFromJson(fields.at(1)),
                                fields.size() > acceptsListingField && fields.at(acceptsListingField).get<bool>()};
        case request_kind::view_update:
            return viewUpdateFromJson(fields, now);
        }
        throw std::invalid_argument("unknown kind of request");
    });
}

leaf::result<view_response> decodeViewResponse(std::string_view message, time_point now)
{
    BOOST_LEAF_AUTO(decompressed, decompress(message, maxPeerMessageBytes));
    return unpack(decompressed, [now](const json &fields) { return viewResponseFromJson(fields, now); });
}

}
