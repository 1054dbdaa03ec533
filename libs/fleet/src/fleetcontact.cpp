#include "cardamomdeck/fleet/fleetcontact.h"

namespace cardamomdeck {

fleet_contact contactOf(const fleet_state &state, time_point now)
{
    const time_point freshAt = state.freshAt();
    const bool confirmed
        = state.isComplete() && freshAt >= state.resumedAt() && now - freshAt <= fleet_state::storeOutageThreshold;
    return {confirmed, state.resumedAt(), state.knownEntries(now)};
}

}
