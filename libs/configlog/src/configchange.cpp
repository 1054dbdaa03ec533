#include "cardamomdeck/configlog/configchange.h"

namespace cardamomdeck {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

socket_address addressFromJson(const json &value)
{
    const auto parsed = parseSocketAddress(value.get_ref<const std::string &>());
    if (!parsed) {
        throw json::other_error::create(501, "not an address", nullptr);
    }
    return *parsed;
}

void writeKey(json &record, const resource_key &key)
{
    record["kind"] = pathSegment(key.kind);
    record["name"] = key.name;
}

void writeExpectedVersion(json &record, const std::optional<log_offset> &version)
{
    if (version) {
        record["expected_version"] = *version;
    }
}

struct action_encoder
{
    json &record;

    void operator()(const put_change &action) const
    {
        record["op"] = "put";
        writeKey(record, action.key);
        writeExpectedVersion(record, action.expectedVersion);
        record["body"] = action.body;
    }

    void operator()(const delete_change &action) const
    {
        record["op"] = "delete";
        writeKey(record, action.key);
        writeExpectedVersion(record, action.expectedVersion);
    }

    void operator()(const join_change &action) const
    {
        record["op"] = "join";
        record["member"] = memberToJson(action.member);
        record["expected_membership"] = action.expectedMembershipVersion;
    }

    void operator()(const leave_change &action) const
    {
        record["op"] = "leave";
        record["name"] = action.name;
        record["incarnation"] = action.incarnation;
        record["expected_membership"] = action.expectedMembershipVersion;
    }
};

std::optional<log_offset> readExpectedVersion(const json &record)
{
    if (!record.contains("expected_version")) {
        return std::nullopt;
    }
    return record.at("expected_version").get<log_offset>();
}

leaf::result<resource_key> readKey(const json &record)
{
    BOOST_LEAF_AUTO(kind, resourceKindFromPath(record.at("kind").get<std::string>()));
    return resource_key{kind, record.at("name").get<std::string>()};
}

leaf::result<config_change> decodePut(const json &record, config_change decoded)
{
    BOOST_LEAF_AUTO(key, readKey(record));
    BOOST_LEAF_AUTO(body, normalizeResource(key.kind, key.name, record.at("body")));
    decoded.action = put_change{key, readExpectedVersion(record), body};
    return decoded;
}

leaf::result<config_change> decodeDelete(const json &record, config_change decoded)
{
    BOOST_LEAF_AUTO(key, readKey(record));
    decoded.action = delete_change{key, readExpectedVersion(record)};
    return decoded;
}

leaf::result<config_change> decodeRecord(const json &record)
{
    config_change decoded;
    decoded.id = record.at("id").get<std::string>();
    const auto operation = record.at("op").get<std::string>();
    if (operation == "put") {
        return decodePut(record, std::move(decoded));
    }
    if (operation == "delete") {
        return decodeDelete(record, std::move(decoded));
    }
    if (operation == "join") {
        decoded.action
            = join_change{memberFromJson(record.at("member")), record.at("expected_membership").get<log_offset>()};
        return decoded;
    }
    if (operation == "leave") {
        decoded.action = leave_change{record.at("name").get<std::string>(),
                                      record.at("incarnation").get<std::uint64_t>(),
                                      record.at("expected_membership").get<log_offset>()};
        return decoded;
    }
    return leaf::new_error(failure{result_code::record_unsupported, "unknown operation: " + operation});
}

}

json memberToJson(const entry_member &member)
{
    return {{"name", member.name},
            {"zone", member.zone},
            {"incarnation", member.incarnation},
            {"traffic", toString(member.trafficAddress)},
            {"api", toString(member.apiAddress)},
            {"peer", toString(member.peerAddress)}};
}

entry_member memberFromJson(const json &value)
{
    entry_member member;
    member.name = value.at("name").get<std::string>();
    member.zone = value.at("zone").get<std::string>();
    member.incarnation = value.at("incarnation").get<std::uint64_t>();
    member.trafficAddress = addressFromJson(value.at("traffic"));
    member.apiAddress = addressFromJson(value.at("api"));
    member.peerAddress = addressFromJson(value.at("peer"));
    return member;
}

std::string encodeChange(const config_change &value)
{
    json record = {{"id", value.id}};
    std::visit(action_encoder{record}, value.action);
    return record.dump();
}

leaf::result<config_change> decodeChange(const std::string &data)
{
    const json record = json::parse(data, nullptr, false);
    if (!record.is_object()) {
        return leaf::new_error(failure{result_code::record_corrupt, "record is not a JSON object"});
    }
    try {
        return decodeRecord(record);
    } catch (const json::exception &error) {
        return leaf::new_error(failure{result_code::record_corrupt, error.what()});
    }
}

}
