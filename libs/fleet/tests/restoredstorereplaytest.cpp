#include "fleetfixture.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace cardamomdeck;

namespace {

/** One topic of the simulated store; a record without a value removes its key. */
template<typename value_type>
struct simulated_topic
{
    std::vector<std::pair<std::string, std::optional<value_type>>> records;

    void write(const std::string &key, std::optional<value_type> value)
    {
        records.emplace_back(key, std::move(value));
    }

    std::map<std::string, std::pair<store_offset, value_type>> newest() const
    {
        std::map<std::string, std::pair<store_offset, value_type>> listing;
        for (store_offset offset = 0; offset < records.size(); ++offset) {
            const auto &[key, value] = records[offset];
            listing.erase(key);
            if (value) {
                listing.emplace(key, std::pair(offset, *value));
            }
        }
        return listing;
    }
};

const std::string configKey = "config";

std::string join(const std::set<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += name + " ";
    }
    return text;
}

/** What the operator and the backend servers have written, and the store, which may lose the last part of it. */
class simulated_platform
{
public:
    explicit simulated_platform(std::uint32_t seed)
        : m_random(seed)
    {
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void writeConfig()
    {
        version += 1 + pick(3);
        m_op.write(configKey, version);
    }

    void toggleEvacuation()
    {
        const std::string zone = "zone-" + std::to_string(pick(2));
        const bool evacuates = !evacuated.contains(zone);
        if (evacuates) {
            evacuated.insert(zone);
        } else {
            evacuated.erase(zone);
        }
        writeEvacuation(zone, evacuates);
    }

    void changeServer()
    {
        const std::string id = "s" + std::to_string(pick(5));
        const auto found = servers.find(id);
        if (found == servers.end()) {
            servers[id] = makeBackendRecord(id, 0).server.value();
            servers[id].startUnixMs = ++m_starts;
            servers[id].sequence = 1;
        } else if (pick(3) > 0 && !found->second.draining) {
            found->second.draining = true;
            ++found->second.sequence;
        } else {
            m_servers.write(id, std::nullopt);
            servers.erase(found);
            return;
        }
        m_servers.write(id, servers[id]);
    }

    void reportServers()
    {
        for (auto &[id, server] : servers) {
            ++server.sequence;
            m_servers.write(id, server);
        }
    }

    void copy()
    {
        m_copiedOp = m_op;
        m_copiedServers = m_servers;
    }

    /** Returns to the copy. What was written since is written again, the configuration only in its newest version. */
    void restore()
    {
        m_op = m_copiedOp;
        m_servers = m_copiedServers;
        ++m_era;
    }

    void writeAgain()
    {
        const auto listing = m_op.newest();
        const auto written = listing.find(configKey);
        if (written == listing.end() || written->second.second != version) {
            m_op.write(configKey, version);
        }
        for (const std::string zone : {"zone-0", "zone-1"}) {
            if (evacuated.contains(zone) != listing.contains(zone)) {
                writeEvacuation(zone, evacuated.contains(zone));
            }
        }
        for (const auto &[id, server] : servers) {
            m_servers.write(id, server);
        }
    }

    /** Removes the records of servers that have ended. */
    void expireServers()
    {
        for (const auto &[id, record] : m_servers.newest()) {
            if (!servers.contains(id)) {
                m_servers.write(id, std::nullopt);
            }
        }
    }

    store_read_result read(const fleet_state &state, time_point now) const
    {
        const view_position position = state.position();
        store_read_result result;
        result.startedAt = now;
        const bool followsConfig = position.configVersion > 0 && !state.evacuations().needsListing();
        result.completeConfigListing = !followsConfig || !canRead(m_op, position.configEnd);
        result.configEnd = {m_era, m_op.records.size()};
        if (result.completeConfigListing) {
            for (const auto &[key, item] : m_op.newest()) {
                addOperatorRecord(result, key, item.first, item.second);
            }
        } else {
            for (store_offset offset = position.configEnd.offset; offset < m_op.records.size(); ++offset) {
                addOperatorRecord(result, m_op.records[offset].first, offset, m_op.records[offset].second);
            }
        }
        result.completeListing = state.needsBackendListing(now) || !canRead(m_servers, position.backendsEnd);
        result.backendsEnd = {m_era, m_servers.records.size()};
        if (result.completeListing) {
            for (const auto &[id, item] : m_servers.newest()) {
                result.backends.push_back({id, {m_era, item.first}, item.second});
            }
        } else {
            for (store_offset offset = position.backendsEnd.offset; offset < m_servers.records.size(); ++offset) {
                result.backends.push_back(
                    {m_servers.records[offset].first, {m_era, offset}, m_servers.records[offset].second});
            }
        }
        return result;
    }

    std::set<std::string> usableServers() const
    {
        std::set<std::string> ids;
        for (const auto &[id, server] : servers) {
            if (!server.draining) {
                ids.insert(id);
            }
        }
        return ids;
    }

    std::uint64_t version = 0;
    std::set<std::string> evacuated;
    std::map<std::string, backend_server> servers;

private:
    template<typename topic>
    bool canRead(const topic &readTopic, const topic_position &from) const
    {
        return from.era == m_era && from.offset <= readTopic.records.size();
    }

    void writeEvacuation(const std::string &zone, bool evacuates)
    {
        m_op.write(zone, evacuates ? std::optional<std::uint64_t>(1) : std::nullopt);
    }

    void addOperatorRecord(store_read_result &result,
                           const std::string &key,
                           store_offset offset,
                           const std::optional<std::uint64_t> &value) const
    {
        if (key != configKey) {
            result.evacuations.push_back({key, {m_era, offset}, value.has_value()});
        } else if (!result.config || *value > result.config->config.version) {
            result.config = makeConfig(*value);
        }
    }

    std::mt19937 m_random;
    std::uint64_t m_era = 1;
    std::int64_t m_starts = 0;
    simulated_topic<std::uint64_t> m_op;
    simulated_topic<std::uint64_t> m_copiedOp;
    simulated_topic<backend_server> m_servers;
    simulated_topic<backend_server> m_copiedServers;
};

/** Entries that read the platform and exchange messages in a random order. */
class simulated_fleet
{
public:
    explicit simulated_fleet(std::uint32_t seed)
        : platform(seed)
    {
        for (std::size_t number = 0; number < entryCount; ++number) {
            m_entries.push_back(nullptr);
            restart(number);
        }
    }

