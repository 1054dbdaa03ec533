/**
 * @file
 * Replicated state machine of the configuration stream.
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

/** A resource with its version: the offset of the record that last changed it. */
struct stored_resource
{
    log_offset version = 0;
    /** Number of changes to the resource, starting at 1 with its creation. */
    std::uint64_t generation = 0;
    nlohmann::json body;

    bool operator==(const stored_resource &) const = default;
};

/** Result of applying a record. */
struct apply_result
{
    result_code code = result_code::ok;
    log_offset offset = 0;
    /** Message for the operator; empty on success. */
    std::string detail;

    bool operator==(const apply_result &) const = default;
};

/**
 * Configuration after a prefix of the stream has been applied. Applying is
 * deterministic: the same prefix gives the same state at every entry. The
 * expected versions of changes are checked here, in log order. A change id is
 * applied at most once while its result is stored.
 */
class config_state
{
public:
    /**
     * Applies the next record. A record whose offset has already been applied
     * has no effect and returns result_code::ok; a record with the id of a
     * change that has already been applied has no effect and returns the
     * result of that change.
     */
    apply_result apply(const log_record &record);

    /** Offset of the last applied record. */
    log_offset appliedOffset() const;

    const std::map<resource_key, stored_resource> &resources() const;

    /** Members by entry name. */
    const std::map<std::string, entry_member> &members() const;

    /** Offset of the last record that changed the members. */
    log_offset membershipVersion() const;

    /** Returns the result of the change @p id, or std::nullopt if it was not applied recently. */
    std::optional<apply_result> resultOf(const std::string &id) const;

    /** Serializes the state as a snapshot; equal states give equal text. */
    std::string toSnapshot() const;

    /**
     * Restores a state from a snapshot.
     * Errors: record_corrupt, resource_invalid.
     */
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
