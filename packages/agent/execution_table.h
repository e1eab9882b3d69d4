#pragma once

// Table of the executions of one agent, by request id and attempt number.
//
//     Result<StartedExecution> started = table.start({"r1", 1});
//     if (started && started->isNew_) run(started->answer_);
//
// An execution is retained for some time after its end, so that a broken stream can resume.

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
    bool isNew_ = false; // false if the execution had been started before
};

// Thread-safe. Executions are distributed over shards, each with its own lock.
class ExecutionTable
{
public:
    // Clock and budget must outlive the table. answers: of the data that all answers keep.
    ExecutionTable(const Clock &clock, memory::ByteBudget &answers);

    // Adds an execution, or returns the existing one if it was started before. Error: Cancelled
    // (NotRun) if the id was cancelled before it started. Thread-safe.
    [[nodiscard]] Result<StartedExecution> start(const ExecutionId &id);

    // Returns the answer of an execution, null if it is unknown or never started. Thread-safe.
    [[nodiscard]] std::shared_ptr<AnswerBuffer> find(const ExecutionId &id);

    // Requests that an execution stop. Returns true if it never started; start() then rejects its
    // id for 5 minutes. Thread-safe.
    bool cancel(const ExecutionId &id);

    // Removes executions whose retention time has passed. Returns the running executions that no
    // stream has read for 10 s, for the caller to cancel. Called by a controller. Thread-safe.
    std::vector<ExecutionId> sweep();

    // Returns the number of executions that have not ended. Thread-safe.
    [[nodiscard]] std::size_t runningCount() const;

private:
    struct Record
    {
        std::shared_ptr<AnswerBuffer> answer_; // null if cancelled before it started
        TimePoint expiresAt_ = TimePoint::max(); // set by the first sweep after the execution ended
    };
    struct Shard
    {
        mutable std::mutex mutex_;
        std::map<ExecutionId, Record> records_;
    };

    static constexpr std::size_t kShardCount = 16;

    [[nodiscard]] Shard &shardOf(const ExecutionId &id);
    void sweepShard(Shard &shard, TimePoint now, std::vector<ExecutionId> &abandoned);

    const Clock *clock_;
    memory::ByteBudget *answers_;
    std::array<Shard, kShardCount> shards_;
};

} // namespace foxtailturn
