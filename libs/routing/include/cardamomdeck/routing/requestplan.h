/**
 * @file
 * Retries and hedging of one request: decides what follows the end of an attempt.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"

#include <cstdint>
#include <optional>

namespace cardamomdeck {

/** Budget of extra attempts, as a percentage of the requests; unused attempts accumulate up to a small limit. */
class attempt_budget
{
public:
    /** Creates a budget of @p percent extra attempts per hundred requests. */
    explicit attempt_budget(std::uint32_t percent);

    /** Changes the percentage of extra attempts. */
    void setPercent(std::uint32_t percent);

    /** Records a request, which adds to the budget. */
    void requestArrived();

    /** Acquires one extra attempt; returns false if the budget is exhausted. */
    bool tryAcquire();

    /** Number of extra attempts acquired so far. */
    std::uint64_t acquiredCount() const;

private:
    std::uint32_t m_percent;
    std::uint64_t m_attemptHundredths = 0;
    std::uint64_t m_acquiredCount = 0;
};

/** Result of one attempt. */
struct attempt_result
{
    result_code code = result_code::ok;
    /** False only if no byte of the request can have left this process. */
    bool mayHaveSentBytes = false;
    /** HTTP status of the response; valid if the code is ok. */
    unsigned status = 0;
    /** The backend server reported that it rejected the request before running it. */
    bool refused = false;
    /** A service further down the call chain has already retried, and failed. */
    bool retriedByBackend = false;
};

/** Returns what this attempt alone shows about the outcome of the request. */
outcome outcomeOf(const attempt_result &result);

/** Returns true if the attempt failed, or if its response reports a fault of the server and not of the request. */
bool isServerFailure(const attempt_result &result);

/** Properties of a request that determine whether further attempts are allowed. */
struct request_traits
{
    bool idempotent = false;
    /** The request is already a retry of the caller, or of a service further up the call chain. */
    bool retriedByCaller = false;
    time_point deadline;
};

/** Next step after the end of an attempt. */
enum class retry_decision {
    answer, /**< Forward the response of this attempt. */
    retry, /**< Start another attempt at another backend server. */
    wait, /**< Wait for another attempt, which is still in flight. */
    give_up, /**< Respond with the plan's final code. */
};

/** The attempts of one request. At most one attempt of a non-idempotent request can have run. */
class request_plan
{
public:
    /** Maximum number of attempts of one request, including hedged ones. */
    static constexpr std::uint32_t maxAttempts = 4;

    /** Creates a plan that acquires its extra attempts from @p retryBudget and @p hedgeBudget. */
    request_plan(request_traits traits, attempt_budget &retryBudget, attempt_budget &hedgeBudget);

    /** Records the start of an attempt. */
    void attemptStarted();

    /** Records the end of an attempt at @p now and returns the next step; acquires a retry if one is allowed. */
    retry_decision attemptEnded(const attempt_result &result, time_point now);

    /** Acquires a hedged attempt, concurrent with the one in flight, from the hedge budget; returns false if denied. */
    bool tryAcquireHedge(time_point now);

    /** Number of attempts started so far. */
    std::uint32_t attempts() const;

    /** The result code to respond with after give_up, or at the deadline. */
    result_code finalCode() const;

private:
    bool tryAcquireRetry(const attempt_result &result, time_point now);
    void recordFailure(const attempt_result &result);

    request_traits m_traits;
    attempt_budget &m_retryBudget;
    attempt_budget &m_hedgeBudget;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_inFlight = 0;
    result_code m_notRunCode = result_code::no_backend;
    std::optional<result_code> m_unknownCode;
};

}
