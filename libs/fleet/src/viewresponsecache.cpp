#include "cardamomdeck/fleet/viewresponsecache.h"

namespace cardamomdeck {

std::shared_ptr<const std::string>
view_response_cache::encodedResponse(fleet_state &state, const view_request &request, time_point now)
{
    if (request.position != view_position()) {
        return std::make_shared<const std::string>(encode(state.makeViewResponse(request, now), now));
    }
    std::vector<evacuation_record> evacuations = state.evacuations().records();
    const bool isCurrent = m_position == state.position() && m_evacuations == evacuations && now < m_expiresAt;
    if (!m_fullResponse || !isCurrent) {
        m_fullResponse = std::make_shared<const std::string>(encode(state.makeViewResponse(request, now), now));
        m_position = state.position();
        m_evacuations = std::move(evacuations);
        m_expiresAt = now + maxAge;
    }
    return m_fullResponse;
}

}
