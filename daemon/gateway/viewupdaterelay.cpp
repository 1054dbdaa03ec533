#include "viewupdaterelay.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"

namespace cardamomdeck {

namespace asio = boost::asio;

view_update_relay::view_update_relay(asio::io_context &context, peer_transport &link)
    : m_context(context)
    , m_transport(link)
{
}

void view_update_relay::broadcast(const view_update &push, const std::vector<relay_group> &groups)
{
    for (const relay_group &group : groups) {
        startTask(m_context, "news", [this, push, group] { return sendToGroup(push, group); });
    }
}

asio::awaitable<void> view_update_relay::sendToGroup(view_update push, relay_group group)
{
    for (auto receiver = group.begin(); receiver != group.end(); ++receiver) {
        push.relayHosts.assign(receiver + 1, group.end());
        const bool confirmed = co_await m_transport.sendViewUpdate(*receiver, push);
        if (confirmed) {
            co_return;
        }
        log_line("news_not_confirmed").add("host", *receiver).add("config", push.changes.position.configVersion).info();
    }
}

}
