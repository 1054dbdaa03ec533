/**
 * @file
 * Caches the encoded full view for entries that start at the same time.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/fleetstate.h"

#include <memory>
#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * Encodes responses to view requests of peers; the response with the full view is cached, so that it is encoded once
 * for many starting entries.
 */
class view_response_cache
{
public:
    /** Maximum age of a cached response; it overstates the remaining warm-up time of a server by up to this much. */
    static constexpr milliseconds maxAge{100};

    /** The encoded response of @p state to @p request; never null. */
    std::shared_ptr<const std::string> encodedResponse(fleet_state &state, const view_request &request, time_point now);

private:
    std::shared_ptr<const std::string> m_fullResponse;
    /** Position of the view in m_fullResponse. */
    view_position m_position;
    /** Evacuations in m_fullResponse; those from a heartbeat do not change the position. */
    std::vector<evacuation_record> m_evacuations;
    time_point m_expiresAt;
};

}
