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

/** Maximum time for which the log service holds a read open without new records (long polling). */
constexpr milliseconds readLongPollWait{800};

/** Time added to the long-poll wait, or to now for snapshots, for the response of the log service. */
constexpr milliseconds readTimeoutMargin{700};

/** Delay after a failed read. */
constexpr milliseconds readRetryDelay{200};

constexpr milliseconds appendTimeout{1500};

/** Maximum wait until an appended record has been read back and applied. */
constexpr milliseconds applyTimeout{1000};

constexpr milliseconds membershipCheckPeriod{50};
constexpr milliseconds joinJitter{150};

/** Time without contact after which a member is evicted. */
constexpr milliseconds evictionTimeout{10'000};

/** Time without contact after which a member is evicted whose VM isn't in the VM list; longer than the list's delay. */
constexpr milliseconds unlistedEvictionTimeout{20'000};

/** Added to the timeout for each member whose name sorts before this entry's, so that one entry acts first. */
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

asio::awaitable<result_code> config_log_client::append(config_change change, time_point deadline)
{
    const append_result result = co_await m_log.append(configStream, encodeChange(change), deadline);
    co_return result.code;
}

asio::awaitable<void> config_log_client::leave(time_point deadline)
{
    while (m_state.isMember() && steady::now() < deadline) {
        const leave_change action
            = {m_state.self().name, m_state.self().incarnation, m_state.config().membershipVersion()};
        config_change leaveChange = {newChangeId(), action};
        co_await appendAndAwait(std::move(leaveChange));
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
        const bool responded = co_await readRecords();
        m_state.setLogServiceReachable(responded);
        if (!responded) {
            co_await sleepUntil(steady::now() + readRetryDelay);
        }
    }
}

asio::awaitable<bool> config_log_client::readRecords()
{
    const time_point readStartedAt = steady::now();
    const log_offset from = m_state.config().appliedOffset() + 1;
    const read_result result = co_await m_log.read(
        configStream, from, readStartedAt + readLongPollWait, readStartedAt + readLongPollWait + readTimeoutMargin);
    if (result.code == result_code::store_unavailable) {
        co_return false;
    }
    if (result.code == result_code::offset_expired) {
        log_line("log_offset_expired").add("offset", from).warn();
        co_await readSnapshot();
        co_await sleepUntil(steady::now() + readRetryDelay);
        co_return true;
    }
    m_state.ingest(result.records);
    if (m_state.config().appliedOffset() + 1 >= result.endOffset) {
        m_state.confirmLogRead(readStartedAt);
    }
    co_return true;
}

asio::awaitable<void> config_log_client::readSnapshot()
{
    // The stream may hold several snapshots. Each is read, but only one that is newer than the state is used.
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
            co_await evictUnresponsiveMember();
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
    return list.version == 0 || list.live.contains(vm) || list.shuttingDown.contains(vm);
}

bool config_log_client::canJoin() const
{
    const auto &members = m_state.config().members();
    // A restarted member replaces its earlier incarnation: the set of names, and so every majority, stays the same.
    return members.empty() || members.contains(m_state.self().name) || isMembershipAccepted();
}

asio::awaitable<void> config_log_client::join()
{
    co_await sleepUntil(steady::now() + milliseconds(randomIndex(m_random, joinJitter.count())));
    if (m_state.isMember() || !canJoin()) {
        co_return;
    }
    const join_change action = {m_state.self(), m_state.config().membershipVersion()};
    config_change joinChange = {newChangeId(), action};
    co_await appendAndAwait(std::move(joinChange));
}

std::string config_log_client::memberToEvict() const
{
    const auto &members = m_state.config().members();
    const auto rank = std::distance(members.begin(), members.lower_bound(m_state.self().name));
    const time_point unlistedSince = steady::now() - unlistedEvictionTimeout;
    if (m_startedAt <= unlistedSince) {
        // Without a majority, a member may be evicted only if its VM is gone from the platform's VM list.
        for (const std::string &name : m_state.peers().membersWithoutContactSince(unlistedSince)) {
            if (name != m_state.self().name && !isVmListed(name)) {
                return name;
            }
        }
    }
    const time_point since = steady::now() - evictionTimeout - evictionStagger * rank;
    const bool membershipStable = m_state.peers().membershipChangedAt() <= since && isMembershipAccepted();
    if (!membershipStable || !m_state.isMember() || !m_state.peers().hasMajorityContactSince(since)) {
        return {};
    }
    const auto unresponsive = m_state.peers().membersWithoutContactSince(since);
    return unresponsive.empty() ? std::string() : unresponsive.front();
}

asio::awaitable<void> config_log_client::evictUnresponsiveMember()
{
    const std::string name = memberToEvict();
    if (name.empty()) {
        co_return;
    }
    log_line("member_evicted").add("entry", name).warn();
    const std::uint64_t incarnation = m_state.config().members().at(name).incarnation;
    const leave_change action = {name, incarnation, m_state.config().membershipVersion()};
    config_change leaveChange = {newChangeId(), action};
    co_await appendAndAwait(std::move(leaveChange));
}

asio::awaitable<void> config_log_client::appendAndAwait(config_change change)
{
    const std::string id = change.id;
    const time_point now = steady::now();
    const result_code code = co_await append(std::move(change), now + appendTimeout);
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
    // Another entry may have written a snapshot in the meantime. If both write one, both are valid.
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
