#include "config/content.h"

#include <algorithm>
#include <tuple>

namespace foxtailturn {

std::string_view routeKindName(RouteKind kind)
{
    return kind == RouteKind::Model ? "model" : "service";
}

std::string_view priorityName(PriorityClass priority)
{
    return priority == PriorityClass::Chat ? "chat" : "batch";
}

void sortContent(ConfigurationContent &content)
{
    for (TargetGroup &group : content.targetGroups_)
        std::ranges::sort(group.baseModels_);
    for (Route &route : content.routes_)
        std::ranges::sort(route.methods_);
    for (AdapterVersion &adapter : content.adapters_)
        std::ranges::sort(adapter.owners_);
    std::ranges::sort(content.targetGroups_, {}, &TargetGroup::name_);
    std::ranges::sort(content.workspaces_, {}, &Workspace::id_);
    std::ranges::sort(content.keys_, {}, &Key::id_);
    std::ranges::sort(content.routes_, {}, &Route::id_);
    std::ranges::sort(content.adapters_, {}, [](const AdapterVersion &adapter) {
        return std::tie(adapter.adapter_, adapter.version_);
    });
}

} // namespace foxtailturn
