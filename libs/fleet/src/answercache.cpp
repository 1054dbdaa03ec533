#include "cardamomdeck/fleet/answercache.h"

namespace cardamomdeck {

std::shared_ptr<const std::string>
answer_cache::encoded(fleet_state &state, const view_question &question, time_point now)
{
    if (question != view_question()) {
        return std::make_shared<const std::string>(encode(state.answer(question, now), now));
    }
    if (!m_whole || m_position != state.position() || now >= m_usableUntil) {
        m_whole = std::make_shared<const std::string>(encode(state.answer(question, now), now));
        m_position = state.position();
        m_usableUntil = now + longestAge;
    }
    return m_whole;
}

}
