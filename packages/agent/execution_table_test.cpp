#include "agent/execution_table.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace foxtailturn {
namespace {

const ExecutionId kFirst{"r1", 1};

// Guards against work that runs after its caller was told that it did not.
TEST_CASE("an execution that was cancelled before it started is refused")
{
    ManualClock clock;
    ExecutionTable table(clock);
    CHECK(table.cancel(kFirst));
    CHECK(table.cancel(kFirst));
    CHECK(table.find(kFirst) == nullptr);
    clock.advance(std::chrono::minutes(4));
    CHECK(table.sweep().empty());
    const Result<StartedExecution> started = table.start(kFirst);
    REQUIRE(!started);
    CHECK(started.error().code_ == ErrorCode::Cancelled);
    CHECK(started.error().execution_ == Execution::NotRun);
    CHECK(table.start({"r1", 2}));
}

// Guards against a resent Execute message that runs the request twice.
TEST_CASE("a repeated start finds the same answer")
{
    const ManualClock clock;
    ExecutionTable table(clock);
    const Result<StartedExecution> first = table.start(kFirst);
    const Result<StartedExecution> again = table.start(kFirst);
    const Result<StartedExecution> other = table.start({"r1", 2});
    REQUIRE(first);
    REQUIRE(again);
    REQUIRE(other);
    CHECK(first->isNew_);
    CHECK(!again->isNew_);
    CHECK(again->answer_ == first->answer_);
    CHECK(table.find(kFirst) == first->answer_);
    CHECK(other->isNew_);
    CHECK(other->answer_ != first->answer_);
    CHECK(table.runningCount() == 2);
}

// Guards against a cancelled run that is reported as never started.
TEST_CASE("cancel asks a started execution to stop")
{
    const ManualClock clock;
    ExecutionTable table(clock);
    const Result<StartedExecution> started = table.start(kFirst);
    REQUIRE(started);
    CHECK(!table.cancel(kFirst));
    CHECK(started->answer_->isCancelled());
}

// Guards against an execution that holds the target after all its readers went away.
TEST_CASE("sweep finds an execution that nobody reads")
{
    ManualClock clock;
    ExecutionTable table(clock);
    const Result<StartedExecution> started = table.start(kFirst);
    REQUIRE(started);
    clock.advance(std::chrono::seconds(9));
    CHECK(table.sweep().empty());
    [[maybe_unused]] const AnswerPart part = started->answer_->next(0, false, clock.now());
    clock.advance(std::chrono::seconds(9));
    CHECK(table.sweep().empty());
    clock.advance(std::chrono::seconds(1));
    CHECK(table.sweep() == std::vector<ExecutionId>{kFirst});
    CHECK(table.find(kFirst) != nullptr);
}

// Guards against an agent whose memory grows with each request that it has served.
TEST_CASE("answers of ended executions are dropped")
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
        ExecutionTable table(clock);
        std::weak_ptr<AnswerBuffer> kept;
        {
            const Result<StartedExecution> started = table.start(kFirst);
            REQUIRE(started);
            kept = started->answer_;
            c.end_(*started->answer_);
        }
        CHECK(table.runningCount() == 0);
        CHECK(table.sweep().empty());
        clock.advance(std::chrono::seconds(9));
        CHECK(table.sweep().empty());
        CHECK(!kept.expired());
        clock.advance(std::chrono::seconds(1));
        CHECK(table.sweep().empty());
        CHECK(kept.expired());
    }
}

// Guards against an early cancel that is kept for ever.
TEST_CASE("an early cancel is forgotten in the end")
{
    ManualClock clock;
    ExecutionTable table(clock);
    CHECK(table.cancel(kFirst));
    clock.advance(std::chrono::minutes(5));
    CHECK(table.sweep().empty());
    CHECK(table.start(kFirst));
}

// Guards against a start and a cancel that cross and both win: reported as never started, yet run.
TEST_CASE("of a start and a cancel that cross, one wins")
{
    const ManualClock clock;
    ExecutionTable table(clock);
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
