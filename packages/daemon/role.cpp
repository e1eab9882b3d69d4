#include "daemon/role.h"

#include "daemon/agent_role.h"
#include "daemon/entry_role.h"

namespace foxtailturn {

std::unique_ptr<DaemonRole> makeRole(const Settings &settings)
{
    if (settings.role_ == Role::Entry)
        return std::make_unique<EntryRole>(settings);
    return std::make_unique<AgentRole>(settings);
}

} // namespace foxtailturn
