#include "agent/execution_table.h"

#include "base/hash.h"

namespace foxtailturn {

namespace {

// An entry resumes a broken stream within 4 s or gives up, so later no one requests the answer.
constexpr auto kEndedRetention = std::chrono::seconds(10);
constexpr auto kReaderTimeout = std::chrono::seconds(10);
// Longer than an Execute message can be delayed: the connection of its sender ends before.
constexpr auto kCancelledRetention = std::chrono::minutes(5);

} // namespace

ExecutionTable::ExecutionTable(const Clock &clock, memory::ByteBudget &answers)
    : clock_(&clock)
    , answers_(&answers)
{ }

ExecutionTable::Shard &ExecutionTable::shardOf(const ExecutionId &id)
{
    return shards_[hash64(id.requestId_) % kShardCount];
}

Result<StartedExecution> ExecutionTable::start(const ExecutionId &id)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex_);
    const auto it = shard.records_.find(id);
    if (it == shard.records_.end()) {
        auto answer = std::make_shared<AnswerBuffer>(*clock_, *answers_);
        shard.records_[id].answer_ = answer;
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
    const auto it = shard.records_.find(id);
    return it == shard.records_.end() ? nullptr : it->second.answer_;
}

bool ExecutionTable::cancel(const ExecutionId &id)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex_);
    const auto [it, isNew] = shard.records_.try_emplace(id);
    if (isNew)
        it->second.expiresAt_ = clock_->now() + kCancelledRetention;
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
    for (auto it = shard.records_.begin(); it != shard.records_.end();) {
        Record &record = it->second;
        if (now >= record.expiresAt_) {
            it = shard.records_.erase(it);
            continue;
        }
        const bool isEnded = !record.answer_ || record.answer_->isEnded();
        if (isEnded && record.expiresAt_ == TimePoint::max())
            record.expiresAt_ = now + kEndedRetention;
        if (!isEnded && now - record.answer_->lastReadAt() >= kReaderTimeout)
            abandoned.push_back(it->first);
        ++it;
    }
}

std::size_t ExecutionTable::runningCount() const
{
    std::size_t count = 0;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex_);
        for (const auto &[id, record] : shard.records_) {
            if (record.answer_ && !record.answer_->isEnded())
                ++count;
        }
    }
    return count;
}

} // namespace foxtailturn
