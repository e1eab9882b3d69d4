#pragma once

// Chooses the adapter to load next for the waiting requests.
//
//     LoadScheduler loads;
//     std::optional<AdapterId> next = loads.choose(queue, mayLoad);
//     if (next) { ... order the load ...; loads.loadStarted(*next, queue); }
//
// Adapters with waiting chat requests go first. After kMaxConsecutiveChat such loads in a row while
// batch requests wait for other adapters, an adapter with only batch requests goes next. Within a
// class, the adapter goes first that is wanted by the workspace with the lowest charge (loads
// divided by weight), then the one with the most waiting requests. One load serves all waiting
// requests of an adapter, so its charge is divided among their workspaces.

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "adapters/fair_queue.h"

namespace foxtailturn {

// Not thread-safe.
class LoadScheduler
{
public:
    // Returns the adapter to load next among those that waiting requests name and mayLoad allows;
    // nullopt if there is none.
    [[nodiscard]] std::optional<AdapterId>
    choose(const FairQueue &queue, const std::function<bool(const AdapterId &)> &mayLoad) const;

    // Charges a started load to the workspaces that wait for it.
    void loadStarted(const AdapterId &adapter, const FairQueue &queue);

private:
    [[nodiscard]] double charge(const std::string &workspace) const;

    double virtualTime_ = 0;
    std::unordered_map<std::string, double> charges_; // by workspace, loads divided by weight
    int consecutiveChat_ = 0;
};

} // namespace foxtailturn
