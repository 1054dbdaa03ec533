#include "private/responseparser.h"

namespace cardamomdeck {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/**
 * Returns whether the value continues on another line than the name. The value of an unfolded line follows the colon
 * and blanks in the input; Beast copies that of a folded line, or lets it start on a later line.
 */
bool isFolded(beast::string_view name, beast::string_view value)
{
    const char *valueStart = name.data() + name.size() + 1;
    while (*valueStart == ' ' || *valueStart == '\t') {
        ++valueStart;
    }
    return valueStart != value.data();
}

}

void response_parser::on_field_impl(http::field name,
                                    beast::string_view nameText,
                                    beast::string_view value,
                                    beast::error_code &error)
{
    if (isFolded(nameText, value)) {
        error = http::error::bad_obs_fold;
        return;
    }
    get().insert(name, nameText, value);
}

}
