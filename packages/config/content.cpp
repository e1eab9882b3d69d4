#include "config/content.h"

namespace foxtailturn {

std::string_view routeKindName(RouteKind kind)
{
    return kind == RouteKind::Model ? "model" : "service";
}

std::string_view priorityName(PriorityClass priority)
{
    return priority == PriorityClass::Chat ? "chat" : "batch";
}

} // namespace foxtailturn
