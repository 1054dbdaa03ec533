#include "memberdirectory.h"

#include "decodeorlog.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/asynctools.h"
#include "cardamomdeck/platform/recordcodec.h"

namespace cardamomdeck {

namespace asio = boost::asio;
using platform::store_topic;

namespace {

/** Pause before the entry announces itself to the store again. */
constexpr milliseconds announcePause{1500};

/** Time after which an entry that no peer has introduced reads the members from the store. */
constexpr milliseconds introductionTime{1000};

/** First entries by rank, which are in the store for those that no seed introduces; several, as any may be lost. */
constexpr std::size_t announcedEntries = 3;

/** Period in which the first entry by rank reads the members, so that parts of the fleet find each other. */
constexpr milliseconds membersPeriod{20'000};

}

member_directory::member_directory(platform::store_client &store,
                                   fleet_state &state,
                                   std::function<void(bool)> noteStore,
                                   std::function<void()> membersRead)
    : m_store(store)
    , m_state(state)
    , m_noteStore(std::move(noteStore))
    , m_membersRead(std::move(membersRead))
{
}

asio::awaitable<void> member_directory::announce()
{
    while (!m_state.members().self().leaving) {
        m_mayBeAnnounced = true;
        const std::string record = platform::encodeMember(m_state.members().self());
        const result_code written = co_await m_store.write(
            store_topic::members, m_state.members().self().name, record, steady::now() + platform::longestStoreCall);
        if (written == result_code::ok) {
            m_announced = true;
            log_line("announced").add("entry", m_state.members().self().name).info();
            co_return;
        }
        m_noteStore(false);
        co_await sleepUntil(steady::now() + announcePause);
    }
}

asio::awaitable<void> member_directory::read()
{
    const platform::keyed_read read
        = co_await m_store.readNewest(store_topic::members, steady::now() + platform::longestStoreCall);
    m_noteStore(read.code == result_code::ok);
    if (read.code != result_code::ok) {
        co_return;
    }
    for (const platform::keyed_record &item : read.records) {
        const auto member
            = decodeOrLog("record_rejected", item.key, [&] { return platform::decodeMember(item.value.value_or("")); });
        if (member) {
            m_state.members().learned(*member, steady::now());
        }
    }
    log_line("members_read").add("count", read.records.size()).info();
    m_state.noteIntroduced();
    m_membersRead();
}

asio::awaitable<void> member_directory::run()
{
    for (;;) {
        co_await sleepUntil(steady::now() + (m_state.isIntroduced() ? membersPeriod : introductionTime));
        const std::size_t rank = m_state.members().rank(steady::now());
        const bool introduced = m_state.isIntroduced();
        if (!m_announced && (!introduced || rank < announcedEntries)) {
            // Written before the members are read: of two that start together one sees the other.
            co_await announce();
        }
        if (!introduced || rank == 0) {
            co_await read();
        }
    }
}

asio::awaitable<void> member_directory::withdraw()
{
    if (!m_mayBeAnnounced) {
        co_return;
    }
    const result_code written = co_await m_store.write(
        store_topic::members, m_state.members().self().name, {}, steady::now() + platform::longestStoreCall);
    log_line("withdrawn").add("code", infoOf(written).name).info();
}

}
