#include "backendprober.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/platform/exchangeheaders.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Timeout of a probe, after which its connection is closed. */
constexpr milliseconds probeTimeout{400};

/** Time for which a server is avoided that is unhealthy or whose address belongs to another server. */
constexpr milliseconds avoidTime{1000};

constexpr message_limits probeLimits{16U * 1024U, 64U * 1024U};

void markAvoided(backend_state &backend, const char *reason, const std::string &respondingServer)
{
    const time_point now = steady::now();
    if (backend.avoidedUntil <= now) {
        log_line("backend_avoided")
            .add("backend", backend.server.id)
            .add("reason", reason)
            .add("answered_by", respondingServer)
            .info();
    }
    backend.avoidedUntil = now + avoidTime;
}

}

/** Results of probes that were sent concurrently. */
struct backend_prober::probe_batch
{
    explicit probe_batch(asio::io_context &context)
        : wakeTimer(context)
    {
    }

    std::vector<probe_result> results;
    std::size_t pending = 0;
    asio::steady_timer wakeTimer;
    /** The caller no longer waits; late probes return their connections to the pool. */
    bool isAbandoned = false;
};

backend_prober::backend_prober(asio::io_context &context, connection_pool &pool, announcement_recorder &announcements)
    : m_context(context)
    , m_pool(pool)
    , m_announcements(announcements)
{
}

asio::awaitable<connection_ptr> backend_prober::connect(backend_state_ptr backend, time_point deadline)
{
    connection_ptr connection = m_pool.create();
    const result_code code = co_await connection->connect(backend->server.address, deadline);
    co_return code == result_code::ok ? connection : nullptr;
}

asio::awaitable<probe_result> backend_prober::sendProbe(service_state_ptr service, backend_state_ptr backend)
{
    probe_result result;
    result.backend = backend;
    const time_point deadline = steady::now() + probeTimeout;
    connection_ptr connection = m_pool.acquireIdle(backend->server.id, steady::now() - connection_pool::maxIdleTime);
    bool reused = connection != nullptr;
    for (;;) {
        if (!connection && backend->availability->isProbeAllowed(steady::now())) {
            connection = co_await connect(backend, deadline);
        }
        // The server may have announced something since it was chosen.
        result.withheld = !backend->availability->isProbeAllowed(steady::now());
        if (connection && result.withheld) {
            m_announcements.releaseConnection(*backend, connection);
        }
        if (!connection || result.withheld) {
            co_return result;
        }
        ++service->metrics.probes;
        const time_point sentAt = steady::now();
        response_rules rules;
        rules.match = platform::matchProbe;
        http_request request = platform::makeProbe(service->profile.healthPath, toString(backend->server.address));
        const exchange_result exchange
            = co_await connection->exchange(std::move(request), probeLimits, deadline, std::move(rules));
        if (exchange.code != result_code::ok) {
            if (reused && exchange.code != result_code::deadline_passed) {
                // The server has closed the idle connection; retries on a new one.
                connection = nullptr;
                reused = false;
                continue;
            }
            co_return result;
        }
        const platform::probe_response response = platform::decodeProbeResponse(exchange.response);
        result.answered = true;
        if (!response.backendId.empty() && response.backendId != backend->server.id) {
            markAvoided(*backend, "wrong_server", response.backendId);
            connection->close();
            co_return result;
        }
        if (response.backendId == backend->server.id) {
            m_announcements.record(*backend, response.announcement, "probe");
            recordWarmup(*backend, response, sentAt, steady::now());
            if (!response.announcement.leaving) {
                backend->availability->recordProbe();
            }
        }
        if (!response.healthy) {
            markAvoided(*backend, "unhealthy", response.backendId);
            m_announcements.releaseConnection(*backend, connection);
            co_return result;
        }
        result.load = response.load;
        result.sentBeforeProbe = backend->sentRequests;
        result.connection = connection->isIdle() ? connection : nullptr;
        co_return result;
    }
}

asio::awaitable<void>
backend_prober::runProbe(service_state_ptr service, backend_state_ptr backend, std::shared_ptr<probe_batch> batch)
{
    probe_result result = co_await sendProbe(service, backend);
    if (!result.answered) {
        if (!result.withheld) {
            backend->health.recordFailure(steady::now());
        }
    } else if (result.load) {
        service->slowdown.add(result.load->slowdown);
        service->probesWithoutLoad = 0;
    } else {
        ++service->probesWithoutLoad;
    }
    --batch->pending;
    if (batch->isAbandoned) {
        if (result.connection) {
            m_announcements.releaseConnection(*backend, result.connection);
        }
        co_return;
    }
    batch->results.push_back(std::move(result));
    batch->wakeTimer.cancel();
}

asio::awaitable<std::vector<probe_result>> backend_prober::probe(service_state_ptr service,
                                                                 std::vector<backend_state_ptr> backends,
                                                                 milliseconds stragglerTimeout,
                                                                 time_point deadline)
{
    const auto batch = std::make_shared<probe_batch>(m_context);
    batch->pending = backends.size();
    for (const backend_state_ptr &backend : backends) {
        startTask(m_context, "probe", [this, service, backend, batch] { return runProbe(service, backend, batch); });
    }
    const time_point stragglerDeadline = steady::now() + stragglerTimeout;
    while (batch->pending > 0) {
        const bool hasResponse = !batch->results.empty();
        const time_point waitUntil = hasResponse ? std::min(stragglerDeadline, deadline) : deadline;
        if (steady::now() >= waitUntil) {
            break;
        }
        batch->wakeTimer.expires_at(waitUntil);
        co_await batch->wakeTimer.async_wait(asTuple);
    }
    batch->isAbandoned = true;
    std::vector<probe_result> answeredProbes;
    for (probe_result &result : batch->results) {
        if (result.answered) {
            answeredProbes.push_back(std::move(result));
        }
    }
    co_return answeredProbes;
}

}
