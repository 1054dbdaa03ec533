/**
 * @file
 * Checks the transfer coding of a message.
 */
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include <iterator>

namespace cardamomdeck {

/**
 * Returns whether the message @p header has no transfer coding or only "chunked". With any other coding, Beast and the
 * peer may disagree about the end of the body.
 */
template<typename message_header>
bool hasSupportedTransferCoding(const message_header &header)
{
    constexpr unsigned httpVersion11 = 11;
    const auto [first, last] = header.equal_range(boost::beast::http::field::transfer_encoding);
    if (first == last) {
        return true;
    }
    return std::next(first) == last && boost::beast::iequals(first->value(), "chunked")
           && header.version() == httpVersion11;
}

}
