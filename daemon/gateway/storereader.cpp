#include "storereader.h"

#include "decodeorlog.h"

#include "cardamomdeck/platform/recordcodec.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

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

asio::awaitable<bool> store_reader::readConfig(store_read_result &storeRead, time_point deadline)
{
    const view_position position = m_state.position();
    platform::keyed_read_result topicRead;
    topicRead.code = result_code::offset_expired;
    if (position.configVersion > 0) {
        topicRead = co_await m_store.readFrom(store_topic::operator_config, position.configEndOffset, deadline);
    }
    if (topicRead.code == result_code::offset_expired) {
        topicRead = co_await m_store.readNewest(store_topic::operator_config, deadline);
    }
    if (topicRead.code != result_code::ok) {
        co_return false;
    }
    storeRead.configEndOffset = topicRead.nextOffset;
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
    if (m_state.isComplete()) {
        topicRead = co_await m_store.readFrom(store_topic::backend_servers, position.backendsEndOffset, deadline);
    }
    if (topicRead.code == result_code::offset_expired) {
        topicRead = co_await m_store.readNewest(store_topic::backend_servers, deadline);
        storeRead.completeListing = true;
    }
    if (topicRead.code != result_code::ok && (storeRead.completeListing || topicRead.records.empty())) {
        co_return false;
    }
    storeRead.backendsEndOffset = topicRead.nextOffset;
    const time_point now = steady::now();
    for (platform::keyed_record &item : topicRead.records) {
        backend_record record{item.key, item.offset, std::nullopt};
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
