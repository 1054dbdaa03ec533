/**
 * @file
 * Reads the fields of a resource body and collects all validation errors.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Reads fields one by one; finish() returns all validation errors together. */
class field_reader
{
public:
    /** Creates a reader of @p body, which must outlive the reader. */
    explicit field_reader(const nlohmann::json &body);

    /** Reads a required name: 1 to 63 lower-case letters, digits, '-', '_' or '.'. */
    void readName(const std::string &key, std::string &target);

    /** Reads an optional string that must be one of @p choices. */
    void readChoice(const std::string &key, std::string &target, std::span<const std::string_view> choices);

    /** Reads a required socket address, an IP address and a port. */
    void readAddress(const std::string &key, socket_address &target);

    /** Reads a required absolute path prefix. */
    void readPath(const std::string &key, std::string &target);

    /** Reads an optional absolute path. */
    void readOptionalPath(const std::string &key, std::string &target);

    /** Reads an optional boolean. */
    void readFlag(const std::string &key, bool &target);

    /** Reads an optional list of upper-case HTTP methods. */
    void readMethods(const std::string &key, std::vector<std::string> &target);

    /** Reads an optional count in [@p minimum, @p maximum]. */
    void readCount(const std::string &key, std::uint32_t &target, std::int64_t minimum, std::int64_t maximum);

    /** Reads an optional duration in the unit of @p target, in [@p minimum, @p maximum]. */
    template<typename duration>
    void readDuration(const std::string &key, duration &target, std::int64_t minimum, std::int64_t maximum)
    {
        std::int64_t count = target.count();
        readInteger(key, count, minimum, maximum);
        target = duration(count);
    }

    /**
     * Checks for unknown fields and reports all validation errors.
     * Errors: resource_invalid.
     */
    boost::leaf::result<void> finish();

private:
    const nlohmann::json *find(const std::string &key, bool required);
    void readInteger(const std::string &key, std::int64_t &target, std::int64_t minimum, std::int64_t maximum);
    void storePath(const std::string &key, const nlohmann::json *value, std::string &target);
    void addError(const std::string &key, const std::string &message);

    const nlohmann::json &m_body;
    std::set<std::string> m_knownFields;
    std::string m_errors;
};

}
