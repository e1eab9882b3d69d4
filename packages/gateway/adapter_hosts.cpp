#include "gateway/adapter_hosts.h"

#include <utility>

namespace foxtailturn::gateway {

AdapterHosts::Entries AdapterHosts::entriesOf(const Target &target)
{
    AdapterHost absent;
    absent.isAgentConnected_ = target.isAgentConnected_;
    absent.isSuperseded_ = target.isSuperseded_;
    absent.isEvacuated_ = target.isEvacuated_;
    Entries entries;
    const auto entry = [&](const std::string &name) -> AdapterHost & {
        return entries.try_emplace(name, absent).first->second;
    };
    for (const HostedModel &model : target.hostedModels()) {
        entry(model.name_).version_ = 0;
        for (const auto &[adapter, version] : model.adapters_)
            entry(adapterName(model.name_, adapter)).version_ = version;
    }
    for (const std::string &name : target.report_.loading_)
        entry(name).isLoading_ = true;
    for (const auto &[name, load] : target.requestedLoads_)
        entry(name).isRequested_ = true;
    return entries;
}

void AdapterHosts::update(Target &target)
{
    if (target.hasReport() && target.report_.models_.empty())
        withoutModel_.insert(&target);
    else
        withoutModel_.erase(&target);
    replace(target, entriesOf(target));
}

void AdapterHosts::remove(Target &target)
{
    withoutModel_.erase(&target);
    replace(target, {});
    entries_.erase(&target);
}

void AdapterHosts::replace(Target &target, Entries entries)
{
    Entries &current = entries_[&target];
    const Entries previous = std::exchange(current, std::move(entries));
    for (const auto &[name, before] : previous) {
        if (!current.contains(name))
            set(name, target, &before, nullptr);
    }
    for (const auto &[name, after] : current) {
        const auto before = previous.find(name);
        set(name, target, before == previous.end() ? nullptr : &before->second, &after);
    }
}

void AdapterHosts::set(const std::string &name, Target &target, const AdapterHost *before,
                       const AdapterHost *after)
{
    ++visits_;
    if (before != nullptr && after != nullptr && *before == *after)
        return;
    if (after != nullptr) {
        hosts_[name][&target] = *after;
    } else if (const auto it = hosts_.find(name); it != hosts_.end()) {
        it->second.erase(&target);
        if (it->second.empty())
            hosts_.erase(it);
    }
    if (observer_)
        observer_(name, target, before, after);
}

const AdapterHosts::Hosts &AdapterHosts::hostsOf(const std::string &name) const
{
    static const Hosts kNone;
    const auto it = hosts_.find(name);
    return it == hosts_.end() ? kNone : it->second;
}

} // namespace foxtailturn::gateway
