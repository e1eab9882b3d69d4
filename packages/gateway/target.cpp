#include "gateway/target.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using Adapters = std::map<std::string, std::int64_t>; // version by adapter

const Adapters *adaptersOf(const EngineReport &report, const std::string &model)
{
    const auto it = std::find_if(report.models_.begin(), report.models_.end(),
                                 [&model](const HostedModel &m) { return m.name_ == model; });
    return it == report.models_.end() ? nullptr : &it->adapters_;
}

bool isIn(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Adds the names of a model's adapters whose versions differ. Both maps are in the same order, so
// that what is equal costs a comparison and no copy.
void addChangedAdapters(const std::string &model, const Adapters &before, const Adapters &after,
                        std::set<std::string> &names)
{
    auto old = before.begin();
    auto current = after.begin();
    while (old != before.end() || current != after.end()) {
        if (current == after.end() || (old != before.end() && old->first < current->first)) {
            names.insert(adapterName(model, old->first));
            ++old;
        } else if (old == before.end() || current->first < old->first) {
            names.insert(adapterName(model, current->first));
            ++current;
        } else {
            if (old->second != current->second)
                names.insert(adapterName(model, old->first));
            ++old;
            ++current;
        }
    }
}

// Adds the names of the models of one report, and of their adapters, that differ in the other.
void addChangedModels(const EngineReport &report, const EngineReport &other,
                      std::set<std::string> &names)
{
    static const Adapters kNone;
    for (const HostedModel &model : report.models_) {
        const Adapters *adapters = adaptersOf(other, model.name_);
        if (adapters == nullptr)
            names.insert(model.name_);
        addChangedAdapters(model.name_, model.adapters_, adapters == nullptr ? kNone : *adapters,
                           names);
    }
}

} // namespace

std::string adapterName(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + "/" + adapter;
}

std::set<std::string> changedNames(const EngineReport &before, const EngineReport &after)
{
    std::set<std::string> names;
    if (before.models_ == after.models_ && before.loading_ == after.loading_)
        return names;
    addChangedModels(before, after, names);
    addChangedModels(after, before, names);
    // What is being loaded has no version.
    std::erase_if(names, [&](const std::string &name) {
        return isIn(before.loading_, name) && isIn(after.loading_, name);
    });
    for (const std::string &name : before.loading_) {
        if (!isIn(after.loading_, name))
            names.insert(name);
    }
    for (const std::string &name : after.loading_) {
        if (!isIn(before.loading_, name))
            names.insert(name);
    }
    return names;
}

std::optional<std::int64_t> Target::versionOf(const std::string &model,
                                              const std::string &adapter) const
{
    for (const HostedModel &hosted : hostedModels()) {
        if (hosted.name_ != model)
            continue;
        if (adapter.empty())
            return 0;
        const auto it = hosted.adapters_.find(adapter);
        if (it != hosted.adapters_.end() && !isLoading(adapterName(model, adapter)))
            return it->second;
    }
    return std::nullopt;
}

bool Target::hostsModel(const std::string &model) const
{
    return versionOf(model, "").has_value();
}

bool Target::isLoading(const std::string &name) const
{
    return std::find(report_.loading_.begin(), report_.loading_.end(), name)
        != report_.loading_.end();
}

} // namespace foxtailturn::gateway
