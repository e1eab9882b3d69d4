#include "gateway/target.h"

#include <algorithm>
#include <iterator>

namespace foxtailturn::gateway {

namespace {

// Version of each model and adapter in a report, or kLoading.
using ReportedVersions = std::map<std::string, std::int64_t>;
constexpr std::int64_t kLoading = -1;

ReportedVersions reportedVersionsOf(const EngineReport &report)
{
    ReportedVersions versions;
    for (const HostedModel &model : report.models_) {
        versions[model.name_] = 0;
        for (const auto &[adapter, version] : model.adapters_)
            versions[adapterName(model.name_, adapter)] = version;
    }
    for (const std::string &name : report.loading_)
        versions[name] = kLoading;
    return versions;
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
    const ReportedVersions previous = reportedVersionsOf(before);
    const ReportedVersions current = reportedVersionsOf(after);
    std::vector<ReportedVersions::value_type> changed;
    std::set_symmetric_difference(previous.begin(), previous.end(), current.begin(), current.end(),
                                  std::back_inserter(changed));
    for (const auto &[name, version] : changed)
        names.insert(name);
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
