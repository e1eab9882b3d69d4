#pragma once

// Choice of the adapter to load next for the requests that wait.
//
//     LoadScheduler loads;
//     std::optional<AdapterId> next = loads.choose(queue, mayLoad);
//     if (next) { ... order the load ...; loads.loadStarted(*next, queue); }
//
// Adapters that chat waits for go first; after kMaxChatInRow such loads in a row while another
// adapter has only batch requests waiting, that one is next. Then the workspace that got the
// fewest loads over its weight goes first; then the adapter with most requests waiting. All
// requests of an adapter wait for one load together, and their workspaces share its charge.

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
    std::unordered_map<std::string, double> charges_; // by workspace, loads over weight
    int chatInRow_ = 0;
};

} // namespace foxtailturn
