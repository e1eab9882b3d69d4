#include "gateway/target.h"

#include <algorithm>

namespace foxtailturn::gateway {

std::string adapterName(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + "/" + adapter;
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
