#include "entry/agent_links.h"

#include <utility>

namespace foxtailturn {

AgentLinks::AgentLinks(TransportSecurity security)
    : security_(std::move(security))
{ }

std::shared_ptr<AgentLink> AgentLinks::get(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    std::shared_ptr<AgentLink> &link = links_[address];
    if (!link)
        link = std::make_shared<AgentLink>(address, security_);
    return link;
}

void AgentLinks::retainOnly(const std::set<std::string> &addresses)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(links_,
                  [&addresses](const auto &item) { return !addresses.contains(item.first); });
}

} // namespace foxtailturn
