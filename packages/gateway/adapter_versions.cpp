#include "gateway/adapter_versions.h"

#include <set>

namespace foxtailturn::gateway {

bool AdapterVersions::declare(const AdapterVersion &version, TimePoint requiredFrom)
{
    Declared &declared = declared_[adapterName(version.model_, version.adapter_)];
    if (version.version_ <= declared.version_)
        return false;
    declared = {version.version_, requiredFrom};
    return true;
}

std::int64_t AdapterVersions::newest(const std::string &name) const
{
    const auto it = declared_.find(name);
    return it == declared_.end() ? 0 : it->second.version_;
}

std::int64_t AdapterVersions::minVersion(const std::string &name, TimePoint now) const
{
    const auto it = declared_.find(name);
    return it == declared_.end() || now < it->second.requiredFrom_ ? 0 : it->second.version_;
}

std::vector<AdapterUpdate> AdapterVersions::dueUpdates(const std::vector<Target *> &targets,
                                                       TimePoint now) const
{
    std::vector<AdapterUpdate> updates;
    if (declared_.empty())
        return updates;
    std::set<std::string> inProgress; // names that are being loaded, or updated by this pass
    for (const Target *target : targets) {
        if (target->isAgentConnected_)
            inProgress.insert(target->report_.loading_.begin(), target->report_.loading_.end());
    }
    for (Target *target : targets) {
        if (!target->isAgentConnected_ || target->isSuperseded_)
            continue;
        for (const HostedModel &model : target->hostedModels()) {
            for (const auto &[adapter, version] : model.adapters_) {
                const std::string name = adapterName(model.name_, adapter);
                if (version >= newest(name) || target->isLoading(name))
                    continue;
                const bool isUsable = version >= minVersion(name, now);
                if (isUsable && !inProgress.insert(name).second)
                    continue;
                updates.push_back({target, model.name_, adapter});
            }
        }
    }
    return updates;
}

} // namespace foxtailturn::gateway
