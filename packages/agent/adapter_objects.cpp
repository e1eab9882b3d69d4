#include "agent/adapter_objects.h"

namespace foxtailturn {

void AdapterObjects::set(const AdapterId &adapter, const std::string &object)
{
    const std::lock_guard lock(mutex_);
    objects_[adapter] = object;
}

std::string AdapterObjects::objectOf(const AdapterId &adapter) const
{
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find(adapter);
    return it == objects_.end() ? std::string() : it->second;
}

} // namespace foxtailturn
