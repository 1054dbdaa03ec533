#include "cardamomdeck/configlog/configstate.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/** Number of change ids whose results are stored, so that repeated appends are idempotent. */
constexpr std::size_t maxStoredResults = 4096;

apply_result makeRejection(result_code code, log_offset offset, std::string detail)
{
    return {code, offset, std::move(detail)};
}

/** Returns the resource that must exist before @p action is applied, or std::nullopt for a service. */
std::optional<resource_key> referencedResource(const put_change &action)
{
    if (action.key.kind == resource_kind::service) {
        return std::nullopt;
    }
    return resource_key{resource_kind::service, action.body.at("service").get<std::string>()};
}

json resultToJson(const std::string &id, const apply_result &result)
{
    return {{"id", id}, {"code", static_cast<int>(result.code)}, {"offset", result.offset}, {"detail", result.detail}};
}

}

apply_result config_state::apply(const log_record &record)
{
    if (record.offset <= m_appliedOffset) {
        return {result_code::ok, record.offset, "already applied"};
    }
    m_appliedOffset = record.offset;
    return leaf::try_handle_all(
        [&]() -> leaf::result<apply_result> {
            BOOST_LEAF_AUTO(decoded, decodeChange(record.data));
            if (const auto previousResult = resultOf(decoded.id)) {
                return *previousResult;
            }
            const apply_result result = applyChange(decoded, record.offset);
            storeResult(decoded.id, result);
            return result;
        },
        [&](const failure &error) { return makeRejection(error.code, record.offset, error.detail); },
        [&] { return makeRejection(result_code::record_corrupt, record.offset, "undecodable record"); });
}

apply_result config_state::applyChange(const config_change &decoded, log_offset offset)
{
    if (const auto *const put = std::get_if<put_change>(&decoded.action)) {
        return applyPut(*put, offset);
    }
    if (const auto *const removal = std::get_if<delete_change>(&decoded.action)) {
        return applyDelete(*removal, offset);
    }
    if (const auto *const join = std::get_if<join_change>(&decoded.action)) {
        return applyJoin(*join, offset);
    }
    return applyLeave(std::get<leave_change>(decoded.action), offset);
}

apply_result config_state::applyPut(const put_change &action, log_offset offset)
{
    const result_code versionCode = checkVersion(action.key, action.expectedVersion);
    if (versionCode != result_code::ok) {
        return makeRejection(versionCode, offset, "the resource is at another version");
    }
    const auto required = referencedResource(action);
    if (required && !m_resources.contains(*required)) {
        return makeRejection(result_code::resource_invalid, offset, "service " + required->name + " does not exist");
    }
    stored_resource &stored = m_resources[action.key];
    stored.version = offset;
    stored.generation += 1;
    stored.body = action.body;
    return {result_code::ok, offset, ""};
}

apply_result config_state::applyDelete(const delete_change &action, log_offset offset)
{
    if (!m_resources.contains(action.key)) {
        return makeRejection(result_code::resource_unknown, offset, "the resource does not exist");
    }
    const result_code versionCode = checkVersion(action.key, action.expectedVersion);
    if (versionCode != result_code::ok) {
        return makeRejection(versionCode, offset, "the resource is at another version");
    }
    if (isReferenced(action.key)) {
        return makeRejection(result_code::resource_invalid, offset, "back ends or rules still refer to the service");
    }
    m_resources.erase(action.key);
    return {result_code::ok, offset, ""};
}

apply_result config_state::applyJoin(const join_change &action, log_offset offset)
{
    if (action.expectedMembershipVersion != m_membershipVersion) {
        return makeRejection(result_code::version_conflict, offset, "the membership is at another version");
    }
    const auto existing = m_members.find(action.member.name);
    if (existing != m_members.end() && existing->second.incarnation > action.member.incarnation) {
        return makeRejection(result_code::version_conflict, offset, "a later incarnation has joined");
    }
    m_members[action.member.name] = action.member;
    m_membershipVersion = offset;
    return {result_code::ok, offset, ""};
}

