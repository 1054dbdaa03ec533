/**
 * @file
 * Parser of responses that is stricter than that of Beast.
 */
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cardamomdeck {

/**
 * Rejects folded header and trailer lines with bad_obs_fold. Beast joins such lines, but a folded line cannot be
 * distinguished from a field whose name begins with a blank, which may be one that frames the body.
 */
class response_parser : public boost::beast::http::response_parser<boost::beast::http::string_body>
{
private:
    void on_field_impl(boost::beast::http::field name,
                       boost::beast::string_view nameText,
                       boost::beast::string_view value,
                       boost::beast::error_code &error) override;
};

}
