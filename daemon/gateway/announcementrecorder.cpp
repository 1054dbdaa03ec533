#include "announcementrecorder.h"

#include "cardamomdeck/base/logline.h"

namespace cardamomdeck {

announcement_recorder::announcement_recorder(connection_pool &pool, random_source &random)
    : m_pool(pool)
    , m_random(random)
{
}

void announcement_recorder::record(backend_state &backend,
                                   const platform::server_announcement &announcement,
                                   std::string_view source)
{
    const time_point now = steady::now();
    // Only changes are logged, because a server may repeat an invalid field in every response.
    if (announcement.problem != result_code::ok && announcement.problem != backend.lastAnnouncementProblem) {
        log_line("announcement_invalid")
            .add("code", infoOf(announcement.problem).name)
            .add("backend", backend.server.id)
            .add("id", source)
            .warn();
    }
    backend.lastAnnouncementProblem = announcement.problem;
    if (announcement.leaving && backend.availability->recordLeaving(now)) {
        m_pool.drop(backend.server.id);
        log_line("backend_leaving")
            .add("backend", backend.server.id)
            .add("id", source)
            .add("started_unix_ms", backend.server.startUnixMs)
            .add("in_flight", backend.inFlight)
            .info();
    }
    if (announcement.pause && backend.availability->recordPause(now, *announcement.pause, m_random)) {
        log_line("backend_paused")
            .add("backend", backend.server.id)
            .add("id", source)
            .add("pause_ms", announcement.pause->count())
            .add("in_flight", backend.inFlight)
            .info();
    }
}

void announcement_recorder::releaseConnection(const backend_state &backend, const connection_ptr &connection)
{
    if (backend.availability->leavingSince()) {
        connection->close();
    }
    m_pool.release(backend.server.id, connection);
}

}
