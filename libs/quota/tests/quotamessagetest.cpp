#include "cardamomdeck/quota/quotamessage.h"

#include "cardamomdeck/fleet/fleetmessage.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace cardamomdeck;
using nlohmann::json;

TestSuite(quota_message);

namespace {

std::optional<quota_message> decoded(std::string_view bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<quota_message>> {
            BOOST_LEAF_AUTO(message, decodeQuotaMessage(bytes));
            return std::optional(message);
        },
        [] { return std::optional<quota_message>(); });
}

std::string packed(const json &fields)
{
    std::string bytes;
    json::to_msgpack(fields, bytes);
    return bytes;
}

const std::vector<quota_message> samples{
    token_request{"e1", "w", 18'446'744'073'709'551'615ULL, 7},
    token_grant{"e2", "w", 9, false, 0, milliseconds(120), "e3"},
    token_grant{"e2", "w", 10, true, 1'000'000, milliseconds(0), ""},
    issuer_query{"e1", "", 3, query_purpose::check},
    issuer_status{"e2", "w", 4, issuer_state::yielded, 12, "e5"},
    issuer_handover{"e2", "w", 33},
};

}

Test(quota_message, messages_are_decoded_as_they_were_encoded)
{
    for (const quota_message &message : samples) {
        const std::string bytes = encode(message);
        cr_assert(isQuotaMessage(bytes));
        cr_assert_leq(bytes.size(), 64);
        cr_assert(decoded(bytes) == message);
    }
}

// Both kinds of datagram share a port.
Test(quota_message, heartbeats_are_told_from_quota_messages)
{
    heartbeat_message heartbeat;
    heartbeat.sender = {"e1", "zone", "10.0.0.1", 1};
    const std::string bytes = encode(heartbeat, time_point());
    cr_assert_not(isQuotaMessage(bytes));
    cr_assert_not(decoded(bytes));
    cr_assert_not(isQuotaMessage(""));
    cr_assert_not(isQuotaMessage("\x91"));
}

// A datagram may come from anywhere on the network.
Test(quota_message, malformed_messages_are_rejected)
{
    for (const quota_message &message : samples) {
        const std::string bytes = encode(message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            cr_assert_not(decoded(std::string_view(bytes).substr(0, size)));
        }
    }
    const std::string longName(256, 'x');
    for (const json &fields : {json::array({1, "e", "w", 1, -1}),
                               json::array({1, "e", "w", 1, 1'000'001}),
                               json::array({1, "e", "w", 1, 1.5}),
                               json::array({1, "e", "w", -1, 1}),
                               json::array({1, longName, "w", 1, 1}),
                               json::array({1, "e", longName, 1, 1}),
                               json::array({0, "e", "w", 1, 1}),
                               json::array({6, "e", "w", 1, 1}),
                               json::array({2, "e", "w", 1, true, 1, 60'001, ""}),
                               json::array({2, "e", "w", 1, 1, 1, 1, ""}),
                               json::array({3, "e", "w", 1, 3}),
                               json::array({4, "e", "w", 1, 4, 0, ""}),
                               json::array({5, "e", "w"}),
                               json::array({1, 2, 3, 4, 5})}) {
        cr_assert_not(decoded(packed(fields)), "%s", fields.dump().c_str());
    }
    cr_assert_not(decoded(std::string(1000, '\x91')));
    cr_assert_not(decoded(std::string(5000, '\x91')));
}
