#include "agent/execution_table.h"

#include "base/hash.h"

namespace foxtailturn {

namespace {

// An entry resumes a broken stream within 4 s or gives up, so later no one requests the answer.
constexpr auto kKeepEnded = std::chrono::seconds(10);
constexpr auto kAbandonedAfter = std::chrono::seconds(10);
// Longer than an Execute message can be delayed: the connection of its sender ends before.
constexpr auto kKeepCancelled = std::chrono::minutes(5);

} // namespace

ExecutionTable::ExecutionTable(const Clock &clock)
    : clock_(&clock)
{ }

ExecutionTable::Shard &ExecutionTable::shardOf(const ExecutionId &id)
{
    return shards_[hash64(id.requestId_) % kShardCount];
}

Result<StartedExecution> ExecutionTable::start(const ExecutionId &id)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex_);
    const auto it = shard.entries_.find(id);
    if (it == shard.entries_.end()) {
        auto answer = std::make_shared<AnswerBuffer>(*clock_);
        shard.entries_[id].answer_ = answer;
        return StartedExecution{std::move(answer), true};
    }
    if (!it->second.answer_)
        return notRun(ErrorCode::Cancelled, "request was cancelled before it started");
    return StartedExecution{it->second.answer_, false};
}

std::shared_ptr<AnswerBuffer> ExecutionTable::find(const ExecutionId &id)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex_);
    const auto it = shard.entries_.find(id);
    return it == shard.entries_.end() ? nullptr : it->second.answer_;
}

bool ExecutionTable::cancel(const ExecutionId &id)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex_);
    const auto [it, isNew] = shard.entries_.try_emplace(id);
    if (isNew)
        it->second.forgetAt_ = clock_->now() + kKeepCancelled;
    if (it->second.answer_)
        it->second.answer_->cancel();
    return !it->second.answer_;
}

std::vector<ExecutionId> ExecutionTable::sweep()
{
    std::vector<ExecutionId> abandoned;
    const TimePoint now = clock_->now();
    for (Shard &shard : shards_)
        sweepShard(shard, now, abandoned);
    return abandoned;
}

void ExecutionTable::sweepShard(Shard &shard, TimePoint now, std::vector<ExecutionId> &abandoned)
{
    const std::lock_guard lock(shard.mutex_);
    for (auto it = shard.entries_.begin(); it != shard.entries_.end();) {
        Entry &entry = it->second;
        if (now >= entry.forgetAt_) {
            it = shard.entries_.erase(it);
            continue;
        }
        const bool isEnded = !entry.answer_ || entry.answer_->isEnded();
        if (isEnded && entry.forgetAt_ == TimePoint::max())
            entry.forgetAt_ = now + kKeepEnded;
        if (!isEnded && now - entry.answer_->lastReadAt() >= kAbandonedAfter)
            abandoned.push_back(it->first);
        ++it;
    }
}

std::size_t ExecutionTable::runningCount() const
{
    std::size_t count = 0;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex_);
        for (const auto &[id, entry] : shard.entries_) {
            if (entry.answer_ && !entry.answer_->isEnded())
                ++count;
        }
    }
    return count;
}

} // namespace foxtailturn