apply_result config_state::applyLeave(const leave_change &action, log_offset offset)
{
    if (action.expectedMembershipVersion != m_membershipVersion) {
        return makeRejection(result_code::version_conflict, offset, "the membership is at another version");
    }
    const auto existing = m_members.find(action.name);
    if (existing == m_members.end() || existing->second.incarnation != action.incarnation) {
        return makeRejection(result_code::resource_unknown, offset, "no such incarnation");
    }
    m_members.erase(existing);
    m_membershipVersion = offset;
    return {result_code::ok, offset, ""};
}

result_code config_state::checkVersion(const resource_key &key, const std::optional<log_offset> &expected) const
{
    if (!expected) {
        return result_code::ok;
    }
    const auto existing = m_resources.find(key);
    const log_offset current = existing == m_resources.end() ? 0 : existing->second.version;
    return current == *expected ? result_code::ok : result_code::version_conflict;
}

bool config_state::isReferenced(const resource_key &key) const
{
    if (key.kind != resource_kind::service) {
        return false;
    }
    return std::ranges::any_of(m_resources, [&](const auto &item) {
        return item.first.kind != resource_kind::service && item.second.body.at("service") == key.name;
    });
}

void config_state::storeResult(const std::string &id, const apply_result &result)
{
    m_results[id] = result;
    m_resultOrder.push_back(id);
    if (m_resultOrder.size() > maxStoredResults) {
        m_results.erase(m_resultOrder.front());
        m_resultOrder.pop_front();
    }
}

log_offset config_state::appliedOffset() const
{
    return m_appliedOffset;
}

const std::map<resource_key, stored_resource> &config_state::resources() const
{
    return m_resources;
}

const std::map<std::string, entry_member> &config_state::members() const
{
    return m_members;
}

log_offset config_state::membershipVersion() const
{
    return m_membershipVersion;
}

std::optional<apply_result> config_state::resultOf(const std::string &id) const
{
    const auto found = m_results.find(id);
    if (found == m_results.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::string config_state::toSnapshot() const
{
    json resources = json::array();
    for (const auto &[key, stored] : m_resources) {
        resources.push_back({{"kind", pathSegment(key.kind)},
                             {"name", key.name},
                             {"version", stored.version},
                             {"generation", stored.generation},
                             {"body", stored.body}});
    }
    json members = json::array();
    for (const auto &[name, member] : m_members) {
        members.push_back(memberToJson(member));
    }
    json results = json::array();
    for (const std::string &id : m_resultOrder) {
        results.push_back(resultToJson(id, m_results.at(id)));
    }
    const json snapshot = {{"applied", m_appliedOffset},
                           {"membership_version", m_membershipVersion},
                           {"resources", resources},
                           {"members", members},
                           {"results", results}};
    return snapshot.dump();
}

leaf::result<config_state> config_state::fromSnapshot(const std::string &text)
{
    try {
        const json snapshot = json::parse(text);
        config_state state;
        state.m_appliedOffset = snapshot.at("applied").get<log_offset>();
        state.m_membershipVersion = snapshot.at("membership_version").get<log_offset>();
        for (const json &item : snapshot.at("resources")) {
            BOOST_LEAF_AUTO(kind, resourceKindFromPath(item.at("kind").get<std::string>()));
            stored_resource &stored = state.m_resources[{kind, item.at("name").get<std::string>()}];
            stored.version = item.at("version").get<log_offset>();
            stored.generation = item.at("generation").get<std::uint64_t>();
            stored.body = item.at("body");
        }
        for (const json &item : snapshot.at("members")) {
            const entry_member member = memberFromJson(item);
            state.m_members[member.name] = member;
        }
        for (const json &item : snapshot.at("results")) {
            const auto code = resultCodeFromNumber(item.at("code").get<int>());
            const apply_result result = {code.value_or(result_code::record_corrupt),
                                         item.at("offset").get<log_offset>(),
                                         item.at("detail").get<std::string>()};
            state.storeResult(item.at("id").get<std::string>(), result);
        }
        return state;
    } catch (const json::exception &error) {
        return leaf::new_error(failure{result_code::record_corrupt, error.what()});
    }
}

}
