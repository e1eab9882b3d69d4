#pragma once

// Limits retries to a fraction of each workspace's recent requests, so that retries can't multiply
// the load when many requests fail at once.
//
//     budget.onRequest(workspace);      // each request once, when it is admitted
//     if (budget.tryRetry(workspace)) { /* send it again */ }

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace foxtailturn {

struct RetryBudgetLimits
{
    int percent_ = 20; // retries per 100 recent requests
    int floor_ = 3; // retries allowed per window regardless of traffic, for small workspaces
    Duration slot_ = std::chrono::seconds(1); // requests are counted in slots of this length
    Duration window_ = std::chrono::seconds(10); // a slot counts this long after its end

    bool operator==(const RetryBudgetLimits &) const = default;
};

// The retry budgets of all workspaces of one process, sharded by workspace. Thread-safe.
class RetryBudget
{
public:
    // The clock must outlive the budget.
    RetryBudget(const Clock &clock, const RetryBudgetLimits &limits);

    // Counts a request. Call it once per request, not for its retries. Thread-safe.
    void onRequest(const std::string &workspace);

    // Takes one retry from the budget. Returns false if the budget is exhausted. Thread-safe.
    [[nodiscard]] bool tryRetry(const std::string &workspace);

    // Returns the number of retries left in the budget. Thread-safe.
    [[nodiscard]] std::int64_t remaining(const std::string &workspace);

    // Returns the number of workspaces with a stored window. Expired windows are removed lazily.
    // Thread-safe.
    [[nodiscard]] std::size_t workspaceCount() const;

private:
    static constexpr std::size_t kShards = 16;

    struct Slot
    {
        TimePoint endsAt_;
        TimePoint expiresAt_;
        std::int64_t requests_ = 0;
        std::int64_t retries_ = 0;
    };

    struct Shard
    {
        mutable std::mutex mutex_;
        std::unordered_map<std::string, std::deque<Slot>> windows_;
        TimePoint nextPruneAt_;
    };

    [[nodiscard]] Shard &shardOf(const std::string &workspace);
    [[nodiscard]] std::int64_t remainingRetries(const std::deque<Slot> &window) const;
    void prune(Shard &shard, TimePoint now) const;
    std::deque<Slot> &currentWindow(Shard &shard, const std::string &workspace);

    const Clock &clock_;
    RetryBudgetLimits limits_;
    std::array<Shard, kShards> shards_;
};

} // namespace foxtailturn
