/**
 * @file
 * Keeps the encoded whole view for entries that start at the same time.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/fleetstate.h"

#include <memory>
#include <string>

namespace cardamomdeck {

/** Encodes answers to questions of peers; the answer to entries that know nothing once for many of them. */
class view_response_cache
{
public:
    /** Age up to which an answer is used again; what is left of a server's warm-up is told too long by as much. */
    static constexpr milliseconds maxAge{100};

    /** The encoded answer of @p state to @p question; never null. */
    std::shared_ptr<const std::string>
    encodedResponse(fleet_state &state, const view_request &question, time_point now);

private:
    std::shared_ptr<const std::string> m_fullResponse;
    /** What the whole view was encoded at. */
    view_position m_position;
    time_point m_expiresAt;
};

}
