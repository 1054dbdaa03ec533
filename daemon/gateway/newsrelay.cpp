#include "newsrelay.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"

namespace cardamomdeck {

namespace asio = boost::asio;

news_relay::news_relay(asio::io_context &context, peer_link &link)
    : m_context(context)
    , m_link(link)
{
}

void news_relay::spread(const view_push &push, const std::vector<relay_group> &groups)
{
    for (const relay_group &group : groups) {
        startTask(m_context, "news", [this, push, group] { return handTo(push, group); });
    }
}

asio::awaitable<void> news_relay::handTo(view_push push, relay_group group)
{
    for (auto receiver = group.begin(); receiver != group.end(); ++receiver) {
        push.hosts.assign(receiver + 1, group.end());
        const bool confirmed = co_await m_link.push(*receiver, push);
        if (confirmed) {
            co_return;
        }
        log_line("news_not_confirmed").add("host", *receiver).add("config", push.news.position.configVersion).info();
    }
}

}
