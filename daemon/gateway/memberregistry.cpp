#include "memberregistry.h"

#include "decodeorlog.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/asynctools.h"
#include "cardamomdeck/platform/recordcodec.h"

namespace cardamomdeck {

namespace asio = boost::asio;
using platform::store_topic;

namespace {

/** Pause before the entry announces itself to the store again. */
constexpr milliseconds registrationRetryDelay{1500};

/** Time after which an entry that no peer has introduced reads the members from the store. */
constexpr milliseconds discoveryTimeout{1000};

/** First entries by rank, which are in the store for those that no seed introduces; several, as any may be lost. */
constexpr std::size_t registeredEntries = 3;

/** Period in which the first entry by rank reads the members, so that parts of the fleet find each other. */
constexpr milliseconds memberReadPeriod{20'000};

}

member_registry::member_registry(platform::store_client &store,
                                 fleet_state &state,
                                 std::function<void(bool)> noteStore,
                                 std::function<void()> membersRead)
    : m_store(store)
    , m_state(state)
    , m_onStoreCall(std::move(noteStore))
    , m_onMembersRead(std::move(membersRead))
{
}

asio::awaitable<void> member_registry::registerSelf()
{
    while (!m_state.members().self().shuttingDown) {
        m_possiblyRegistered = true;
        const std::string record = platform::encodeMember(m_state.members().self());
        const result_code written = co_await m_store.write(
            store_topic::members, m_state.members().self().name, record, steady::now() + platform::storeCallTimeout);
        if (written == result_code::ok) {
            m_registered = true;
            log_line("announced").add("entry", m_state.members().self().name).info();
            co_return;
        }
        m_onStoreCall(false);
        co_await sleepUntil(steady::now() + registrationRetryDelay);
    }
}

asio::awaitable<void> member_registry::readMembers()
{
    const platform::keyed_read_result read
        = co_await m_store.readNewest(store_topic::members, steady::now() + platform::storeCallTimeout);
    m_onStoreCall(read.code == result_code::ok);
    if (read.code != result_code::ok) {
        co_return;
    }
    for (const platform::keyed_record &item : read.records) {
        const auto member
            = decodeOrLog("record_rejected", item.key, [&] { return platform::decodeMember(item.value.value_or("")); });
        if (member) {
            m_state.members().recordDiscovered(*member, steady::now());
        }
    }
    log_line("members_read").add("count", read.records.size()).info();
    m_state.noteMembershipKnown();
    m_onMembersRead();
}

asio::awaitable<void> member_registry::run()
{
    for (;;) {
        co_await sleepUntil(steady::now() + (m_state.hasMembership() ? memberReadPeriod : discoveryTimeout));
        const std::size_t rank = m_state.members().rank(steady::now());
        const bool introduced = m_state.hasMembership();
        if (!m_registered && (!introduced || rank < registeredEntries)) {
            // Written before the members are read: of two that start together one sees the other.
            co_await registerSelf();
        }
        if (!introduced || rank == 0) {
            co_await readMembers();
        }
    }
}

asio::awaitable<void> member_registry::deregister()
{
    if (!m_possiblyRegistered) {
        co_return;
    }
    const result_code written = co_await m_store.write(
        store_topic::members, m_state.members().self().name, {}, steady::now() + platform::storeCallTimeout);
    log_line("withdrawn").add("code", infoOf(written).name).info();
}

}
