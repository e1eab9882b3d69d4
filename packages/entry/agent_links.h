#pragma once

// The connections of an entry to all agents, by address.

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "entry/agent_link.h"

namespace foxtailturn {

// Thread-safe.
class AgentLinks
{
public:
    explicit AgentLinks(TransportSecurity security);

    // Returns the link to an address; opens one when there is none. Thread-safe.
    [[nodiscard]] std::shared_ptr<AgentLink> get(const std::string &address);

    // Removes links to addresses that are not in `addresses`; calls in flight on them continue.
    // Thread-safe.
    void retainOnly(const std::set<std::string> &addresses);

private:
    TransportSecurity security_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<AgentLink>> links_;
};

} // namespace foxtailturn
