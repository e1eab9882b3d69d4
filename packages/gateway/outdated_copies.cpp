#include "gateway/outdated_copies.h"

#include <algorithm>
#include <tuple>

namespace foxtailturn::gateway {

bool OutdatedCopies::Copy::operator<(const Copy &other) const
{
    return std::tie(version_, target_->record_.instance_)
        < std::tie(other.version_, other.target_->record_.instance_);
}

OutdatedCopies::OutdatedCopies(AdapterHosts &hosts, const AdapterVersions &versions)
    : hosts_(hosts)
    , versions_(versions)
{
    hosts.setObserver(
        [this](const std::string &name, Target &target, const AdapterHost *before,
               const AdapterHost *after) { onHostChanged(name, target, before, after); });
}

bool OutdatedCopies::isOutdated(const std::string &name, const AdapterHost &host) const
{
    return host.isUsable() && host.isAgentConnected_ && !host.isSuperseded_ && !host.isEvacuated_
        && *host.version_ < versions_.newest(name);
}

void OutdatedCopies::onHostChanged(const std::string &name, Target &target,
                                   const AdapterHost *before, const AdapterHost *after)
{
    const auto isLoad = [](const AdapterHost *host) {
        return host != nullptr && host->isLoading_ && host->isAgentConnected_;
    };
    const bool isNowOutdated = after != nullptr && isOutdated(name, *after);
    const int loads = static_cast<int>(isLoad(after)) - static_cast<int>(isLoad(before));
    auto it = adapters_.find(name);
    if (it == adapters_.end()) {
        if (!isNowOutdated && loads == 0)
            return;
        it = adapters_.try_emplace(name).first;
    }
    ++visits_;
    Adapter &adapter = it->second;
    adapter.loads_ += loads;
    if (before != nullptr && before->version_)
        adapter.outdated_.erase({*before->version_, &target});
    if (isNowOutdated)
        adapter.outdated_.insert({*after->version_, &target});
    if (adapter.outdated_.empty() && adapter.loads_ == 0)
        adapters_.erase(it);
}

void OutdatedCopies::onDeclared(const std::string &name)
{
    for (const auto &[target, host] : hosts_.hostsOf(name)) {
        ++visits_;
        if (isOutdated(name, host))
            adapters_[name].outdated_.insert({*host.version_, target});
    }
}

bool OutdatedCopies::isDue(const Adapter &adapter, const Copy &copy, std::int64_t minVersion) const
{
    ++visits_;
    if (copy.version_ < minVersion)
        return true;
    const Copy &oldest = *adapter.outdated_.begin();
    return adapter.loads_ == 0 && copy.target_ == oldest.target_;
}

std::vector<AdapterUpdate> OutdatedCopies::dueUpdates(TimePoint now) const
{
    std::vector<Due> due;
    for (const auto &[name, adapter] : adapters_) {
        const std::int64_t minVersion = versions_.minVersion(name, now);
        for (const Copy &copy : adapter.outdated_) {
            if (!isDue(adapter, copy, minVersion))
                break; // the others are newer
            due.push_back({copy, &name});
        }
    }
    return updatesOf(std::move(due));
}

std::vector<AdapterUpdate> OutdatedCopies::dueUpdatesAfter(const AdapterChanges &changes,
                                                           TimePoint now) const
{
    std::vector<Due> due;
    for (const std::string &name : changes.names_) {
        const auto it = adapters_.find(name);
        if (it == adapters_.end() || it->second.outdated_.empty())
            continue;
        const Adapter &adapter = it->second;
        const std::int64_t minVersion = versions_.minVersion(name, now);
        const Copy &oldest = *adapter.outdated_.begin();
        if (isDue(adapter, oldest, minVersion))
            due.push_back({oldest, &name});
        const auto &entries = hosts_.hostsOf(name);
        const auto own = entries.find(changes.target_);
        if (own == entries.end() || changes.target_ == oldest.target_
            || !isOutdated(name, own->second))
            continue;
        const Copy copy{*own->second.version_, changes.target_};
        if (isDue(adapter, copy, minVersion))
            due.push_back({copy, &name});
    }
    return updatesOf(std::move(due));
}

std::vector<AdapterUpdate> OutdatedCopies::updatesOf(std::vector<Due> due)
{
    std::stable_sort(due.begin(), due.end(),
                     [](const Due &a, const Due &b) { return a.copy_ < b.copy_; });
    std::vector<AdapterUpdate> updates;
    updates.reserve(due.size());
    for (const Due &update : due) {
        const std::string &name = *update.name_;
        const std::size_t slash = std::min(name.find('/'), name.size());
        updates.push_back({update.copy_.target_, name.substr(0, slash),
                           name.substr(std::min(slash + 1, name.size()))});
    }
    return updates;
}

} // namespace foxtailturn::gateway
