#include "gateway/adapter_versions.h"

#include <algorithm>
#include <set>

namespace foxtailturn::gateway {

bool AdapterVersions::declare(const AdapterVersion &version, TimePoint now)
{
    std::vector<Declared> &declared = declared_[adapterName(version.model_, version.adapter_)];
    if (!declared.empty() && version.version_ <= declared.back().version_)
        return false;
    while (declared.size() > 1 && declared[1].requiredFrom_ <= now)
        declared.erase(declared.begin());
    declared.push_back({version.version_, now + kGrace});
    return true;
}

std::int64_t AdapterVersions::newest(const std::string &name) const
{
    const auto it = declared_.find(name);
    return it == declared_.end() ? 0 : it->second.back().version_;
}

std::int64_t AdapterVersions::minVersion(const std::string &name, TimePoint now) const
{
    const auto it = declared_.find(name);
    if (it == declared_.end())
        return 0;
    const auto required =
        std::find_if(it->second.rbegin(), it->second.rend(),
                     [now](const Declared &declared) { return declared.requiredFrom_ <= now; });
    return required == it->second.rend() ? 0 : required->version_;
}

std::vector<AdapterUpdate> AdapterVersions::dueUpdates(const std::vector<Target *> &targets,
                                                       TimePoint now) const
{
    std::vector<AdapterUpdate> updates;
    if (declared_.empty())
        return updates;
    struct Copy
    {
        std::int64_t version_;
        AdapterUpdate update_;
    };
    std::vector<Copy> outdated;
    std::set<std::string> inProgress; // names that are being loaded, or updated by this pass
    for (Target *target : targets) {
        if (!target->isAgentConnected_)
            continue;
        inProgress.insert(target->report_.loading_.begin(), target->report_.loading_.end());
        for (const HostedModel &model : target->hostedModels()) {
            for (const auto &[adapter, version] : model.adapters_) {
                const std::string name = adapterName(model.name_, adapter);
                if (!target->isSuperseded_ && version < newest(name) && !target->isLoading(name))
                    outdated.push_back({version, {target, model.name_, adapter}});
            }
        }
    }
    std::stable_sort(outdated.begin(), outdated.end(),
                     [](const Copy &a, const Copy &b) { return a.version_ < b.version_; });
    for (const Copy &copy : outdated) {
        const std::string name = adapterName(copy.update_.model_, copy.update_.adapter_);
        const bool isUsable = copy.version_ >= minVersion(name, now);
        const bool isOnlyOne = inProgress.insert(name).second;
        if (!isUsable || isOnlyOne)
            updates.push_back(copy.update_);
    }
    return updates;
}

} // namespace foxtailturn::gateway
