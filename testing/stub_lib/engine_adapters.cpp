#include "stub_lib/engine_adapters.h"

namespace foxtailturn {

SlotOutcome AdapterSlots::beginLoad(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    if (byName_.contains(name))
        return SlotOutcome::AlreadyLoaded;
    if (byName_.size() >= slots_)
        return SlotOutcome::NoFreeSlot;
    byName_.emplace(name, Slot{});
    return SlotOutcome::Done;
}

void AdapterSlots::finishLoad(const std::string &name, bool isLoaded)
{
    const std::lock_guard lock(mutex_);
    if (isLoaded)
        byName_[name].isLoaded_ = true;
    else
        byName_.erase(name);
}

SlotOutcome AdapterSlots::unload(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto it = byName_.find(name);
    if (it == byName_.end() || !it->second.isLoaded_)
        return SlotOutcome::NotLoaded;
    if (it->second.uses_ > 0)
        return SlotOutcome::InUse;
    byName_.erase(it);
    return SlotOutcome::Done;
}

bool AdapterSlots::pin(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto it = byName_.find(name);
    if (it == byName_.end() || !it->second.isLoaded_)
        return false;
    ++it->second.uses_;
    return true;
}

void AdapterSlots::unpin(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    --byName_.at(name).uses_;
}

std::map<std::string, int> AdapterSlots::loaded() const
{
    std::map<std::string, int> uses;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, slot] : byName_) {
        if (slot.isLoaded_)
            uses.emplace(name, slot.uses_);
    }
    return uses;
}

} // namespace foxtailturn
