#include "memberregistry.h"

#include "decodeorlog.h"

#include "cardamomdeck/base/countguard.h"
#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/asynctools.h"
#include "cardamomdeck/platform/recordcodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;
using platform::store_topic;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Delay before a failed registration is retried. */
constexpr milliseconds registrationRetryDelay{1500};

/** Interval at which a removal checks whether a registration in progress has ended. */
constexpr milliseconds registrationPollPeriod{10};

/** Time after which an entry that has no members from a peer reads them from the store. */
constexpr milliseconds discoveryTimeout{1000};

/**
 * Number of entries, first by rank, that register in the store for entries to which no seed responds. There are
 * several because any of them may fail.
 */
constexpr std::size_t registeredEntries = 3;

/** Interval at which the first entry by rank reads the members, so that parts of a split fleet find each other. */
constexpr milliseconds memberReadPeriod{20'000};

}

member_registry::member_registry(asio::io_context &context,
                                 platform::store_client &store,
                                 fleet_state &state,
                                 std::function<void(bool)> onStoreCall,
                                 std::function<void()> onMembersRead)
    : m_store(store)
    , m_state(state)
    , m_onStoreCall(std::move(onStoreCall))
    , m_onMembersRead(std::move(onMembersRead))
    , m_timer(context)
{
}

asio::awaitable<result_code> member_registry::writeSelf()
{
    const count_guard inProgress(m_registrationsInProgress);
    m_possiblyRegistered = true;
    const fleet_member self = m_state.members().self();
    co_return co_await m_store.write(
        store_topic::members, self.name, platform::encodeMember(self), steady::now() + platform::storeCallTimeout);
}

asio::awaitable<void> member_registry::registerSelf()
{
    while (!m_state.members().self().shuttingDown) {
        const result_code writeCode = co_await writeSelf();
        if (writeCode == result_code::ok) {
            m_registered = true;
            m_registeredEra = m_store.era();
            log_line("announced").add("entry", m_state.members().self().name).info();
            co_return;
        }
        m_onStoreCall(false);
        co_await sleepUntil(steady::now() + registrationRetryDelay);
    }
}

asio::awaitable<void> member_registry::readMembers()
{
    const platform::keyed_read_result topicRead
        = co_await m_store.readNewest(store_topic::members, steady::now() + platform::storeCallTimeout);
    m_onStoreCall(topicRead.code == result_code::ok);
    if (topicRead.code != result_code::ok) {
        co_return;
    }
    for (const platform::keyed_record &item : topicRead.records) {
        const auto member
            = decodeOrLog("record_rejected", item.key, [&] { return platform::decodeMember(item.value.value_or("")); });
        if (member) {
            m_state.members().recordDiscovered(*member, steady::now());
        }
    }
    log_line("members_read").add("count", topicRead.records.size()).info();
    m_state.recordMembershipKnown();
    m_onMembersRead();
}

asio::awaitable<void> member_registry::run()
{
    for (;;) {
        m_timer.expires_at(steady::now() + (m_state.hasMembership() ? memberReadPeriod : discoveryTimeout));
        co_await m_timer.async_wait(asTuple);
        if (isRegistrationLost()) {
            co_await registerSelf();
        }
        const std::size_t rank = m_state.members().rank(steady::now());
        const bool membershipKnown = m_state.hasMembership();
        if (!m_registered && (!membershipKnown || rank < registeredEntries)) {
            // Registers before reading the members, so that of two entries that start together one finds the other.
            co_await registerSelf();
        }
        if (!membershipKnown || rank == 0) {
            co_await readMembers();
        }
    }
}

bool member_registry::isRegistrationLost() const
{
    // The state may know of an era in which this entry has not called the store yet.
    return m_registered && m_registeredEra < std::max(m_store.era(), m_state.position().backendsEnd.era);
}

void member_registry::recordStoreRestored()
{
    if (isRegistrationLost()) {
        m_timer.cancel();
    }
}

asio::awaitable<void> member_registry::deregister()
{
    if (!m_possiblyRegistered) {
        co_return;
    }
    // The store could run the registration after the removal, and the record would stay.
    while (m_registrationsInProgress > 0) {
        co_await sleepUntil(steady::now() + registrationPollPeriod);
    }
    const result_code writeCode = co_await m_store.write(
        store_topic::members, m_state.members().self().name, {}, steady::now() + platform::storeCallTimeout);
    log_line("withdrawn").add("code", infoOf(writeCode).name).info();
}

}
