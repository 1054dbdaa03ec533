#include "cardamomdeck/membership/peermessage.h"

#include "cardamomdeck/base/randomsource.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <optional>

using namespace cardamomdeck;
namespace leaf = boost::leaf;

namespace {

peer_message exampleMessage()
{
    peer_message message;
    message.entry = "entry-1";
    message.incarnation = 5;
    message.appliedOffset = 12;
    message.installedOffset = 11;
    message.nonMemberSeen = true;
    message.inFlightRequests = {{"lots-1", 2}};
    message.shutdownAnnouncements = {{"lots-2", 4}};
    message.records = {{12, "{}"}};
    return message;
}

std::optional<peer_message> decode(const std::string &bytes)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<peer_message>> {
            BOOST_LEAF_AUTO(message, decodePeerMessage(bytes));
            return message;
        },
        [] { return std::optional<peer_message>(); });
}

}

Test(peer_message, is_unchanged_after_a_round_trip)
{
    cr_assert(decode(encodePeerMessage(exampleMessage())) == exampleMessage());
}

Test(peer_message, deep_nesting_is_rejected_without_recursion)
{
    constexpr std::size_t depth = 4'000'000;
    cr_assert(not decode(std::string(depth, '\x91')).has_value());
}

Test(peer_message, random_bytes_do_not_crash_the_decoder)
{
    constexpr unsigned iterations = 20'000;
    random_source random(3);
    const std::string valid = encodePeerMessage(exampleMessage());
    for (unsigned i = 0; i < iterations; ++i) {
        std::string bytes = valid;
        for (std::size_t flips = 1 + randomIndex(random, 3); flips > 0; --flips) {
            bytes[randomIndex(random, bytes.size())] = static_cast<char>(random());
        }
        bytes.resize(randomIndex(random, bytes.size() + 1));
        decode(bytes);
    }
}
