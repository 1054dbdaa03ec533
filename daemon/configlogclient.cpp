#include "configlogclient.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"

#include <nlohmann/json.hpp>

#include <iterator>
#include <random>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

const std::string configStream = "config";
const std::string snapshotStream = "snapshots";

/** Time that the log service may hold a read open. */
constexpr milliseconds readLongPollWait{800};

/** Time that an answer of the log service may take beyond that. */
constexpr milliseconds readTimeoutMargin{700};

/** Pause after a read that failed. */
constexpr milliseconds readRetryPause{200};

constexpr milliseconds appendTimeout{1500};

/** Time in which an appended record should be read back. */
constexpr milliseconds applyTimeout{1000};

constexpr milliseconds membershipCheckPeriod{50};
constexpr milliseconds joinJitter{150};

/** Silence after which a member is removed. */
constexpr milliseconds evictionTimeout{10'000};

/** Silence after which a member is removed whose VM the platform no longer lists; longer than the list lags. */
constexpr milliseconds unlistedEvictionTimeout{20'000};

/** Further silence for each member that comes before this entry, so that one entry acts first. */
constexpr milliseconds evictionStagger{1'000};

constexpr milliseconds snapshotPeriod{500};
constexpr milliseconds vmListPeriod{1'000};
constexpr milliseconds vmListTimeout{900};

log_offset snapshotOffset(const std::string &snapshot)
{
    const auto parsed = nlohmann::json::parse(snapshot, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("applied") || !parsed["applied"].is_number_unsigned()) {
        return 0;
    }
    return parsed["applied"].get<log_offset>();
}

}

config_log_client::config_log_client(asio::io_context &context,
                                     const entry_settings &settings,
                                     control_state &state,
                                     log_service &log)
    : m_context(context)
    , m_settings(settings)
    , m_state(state)
    , m_log(log)
    , m_random(std::random_device()())
    , m_startedAt(steady::now())
{
}

void config_log_client::start()
{
    startLoop(m_context, "log_reading", [this] { return readLoop(); });
    startLoop(m_context, "membership", [this] { return membershipLoop(); });
    startLoop(m_context, "snapshots", [this] { return snapshotLoop(); });
    if (m_settings.vmList) {
        startLoop(m_context, "vm_list", [this] { return vmListLoop(); });
    }
}

asio::awaitable<result_code> config_log_client::append(config_change value, time_point deadline)
{
    const append_result result = co_await m_log.append(configStream, encodeChange(value), deadline);
    co_return result.code;
}

asio::awaitable<void> config_log_client::leave(time_point deadline)
{
    while (m_state.isMember() && steady::now() < deadline) {
        const leave_change action
            = {m_state.self().name, m_state.self().incarnation, m_state.config().membershipVersion()};
        config_change departure = {newChangeId(), action};
        co_await appendAndAwait(std::move(departure));
        co_await sleepUntil(steady::now() + milliseconds(randomIndex(m_random, joinJitter.count())));
    }
}

std::string config_log_client::newChangeId()
{
    return m_state.self().name + "-" + std::to_string(m_state.self().incarnation) + "-"
           + std::to_string(++m_changeCount);
}

asio::awaitable<void> config_log_client::readLoop()
{
    co_await readSnapshot();
    for (;;) {
        const bool answered = co_await readRecords();
        m_state.setLogServiceReachable(answered);
        if (!answered) {
            co_await sleepUntil(steady::now() + readRetryPause);
        }
    }
}

asio::awaitable<bool> config_log_client::readRecords()
{
    const time_point asked = steady::now();
    const log_offset from = m_state.config().appliedOffset() + 1;
    const read_result result = co_await m_log.read(
        configStream, from, asked + readLongPollWait, asked + readLongPollWait + readTimeoutMargin);
    if (result.code == result_code::store_unavailable) {
        co_return false;
    }
    if (result.code == result_code::offset_expired) {
        log_line("log_offset_expired").add("offset", from).warn();
        co_await readSnapshot();
        co_await sleepUntil(steady::now() + readRetryPause);
        co_return true;
    }
    m_state.ingest(result.records);
    if (m_state.config().appliedOffset() + 1 >= result.endOffset) {
        m_state.confirmLogRead(asked);
    }
    co_return true;
}

asio::awaitable<void> config_log_client::readSnapshot()
{
    // The stream may hold several snapshots; each is read, and only a newer one than the state is used.
    for (;;) {
        const time_point now = steady::now();
        const read_result result
            = co_await m_log.read(snapshotStream, m_nextSnapshotRecord, now, now + readTimeoutMargin);
        if (result.code == result_code::offset_expired) {
            ++m_nextSnapshotRecord;
            continue;
        }
        if (result.code != result_code::ok || result.records.empty()) {
            co_return;
        }
        m_nextSnapshotRecord = result.records.back().offset + 1;
        m_snapshotOffset = std::max(m_snapshotOffset, snapshotOffset(result.records.back().data));
        m_state.ingestSnapshot(result.records.back().data);
    }
}

asio::awaitable<void> config_log_client::membershipLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + membershipCheckPeriod);
        if (m_state.isShuttingDown() || !m_state.isLogServiceReachable()) {
            continue;
        }
        if (!m_state.isMember() && canJoin()) {
            co_await join();
        } else {
            co_await evictSilentMember();
        }
    }
}

