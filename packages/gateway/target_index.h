#pragma once

// Targets by one of their attributes, such as their address.
//
//     TargetIndex byAddress;
//     byAddress.add(target.record_.address_, target);
//     for (Target *target : byAddress.at("10.0.0.1:80")) { ... }

#include <string>
#include <unordered_map>

#include "gateway/target.h"

namespace foxtailturn::gateway {

// Not thread-safe. Targets must be removed before they are destroyed.
class TargetIndex
{
public:
    void add(const std::string &key, Target &target) { targets_[key].insert(&target); }

    void remove(const std::string &key, Target &target)
    {
        const auto it = targets_.find(key);
        if (it == targets_.end())
            return;
        it->second.erase(&target);
        if (it->second.empty())
            targets_.erase(it);
    }

    // Returns the targets with this key, in the order of their instances. The reference is valid
    // until the next change of the index.
    [[nodiscard]] const TargetSet &at(const std::string &key) const
    {
        static const TargetSet kNone;
        const auto it = targets_.find(key);
        return it == targets_.end() ? kNone : it->second;
    }

private:
    std::unordered_map<std::string, TargetSet> targets_; // no set is empty
};

} // namespace foxtailturn::gateway
