/**
 * @file
 * Reads the fields of a resource body and collects every fault.
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

/** Reads fields one by one; finish() reports all faults at once. */
class field_reader
{
public:
    /** Reads from @p body, which must outlive the reader. */
    explicit field_reader(const nlohmann::json &body);

    /** A required name: 1 to 63 lower-case letters, digits, '-', '_' or '.'. */
    void readName(const std::string &key, std::string &target);

    /** An optional text that must be one of @p choices. */
    void readChoice(const std::string &key, std::string &target, std::span<const std::string_view> choices);

    /** A required "host:port". */
    void readAddress(const std::string &key, socket_address &target);

    /** A required absolute path prefix. */
    void readPath(const std::string &key, std::string &target);

    /** An optional absolute path. */
    void readOptionalPath(const std::string &key, std::string &target);

    /** An optional boolean. */
    void readFlag(const std::string &key, bool &target);

    /** An optional list of upper-case HTTP methods. */
    void readMethods(const std::string &key, std::vector<std::string> &target);

    /** An optional count in [@p least, @p most]. */
    void readCount(const std::string &key, std::uint32_t &target, std::int64_t least, std::int64_t most);

    /** An optional duration in the unit of @p target, in [@p least, @p most]. */
    template<typename duration>
    void readDuration(const std::string &key, duration &target, std::int64_t least, std::int64_t most)
    {
        std::int64_t count = target.count();
        readInteger(key, count, least, most);
        target = duration(count);
    }

    /** resource_invalid with all faults, unknown fields included, or success. */
    boost::leaf::result<void> finish();

private:
    const nlohmann::json *find(const std::string &key, bool required);
    void readInteger(const std::string &key, std::int64_t &target, std::int64_t least, std::int64_t most);
    void storePath(const std::string &key, const nlohmann::json *value, std::string &target);
    void addError(const std::string &key, const std::string &what);

    const nlohmann::json &m_body;
    std::set<std::string> m_knownFields;
    std::string m_errors;
};

}
