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

asio::awaitable<void> store_reader::read(store_read_result &reading, time_point deadline)
{
    using namespace asio::experimental::awaitable_operators;
    std::tie(reading.configRead, reading.backendsRead)
        = co_await (readConfig(reading, deadline) && readBackends(reading, deadline));
}

asio::awaitable<bool> store_reader::readConfig(store_read_result &reading, time_point deadline)
{
    const view_position position = m_state.position();
    platform::keyed_read_result read;
    read.code = result_code::offset_expired;
    if (position.configVersion > 0) {
        read = co_await m_store.readFrom(store_topic::operator_config, position.configEndOffset, deadline);
    }
    if (read.code == result_code::offset_expired) {
        read = co_await m_store.readNewest(store_topic::operator_config, deadline);
    }
    if (read.code != result_code::ok) {
        co_return false;
    }
    reading.configEndOffset = read.nextOffset;
    for (const platform::keyed_record &item : read.records) {
        if (item.key != platform::configKey || !item.value) {
            continue;
        }
        auto config = decodeOrLog("record_rejected", item.key, [&] { return platform::decodeConfig(*item.value); });
        if (config && (!reading.config || config->version > reading.config->config.version)) {
            reading.config = {std::move(*config), *item.value};
        }
    }
    co_return true;
}

asio::awaitable<bool> store_reader::readBackends(store_read_result &reading, time_point deadline)
{
    const view_position position = m_state.position();
    platform::keyed_read_result read;
    read.code = result_code::offset_expired;
    if (m_state.isComplete()) {
        read = co_await m_store.readFrom(store_topic::backend_servers, position.backendsEndOffset, deadline);
    }
    if (read.code == result_code::offset_expired) {
        read = co_await m_store.readNewest(store_topic::backend_servers, deadline);
        reading.completeListing = true;
    }
    if (read.code != result_code::ok && (reading.completeListing || read.records.empty())) {
        co_return false;
    }
    reading.backendsEndOffset = read.nextOffset;
    const time_point now = steady::now();
    for (platform::keyed_record &item : read.records) {
        backend_record record{item.key, item.offset, std::nullopt};
        if (item.value) {
            record.server = decodeOrLog(
                "record_rejected", item.key, [&] { return platform::decodeBackend(item.key, *item.value, now); });
            if (!record.server) {
                continue;
            }
        }
        reading.backends.push_back(std::move(record));
    }
    co_return read.code == result_code::ok;
}

}
