#include "storereader.h"

#include "decodeorlog.h"

#include "cardamomdeck/platform/evacuationcodec.h"
#include "cardamomdeck/platform/recordcodec.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <tuple>

namespace cardamomdeck {

namespace asio = boost::asio;
using platform::store_topic;

store_reader::store_reader(platform::store_client &store, const fleet_state &state)
    : m_store(store)
    , m_state(state)
{
}

asio::awaitable<void> store_reader::read(store_read_result &storeRead, time_point deadline)
{
    using namespace asio::experimental::awaitable_operators;
    std::tie(storeRead.configRead, storeRead.backendsRead)
        = co_await (readConfig(storeRead, deadline) && readBackends(storeRead, deadline));
}

namespace {

/** Appends the record of the evacuation with the key @p key, if that names a zone; logs it otherwise. */
void addEvacuation(std::vector<evacuation_record> &evacuations,
                   const std::string &key,
                   const topic_position &position,
                   bool exists)
{
    if (!platform::isEvacuationKey(key)) {
        return;
    }
    if (auto zone = decodeOrLog("record_rejected", key, [&] { return platform::decodeEvacuatedZone(key); })) {
        evacuations.push_back({std::move(*zone), position, exists});
    }
}

/** The evacuations in @p topicRead. A value that cannot be read evacuates too: only the removal of the key ends it. */
std::vector<evacuation_record> decodeEvacuations(const platform::keyed_read_result &topicRead)
{
    std::vector<evacuation_record> evacuations;
    for (const platform::keyed_record &item : topicRead.records) {
        const bool exists = item.value && !item.value->empty();
        addEvacuation(evacuations, item.key, {topicRead.era, item.offset}, exists);
    }
    for (const std::string &key : topicRead.unreadableKeys) {
        // The offset is not known; the record is one of those before the end of the listing.
        addEvacuation(evacuations, key, lastBefore({topicRead.era, topicRead.nextOffset}), true);
    }
    return evacuations;
}

}

asio::awaitable<bool> store_reader::readConfig(store_read_result &storeRead, time_point deadline)
{
    const view_position position = m_state.position();
    platform::keyed_read_result topicRead;
    topicRead.code = result_code::offset_expired;
    if (position.configVersion > 0 && !m_state.evacuations().needsListing()) {
        topicRead = co_await m_store.readFrom(store_topic::operator_config, position.configEnd, deadline);
    }
    if (topicRead.code == result_code::offset_expired) {
        topicRead = co_await m_store.readNewest(store_topic::operator_config, deadline);
        storeRead.completeConfigListing = true;
    }
    if (topicRead.code != result_code::ok) {
        co_return false;
    }
    storeRead.configEnd = {topicRead.era, topicRead.nextOffset};
    storeRead.evacuations = decodeEvacuations(topicRead);
    for (const platform::keyed_record &item : topicRead.records) {
        if (item.key != platform::configKey || !item.value) {
            continue;
        }
        auto config = decodeOrLog("record_rejected", item.key, [&] { return platform::decodeConfig(*item.value); });
        if (config && (!storeRead.config || config->version > storeRead.config->config.version)) {
            storeRead.config = {std::move(*config), *item.value};
        }
    }
    co_return true;
}

asio::awaitable<bool> store_reader::readBackends(store_read_result &storeRead, time_point deadline)
{
    const view_position position = m_state.position();
    platform::keyed_read_result topicRead;
    topicRead.code = result_code::offset_expired;
    if (!m_state.needsBackendListing(steady::now())) {
        topicRead = co_await m_store.readFrom(store_topic::backend_servers, position.backendsEnd, deadline);
    }
    if (topicRead.code == result_code::offset_expired) {
        topicRead = co_await m_store.readNewest(store_topic::backend_servers, deadline);
        storeRead.completeListing = true;
    }
    if (topicRead.code != result_code::ok && (storeRead.completeListing || topicRead.records.empty())) {
        co_return false;
    }
    storeRead.backendsEnd = {topicRead.era, topicRead.nextOffset};
    const time_point now = steady::now();
    for (platform::keyed_record &item : topicRead.records) {
        backend_record record{item.key, {topicRead.era, item.offset}, std::nullopt};
        if (item.value) {
            record.server = decodeOrLog(
                "record_rejected", item.key, [&] { return platform::decodeBackend(item.key, *item.value, now); });
            if (!record.server) {
                continue;
            }
        }
        storeRead.backends.push_back(std::move(record));
    }
    co_return topicRead.code == result_code::ok;
}

}
