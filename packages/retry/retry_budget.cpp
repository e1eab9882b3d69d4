#include "retry/retry_budget.h"

#include "base/hash.h"

namespace foxtailturn {

RetryBudget::RetryBudget(const Clock &clock, const RetryBudgetLimits &limits)
    : clock_(clock)
    , limits_(limits)
{ }

RetryBudget::Shard &RetryBudget::shardOf(const std::string &workspace)
{
    return shards_[hash64(workspace) % kShards];
}

void RetryBudget::prune(Shard &shard, TimePoint now) const
{
    if (now < shard.nextPruneAt_)
        return;
    shard.nextPruneAt_ = now + limits_.window_;
    for (auto it = shard.windows_.begin(); it != shard.windows_.end();)
        it = it->second.back().expiresAt_ <= now ? shard.windows_.erase(it) : std::next(it);
}

std::deque<RetryBudget::Slot> &RetryBudget::currentWindow(Shard &shard,
                                                          const std::string &workspace)
{
    const TimePoint now = clock_.now();
    prune(shard, now);
    std::deque<Slot> &window = shard.windows_[workspace];
    while (!window.empty() && window.front().expiresAt_ <= now)
        window.pop_front();
    if (window.empty() || window.back().endsAt_ <= now) {
        const TimePoint endsAt = now + limits_.slot_;
        window.push_back({endsAt, endsAt + limits_.window_});
    }
    return window;
}

void RetryBudget::onRequest(const std::string &workspace)
{
    Shard &shard = shardOf(workspace);
    const std::lock_guard lock(shard.mutex_);
    ++currentWindow(shard, workspace).back().requests_;
}

bool RetryBudget::tryRetry(const std::string &workspace)
{
    Shard &shard = shardOf(workspace);
    const std::lock_guard lock(shard.mutex_);
    std::deque<Slot> &window = currentWindow(shard, workspace);
    if (remainingRetries(window) == 0)
        return false;
    ++window.back().retries_;
    return true;
}

std::int64_t RetryBudget::remaining(const std::string &workspace)
{
    Shard &shard = shardOf(workspace);
    const std::lock_guard lock(shard.mutex_);
    return remainingRetries(currentWindow(shard, workspace));
}

std::int64_t RetryBudget::remainingRetries(const std::deque<Slot> &window) const
{
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const Slot &slot : window) {
        requests += slot.requests_;
        retries += slot.retries_;
    }
    return std::max<std::int64_t>(limits_.floor_ + requests * limits_.percent_ / 100 - retries, 0);
}

std::size_t RetryBudget::workspaceCount() const
{
    std::size_t count = 0;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex_);
        count += shard.windows_.size();
    }
    return count;
}

} // namespace foxtailturn