bool config_log_client::isMembershipAccepted() const
{
    return m_state.peers().acceptedAt(m_state.config().membershipVersion()).has_value();
}

bool config_log_client::isVmListed(const std::string &vm) const
{
    const vm_list &list = m_state.vmList();
    return list.version == 0 || list.live.contains(vm) || list.leaving.contains(vm);
}

bool config_log_client::canJoin() const
{
    const auto &members = m_state.config().members();
    // A new run of a member takes the member's place: the set of names, and so every majority, stays the same.
    return members.empty() || members.contains(m_state.self().name) || isMembershipAccepted();
}

asio::awaitable<void> config_log_client::join()
{
    co_await sleepUntil(steady::now() + milliseconds(randomIndex(m_random, joinJitter.count())));
    if (m_state.isMember() || !canJoin()) {
        co_return;
    }
    const join_change action = {m_state.self(), m_state.config().membershipVersion()};
    config_change arrival = {newChangeId(), action};
    co_await appendAndAwait(std::move(arrival));
}

std::string config_log_client::memberToEvict() const
{
    const auto &members = m_state.config().members();
    const auto rank = std::distance(members.begin(), members.lower_bound(m_state.self().name));
    const time_point goneSince = steady::now() - unlistedEvictionTimeout;
    if (m_startedAt <= goneSince) {
        // Without a majority, only the platform's word that the VM is gone allows to shrink the membership.
        for (const std::string &name : m_state.peers().membersWithoutContactSince(goneSince)) {
            if (name != m_state.self().name && !isVmListed(name)) {
                return name;
            }
        }
    }
    const time_point since = steady::now() - evictionTimeout - evictionStagger * rank;
    const bool settled = m_state.peers().membershipChangedAt() <= since && isMembershipAccepted();
    if (!settled || !m_state.isMember() || !m_state.peers().hasMajorityContactSince(since)) {
        return {};
    }
    const auto silent = m_state.peers().membersWithoutContactSince(since);
    return silent.empty() ? std::string() : silent.front();
}

asio::awaitable<void> config_log_client::evictSilentMember()
{
    const std::string name = memberToEvict();
    if (name.empty()) {
        co_return;
    }
    log_line("member_evicted").add("entry", name).warn();
    const std::uint64_t incarnation = m_state.config().members().at(name).incarnation;
    const leave_change action = {name, incarnation, m_state.config().membershipVersion()};
    config_change departure = {newChangeId(), action};
    co_await appendAndAwait(std::move(departure));
}

asio::awaitable<void> config_log_client::appendAndAwait(config_change value)
{
    const std::string id = value.id;
    const time_point now = steady::now();
    const result_code code = co_await append(std::move(value), now + appendTimeout);
    if (code != result_code::ok) {
        co_return;
    }
    const time_point deadline = steady::now() + applyTimeout;
    while (!m_state.config().resultOf(id) && steady::now() < deadline) {
        co_await sleepUntil(steady::now() + milliseconds(5));
    }
}

asio::awaitable<void> config_log_client::snapshotLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + snapshotPeriod
                            + milliseconds(randomIndex(m_random, snapshotPeriod.count())));
        const bool due = m_state.config().appliedOffset() >= m_snapshotOffset + m_settings.recordsPerSnapshot;
        if (due && m_state.isMember() && m_state.isLogServiceReachable()) {
            co_await writeSnapshot();
        }
    }
}

asio::awaitable<void> config_log_client::writeSnapshot()
{
    // Another entry may have written one in the meantime. Should two write, both snapshots are valid.
    co_await readSnapshot();
    if (m_state.config().appliedOffset() < m_snapshotOffset + m_settings.recordsPerSnapshot) {
        co_return;
    }
    const log_offset applied = m_state.config().appliedOffset();
    const std::string snapshot = m_state.config().toSnapshot();
    const append_result result = co_await m_log.append(snapshotStream, snapshot, steady::now() + appendTimeout);
    if (result.code == result_code::ok) {
        m_snapshotOffset = applied;
        log_line("snapshot_written").add("applied", applied).add("bytes", snapshot.size()).info();
    }
}

asio::awaitable<void> config_log_client::vmListLoop()
{
    for (;;) {
        if (const auto list = co_await readVmList(*m_settings.vmList, steady::now() + vmListTimeout)) {
            m_state.setVmList(*list);
        }
        co_await sleepUntil(steady::now() + vmListPeriod);
    }
}

}
