#include "gateway/adapter_versions.h"

#include <algorithm>

#include "gateway/target.h"

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

} // namespace foxtailturn::gateway
