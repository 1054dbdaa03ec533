#include "viewupdaterelay.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"

namespace cardamomdeck {

namespace asio = boost::asio;

view_update_relay::view_update_relay(asio::io_context &context, peer_transport &transport)
    : m_context(context)
    , m_transport(transport)
{
}

void view_update_relay::broadcast(const view_update &update, const std::vector<relay_group> &groups)
{
    for (const relay_group &group : groups) {
        startTask(m_context, "news", [this, update, group] { return sendToGroup(update, group); });
    }
}

asio::awaitable<void> view_update_relay::sendToGroup(view_update update, relay_group group)
{
    for (auto receiver = group.begin(); receiver != group.end(); ++receiver) {
        update.relayHosts.assign(receiver + 1, group.end());
        const bool confirmed = co_await m_transport.sendViewUpdate(*receiver, update);
        if (confirmed) {
            co_return;
        }
        log_line("news_not_confirmed")
            .add("host", *receiver)
            .add("config", update.changes.position.configVersion)
            .info();
    }
}

}
