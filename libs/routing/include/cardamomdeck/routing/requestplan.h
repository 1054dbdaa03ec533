/**
 * @file
 * Decides, for one request, what follows the end of an attempt.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"

#include <cstdint>
#include <optional>

namespace cardamomdeck {

/** Extra attempts as a share of requests; holds no more than a small reserve. */
class attempt_budget
{
public:
    /** Allows @p percent extra attempts for each hundred requests. */
    explicit attempt_budget(std::uint32_t percent);

    /** Changes the share. */
    void setPercent(std::uint32_t percent);

    /** Notes one request. */
    void requestArrived();

    /** Takes one extra attempt out of the budget; false when it is spent. */
    bool tryAcquire();

    /** Extra attempts taken so far. */
    std::uint64_t acquiredCount() const;

private:
    std::uint32_t m_percent;
    std::uint64_t m_attemptHundredths = 0;
    std::uint64_t m_acquiredCount = 0;
};

/** How one attempt ended. */
struct attempt_result
{
    result_code code = result_code::ok;
    /** False only when no byte of the request can have left this process. */
    bool mayHaveSentBytes = false;
    /** Status of the answer; valid when the code is ok. */
    unsigned status = 0;
    /** The back end said that it refused before starting. */
    bool refused = false;
    /** A level below has retried already and failed all the same. */
    bool retriedByBackend = false;
};

/** What is known of the request after this attempt alone. */
outcome outcomeOf(const attempt_result &end);

/** True when the answer reports that the server, not the request, is at fault. */
bool isServerFailure(const attempt_result &end);

/** The properties of a request that decide about further attempts. */
struct request_traits
{
    bool idempotent = false;
    /** The caller, or a level above it, is itself repeating the request. */
    bool retriedByCaller = false;
    time_point deadline;
};

/** What to do after an attempt has ended. */
enum class retry_decision {
    answer, /**< Pass on the answer of this attempt. */
    retry, /**< Start another attempt at another back end. */
    wait, /**< Another attempt is still in flight. */
    give_up, /**< Answer with the plan's final code. */
};

/** The attempts of one request. At most one attempt of a non-idempotent request can ever have run. */
class request_plan
{
public:
    /** Most attempts of one request, hedges included. */
    static constexpr std::uint32_t maxAttempts = 4;

    /** A plan that takes its extra attempts from @p retries and @p hedges. */
    request_plan(request_traits traits, attempt_budget &retries, attempt_budget &hedges);

    /** Notes the start of an attempt. */
    void attemptStarted();

    /** Decides what follows the end of an attempt at @p now. */
    retry_decision attemptEnded(const attempt_result &end, time_point now);

    /** True when a second attempt may start beside the one in flight; takes it from the hedge budget. */
    bool tryAcquireHedge(time_point now);

    /** Attempts started so far. */
    std::uint32_t attempts() const;

    /** The code to answer with after give_up, or at the deadline. */
    result_code finalCode() const;

private:
    bool tryAcquireRetry(const attempt_result &end, time_point now);
    void recordFailure(const attempt_result &end);

    request_traits m_traits;
    attempt_budget &m_retries;
    attempt_budget &m_hedges;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_inFlight = 0;
    result_code m_notRunCode = result_code::no_backend;
    std::optional<result_code> m_unknownCode;
};

}
