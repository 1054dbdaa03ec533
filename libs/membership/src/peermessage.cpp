#include "cardamomdeck/membership/peermessage.h"

#include "cardamomdeck/base/messagenesting.h"

#include <nlohmann/json.hpp>

namespace cardamomdeck {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr int messageVersion = 1;

/** Maximum nesting depth of a valid message. */
constexpr int maxNestingDepth = 3;

}

std::string encodePeerMessage(const peer_message &message)
{
    json inFlight = json::array();
    for (const in_flight_requests &item : message.inFlightRequests) {
        inFlight.push_back({item.backend, item.count});
    }
    json announcements = json::array();
    for (const shutdown_announcement &item : message.shutdownAnnouncements) {
        announcements.push_back({item.backend, item.resourceVersion});
    }
    json records = json::array();
    for (const log_record &record : message.records) {
        records.push_back({record.offset, record.data});
    }
    const json array = json::array({messageVersion,
                                    message.entry,
                                    message.incarnation,
                                    message.appliedOffset,
                                    message.installedOffset,
                                    message.shuttingDown,
                                    message.nonMemberSeen,
                                    inFlight,
                                    announcements,
                                    message.snapshot,
                                    records});
    std::string bytes;
    json::to_msgpack(array, bytes);
    return bytes;
}

leaf::result<peer_message> decodePeerMessage(const std::string &bytes)
{
    if (!isNestedAtMost(bytes, maxNestingDepth)) {
        return leaf::new_error(failure{result_code::frame_malformed, "not a MessagePack array"});
    }
    try {
        const json array = json::from_msgpack(bytes);
        if (array.at(0).get<int>() != messageVersion) {
            return leaf::new_error(failure{result_code::frame_malformed, "unsupported message version"});
        }
        peer_message message;
        message.entry = array.at(1).get<std::string>();
        message.incarnation = array.at(2).get<std::uint64_t>();
        message.appliedOffset = array.at(3).get<log_offset>();
        message.installedOffset = array.at(4).get<log_offset>();
        message.shuttingDown = array.at(5).get<bool>();
        message.nonMemberSeen = array.at(6).get<bool>();
        for (const json &item : array.at(7)) {
            message.inFlightRequests.push_back({item.at(0).get<std::string>(), item.at(1).get<std::uint32_t>()});
        }
        for (const json &item : array.at(8)) {
            message.shutdownAnnouncements.push_back({item.at(0).get<std::string>(), item.at(1).get<log_offset>()});
        }
        message.snapshot = array.at(9).get<std::string>();
        for (const json &item : array.at(10)) {
            message.records.push_back({item.at(0).get<log_offset>(), item.at(1).get<std::string>()});
        }
        return message;
    } catch (const json::exception &error) {
        return leaf::new_error(failure{result_code::frame_malformed, error.what()});
    }
}

}