    void restart(std::size_t number)
    {
        std::erase_if(m_late, [number](const late_response &late) { return late.receiver == number; });
        fleet_member self = makeMember("e" + std::to_string(number + 1));
        self.startUnixMs += ++m_starts;
        m_entries[number] = std::make_unique<fleet_state>(self);
    }

    /** Reads the store and announces the changes to some of the others; the others miss the datagram. */
    void read(std::size_t number)
    {
        const view_position before = m_entries[number]->position();
        m_entries[number]->applyStoreRead(platform.read(*m_entries[number], now), now);
        const heartbeat_message announcement = m_entries[number]->heartbeatWithChanges(before, now);
        for (std::size_t other = 0; other < entryCount; ++other) {
            if (other != number && platform.pick(2) == 0) {
                receive(number, other, announcement);
            }
        }
    }

    void exchange(std::size_t from, std::size_t to)
    {
        receive(from, to, m_entries[from]->basicHeartbeat(now));
    }

    /** Delivers @p heartbeat, and the view that it makes the receiver ask for, which may arrive much later. */
    void receive(std::size_t from, std::size_t to, const heartbeat_message &heartbeat)
    {
        fleet_state &receiver = *m_entries[to];
        const heartbeat_message received = decodeHeartbeat(encode(heartbeat, now), now).value();
        const fleet_state::heartbeat_result result = receiver.applyHeartbeat(received, now);
        if (!result.shouldRequestView) {
            return;
        }
        const peer_request request = decodeRequest(encode(receiver.makeViewRequest()), now).value();
        const view_response response = m_entries[from]->makeViewResponse(std::get<view_request>(request), now);
        late_response answer{to, decodeViewResponse(encode(response, now), now).value(), result.announcedFreshAt};
        if (m_delaysResponses && platform.pick(3) == 0) {
            m_late.push_back(std::move(answer));
        } else {
            apply(answer);
        }
    }

