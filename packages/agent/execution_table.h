#pragma once

// The executions of one agent by request id and attempt number.
//
//     Result<StartedExecution> started = table.start({"r1", 1});
//     if (started && started->isNew_) run(started->answer_);
//
// An execution stays for a while after its end, so that a broken stream can still resume.

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "agent/answer_buffer.h"
#include "base/error.h"

namespace foxtailturn {

struct ExecutionId
{
    std::string requestId_;
    std::uint32_t attempt_ = 0;

    auto operator<=>(const ExecutionId &) const = default; // NOLINT(modernize-use-nullptr)
};

struct StartedExecution
{
    std::shared_ptr<AnswerBuffer> answer_;
    bool isNew_ = false; // false: the same execution had been started before
};

// Thread-safe; state is in shards, each under its own lock.
class ExecutionTable
{
public:
    // clock must outlive the table.
    explicit ExecutionTable(const Clock &clock);

    // Starts an execution, or finds it when it was started before. Error: Cancelled (NotRun) when
    // the id was cancelled before it started. Thread-safe.
    [[nodiscard]] Result<StartedExecution> start(const ExecutionId &id);

    // Returns the answer of a known execution, else null. Thread-safe.
    [[nodiscard]] std::shared_ptr<AnswerBuffer> find(const ExecutionId &id);

    // Asks an execution to stop. Returns true when it never started; it is refused from then on.
    // Thread-safe.
    bool cancel(const ExecutionId &id);

    // Forgets executions that ended long ago and returns those that nobody reads any more, for the
    // caller to cancel. Called by a controller. Thread-safe.
    std::vector<ExecutionId> sweep();

    // Returns the number of executions that have not ended. Thread-safe.
    [[nodiscard]] std::size_t runningCount() const;

private:
    struct Entry
    {
        std::shared_ptr<AnswerBuffer> answer_; // null: cancelled before it started
        TimePoint forgetAt_ = TimePoint::max(); // set at the end of the execution
    };
    struct Shard
    {
        mutable std::mutex mutex_;
        std::map<ExecutionId, Entry> entries_;
    };

    static constexpr std::size_t kShardCount = 16;

    [[nodiscard]] Shard &shardOf(const ExecutionId &id);
    void sweepShard(Shard &shard, TimePoint now, std::vector<ExecutionId> &abandoned);

    const Clock *clock_;
    std::array<Shard, kShardCount> shards_;
};

} // namespace foxtailturn
