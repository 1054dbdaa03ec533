#include "viewupdaterelay.h"

#include "cardamomdeck/http/tasks.h"

namespace cardamomdeck {

namespace asio = boost::asio;

view_update_relay::view_update_relay(asio::io_context &context, update_sender send)
    : m_context(context)
    , m_send(std::move(send))
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
        const update_delivery delivery = co_await m_send(*receiver, update);
        // A busy entry relays the update too. Replacing it while all are busy multiplies the messages at each level of
        // the tree.
        if (delivery != update_delivery::unreachable) {
            co_return;
        }
    }
}

}