    void advance(milliseconds duration)
    {
        now += duration;
        for (const auto &entry : m_entries) {
            entry->expire(now);
        }
    }

    void step()
    {
        advance(milliseconds(50 + platform.pick(400)));
        if (platform.pick(3) == 0) {
            deliverLate();
        }
        const std::size_t number = platform.pick(entryCount);
        const std::size_t other = (number + 1 + platform.pick(entryCount - 1)) % entryCount;
        switch (platform.pick(24)) {
        case 0:
            return platform.writeConfig();
        case 1:
            return platform.toggleEvacuation();
        case 2:
        case 3:
            return platform.changeServer();
        case 4:
            return platform.reportServers();
        case 5:
            return platform.copy();
        case 6:
            return platform.restore();
        case 7:
            return platform.writeAgain();
        case 8:
            return restart(number);
        default:
            return number == 0 || platform.pick(2) == 0 ? read(number) : exchange(other, number);
        }
    }

    /** Lets everything settle that takes time; the entry @p reader reads the store, and the others when it is due. */
    void settle(std::size_t reader)
    {
        m_delaysResponses = false;
        deliverLate();
        platform.writeAgain();
        platform.expireServers();
        for (int round = 0; round < 30; ++round) {
            platform.reportServers();
            read(reader);
            for (std::size_t number = 0; number < entryCount; ++number) {
                if (m_entries[number]->nextRead(now) <= now) {
                    read(number);
                }
                for (std::size_t other = 0; other < entryCount; ++other) {
                    if (number != other) {
                        exchange(number, other);
                    }
                }
            }
            advance(milliseconds(400));
        }
    }

    void assertSettled(std::uint32_t seed)
    {
        for (const auto &entry : m_entries) {
            const fleet_view_ptr view = entry->view(now);
            std::set<std::string> usable;
            for (const auto &[service, members] : *view->backends) {
                for (const auto &[id, server] : members) {
                    usable.insert(id);
                }
            }
            const std::string &name = entry->members().self().name;
            cr_assert_eq(view->config->version, platform.version, "seed %u, %s: version", seed, name.c_str());
            cr_assert(*view->evacuatedZones == platform.evacuated, "seed %u, %s: zones", seed, name.c_str());
            cr_assert_eq(join(usable),
                         join(platform.usableServers()),
                         "seed %u, %s: %s, not %s",
                         seed,
                         name.c_str(),
                         join(usable).c_str(),
                         join(platform.usableServers()).c_str());
        }
    }

    simulated_platform platform;
    time_point now = startTime;

private:
    static constexpr std::size_t entryCount = 3;

    struct late_response
    {
        std::size_t receiver;
        view_response response;
        std::optional<time_point> announcedFreshAt;
    };

    void deliverLate()
    {
        for (const late_response &late : std::exchange(m_late, {})) {
            apply(late);
        }
    }

    void apply(const late_response &answer)
    {
        std::optional<config_source> config;
        if (answer.response.config) {
            config = makeConfig(answer.response.config->version);
        }
        m_entries[answer.receiver]->applyViewResponse(answer.response, config, answer.announcedFreshAt, now);
    }

    std::vector<std::unique_ptr<fleet_state>> m_entries;
    std::vector<late_response> m_late;
    bool m_delaysResponses = true;
    std::int64_t m_starts = 0;
};

}

TestSuite(restored_store_replay);

// Guards against a view that stays wrong after the store has lost records, whatever the order of reads and messages.
Test(restored_store_replay, views_agree_with_the_store_after_any_order_of_events)
{
    constexpr std::uint32_t seeds = 500;
    constexpr int steps = 150;
    for (std::uint32_t seed = 0; seed < seeds; ++seed) {
        simulated_fleet fleet(seed);
        fleet.platform.writeConfig();
        for (int i = 0; i < steps; ++i) {
            fleet.step();
        }
        fleet.settle(seed % 3);
        fleet.assertSettled(seed);
    }
}
