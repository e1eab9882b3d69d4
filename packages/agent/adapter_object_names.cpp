#include "agent/adapter_object_names.h"

namespace foxtailturn {

void AdapterObjectNames::set(const AdapterId &adapter, const std::string &object)
{
    const std::lock_guard lock(mutex_);
    objects_[adapter] = object;
}

std::string AdapterObjectNames::objectNameOf(const AdapterId &adapter) const
{
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find(adapter);
    return it == objects_.end() ? std::string() : it->second;
}

} // namespace foxtailturn
