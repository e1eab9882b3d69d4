#include "agent/execution_table.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace foxtailturn {
namespace {

constexpr std::size_t kBudget = 100'000'000;

const ExecutionId kExecutionId{"r1", 1};

// Guards against running a request that was reported to its caller as not run.
TEST_CASE("an execution that was cancelled before it started is refused")
{
    ManualClock clock;
    memory::ByteBudget budget(kBudget);
    ExecutionTable table(clock, budget);
    CHECK(table.cancel(kExecutionId));
    CHECK(table.cancel(kExecutionId));
    CHECK(table.find(kExecutionId) == nullptr);
    clock.advance(std::chrono::minutes(4));
    CHECK(table.sweep().empty());
    const Result<StartedExecution> started = table.start(kExecutionId);
    REQUIRE(!started);
    CHECK(started.error().code_ == ErrorCode::Cancelled);
    CHECK(started.error().execution_ == Execution::NotRun);
    CHECK(table.start({"r1", 2}));
}

// Guards against a retransmitted Execute message that runs the request twice.
TEST_CASE("a repeated start returns the same answer")
{
    const ManualClock clock;
    memory::ByteBudget budget(kBudget);
    ExecutionTable table(clock, budget);
    const Result<StartedExecution> first = table.start(kExecutionId);
    const Result<StartedExecution> again = table.start(kExecutionId);
    const Result<StartedExecution> other = table.start({"r1", 2});
    REQUIRE(first);
    REQUIRE(again);
    REQUIRE(other);
    CHECK(first->isNew_);
    CHECK(!again->isNew_);
    CHECK(again->answer_ == first->answer_);
    CHECK(table.find(kExecutionId) == first->answer_);
    CHECK(other->isNew_);
    CHECK(other->answer_ != first->answer_);
    CHECK(table.runningCount() == 2);
}

// Guards against a cancelled run that is reported as never started.
TEST_CASE("cancel requests that a started execution stop")
{
    const ManualClock clock;
    memory::ByteBudget budget(kBudget);
    ExecutionTable table(clock, budget);
    const Result<StartedExecution> started = table.start(kExecutionId);
    REQUIRE(started);
    CHECK(!table.cancel(kExecutionId));
    CHECK(started->answer_->isCancelled());
}

// Guards against an execution that occupies the target after all of its readers disconnected.
TEST_CASE("sweep returns an execution without readers")
{
    ManualClock clock;
    memory::ByteBudget budget(kBudget);
    ExecutionTable table(clock, budget);
    const Result<StartedExecution> started = table.start(kExecutionId);
    REQUIRE(started);
    clock.advance(std::chrono::seconds(9));
    CHECK(table.sweep().empty());
    [[maybe_unused]] const AnswerChunk chunk = started->answer_->next(0, false, clock.now());
    clock.advance(std::chrono::seconds(9));
    CHECK(table.sweep().empty());
    clock.advance(std::chrono::seconds(1));
    CHECK(table.sweep() == std::vector<ExecutionId>{kExecutionId});
    CHECK(table.find(kExecutionId) != nullptr);
}

// Guards against memory that grows with each served request.
TEST_CASE("answers of ended executions are removed after the retention time")
{
    struct Case
    {
        std::string name_;
        void (*end_)(AnswerBuffer &answer);
    };
    const Case cases[] = {
        {"finished", [](AnswerBuffer &answer) { answer.finish(1); }},
        {"failed", [](AnswerBuffer &answer) { answer.fail({}); }},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        ManualClock clock;
        memory::ByteBudget budget(kBudget);
        ExecutionTable table(clock, budget);
        std::weak_ptr<AnswerBuffer> answer;
        {
            const Result<StartedExecution> started = table.start(kExecutionId);
            REQUIRE(started);
            answer = started->answer_;
            c.end_(*started->answer_);
        }
        CHECK(table.runningCount() == 0);
        CHECK(table.sweep().empty());
        clock.advance(std::chrono::seconds(9));
        CHECK(table.sweep().empty());
        CHECK(!answer.expired());
        clock.advance(std::chrono::seconds(1));
        CHECK(table.sweep().empty());
        CHECK(answer.expired());
    }
}

// Guards against records of cancelled ids that are never removed.
TEST_CASE("a cancel before the start expires after 5 minutes")
{
    ManualClock clock;
    memory::ByteBudget budget(kBudget);
    ExecutionTable table(clock, budget);
    CHECK(table.cancel(kExecutionId));
    clock.advance(std::chrono::minutes(5));
    CHECK(table.sweep().empty());
    CHECK(table.start(kExecutionId));
}

// Guards against a race in which both succeed: the execution is reported as never started, but
// runs.
TEST_CASE("of a concurrent start and cancel exactly one takes effect")
{
    const ManualClock clock;
    memory::ByteBudget budget(kBudget);
    ExecutionTable table(clock, budget);
    for (std::uint32_t attempt = 0; attempt < 200; ++attempt) {
        const ExecutionId id{"r", attempt};
        std::atomic<bool> go = false;
        bool isNew = false;
        std::thread starter([&] {
            while (!go) { }
            const Result<StartedExecution> started = table.start(id);
            isNew = started && started->isNew_;
        });
        go = true;
        const bool neverStarted = table.cancel(id);
        starter.join();
        CHECK(neverStarted != isNew);
    }
}

} // namespace
} // namespace foxtailturn
