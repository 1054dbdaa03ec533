/**
 * @file
 * Deterministic fold of the configuration stream.
 */
#pragma once

#include "cardamomdeck/configlog/configchange.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** A resource with the offset of the record that last changed it. */
struct stored_resource
{
    log_offset version = 0;
    /** Number of times the resource was changed, counted from 1. */
    std::uint64_t generation = 0;
    nlohmann::json body;

    bool operator==(const stored_resource &) const = default;
};

/** What a record did when it was folded. */
struct apply_result
{
    result_code code = result_code::ok;
    log_offset offset = 0;
    /** Text for the operator; empty on success. */
    std::string detail;

    bool operator==(const apply_result &) const = default;
};

/**
 * The configuration after a prefix of the stream. The same prefix gives the
 * same state at every entry: conditional changes are decided here, by the
 * order of the log, and a change id takes effect at most once.
 */
class config_state
{
public:
    /** Folds the next record. An offset that is already folded returns its code without effect. */
    apply_result apply(const log_record &record);

    /** Offset of the last folded record. */
    log_offset appliedOffset() const;

    /** All resources by key. */
    const std::map<resource_key, stored_resource> &resources() const;

    /** Members by entry name. */
    const std::map<std::string, entry_member> &members() const;

    /** Offset of the last record that changed the members. */
    log_offset membershipVersion() const;

    /** The result of the change with id @p id, if it was folded recently. */
    std::optional<apply_result> resultOf(const std::string &id) const;

    /** The state as a snapshot; equal states give equal text. */
    std::string toSnapshot() const;

    /** Errors: record_corrupt. */
    static boost::leaf::result<config_state> fromSnapshot(const std::string &text);

    bool operator==(const config_state &) const = default;

private:
    apply_result applyChange(const config_change &decoded, log_offset offset);
    apply_result applyPut(const put_change &action, log_offset offset);
    apply_result applyDelete(const delete_change &action, log_offset offset);
    apply_result applyJoin(const join_change &action, log_offset offset);
    apply_result applyLeave(const leave_change &action, log_offset offset);
    result_code checkVersion(const resource_key &key, const std::optional<log_offset> &expected) const;
    bool isReferenced(const resource_key &key) const;
    void storeResult(const std::string &id, const apply_result &result);

    log_offset m_appliedOffset = 0;
    log_offset m_membershipVersion = 0;
    std::map<resource_key, stored_resource> m_resources;
    std::map<std::string, entry_member> m_members;
    std::map<std::string, apply_result> m_results;
    std::deque<std::string> m_resultOrder;
};

}
