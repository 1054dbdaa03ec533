#include "cardamomdeck/base/messagenesting.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cardamomdeck {

namespace {

using nlohmann::json;

/** Accepts arrays up to a maximum depth and rejects objects. */
class nesting_depth_validator : public nlohmann::json_sax<json>
{
public:
    explicit nesting_depth_validator(int maxDepth)
        : m_maxDepth(maxDepth)
    {
    }

    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_float(number_float_t /*value*/,
                      const string_t & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*size*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    bool key(string_t & /*value*/) override
    {
        return false;
    }
    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    bool start_array(std::size_t /*size*/) override // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= m_maxDepth;
    }
    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/,
                     const std::string & /*token*/,
                     const json::exception & /*error*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }

private:
    int m_maxDepth;
    int m_depth = 0;
};

}

bool isNestedAtMost(std::string_view bytes, int maxDepth)
{
    nesting_depth_validator validator(maxDepth);
    return json::sax_parse(bytes, &validator, json::input_format_t::msgpack);
}

}
