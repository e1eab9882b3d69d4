#include "retry/retry_policy.h"

#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

using std::chrono::seconds;

const RetryBudgetLimits kLimits{.percent_ = 10, .floor_ = 2};

int takeAllRetries(RetryBudget &budget, const std::string &workspace)
{
    int taken = 0;
    while (taken < 1'000 && budget.tryRetry(workspace))
        ++taken;
    return taken;
}

// Guards against retries that multiply the load, and against a workspace that uses the budget of
// another.
TEST_CASE("the budget is a floor plus a fraction of the recent requests")
{
    ManualClock clock;
    RetryBudget budget(clock, kLimits);
    CHECK(takeAllRetries(budget, "small") == 2);
    for (int i = 0; i < 200; ++i)
        budget.onRequest("large");
    CHECK(budget.remaining("large") == 22);
    CHECK(takeAllRetries(budget, "large") == 22);
    CHECK(budget.remaining("large") == 0);
    CHECK(takeAllRetries(budget, "small") == 0);
    clock.advance(seconds(5));
    for (int i = 0; i < 100; ++i)
        budget.onRequest("large");
    CHECK(takeAllRetries(budget, "large") == 10);
    clock.advance(seconds(6)); // the first slot has left the window, with its retries
    CHECK(takeAllRetries(budget, "large") == 2);
    CHECK(takeAllRetries(budget, "small") == 2);
}

// Guards against retries beyond the budget when requests fail concurrently on several threads.
TEST_CASE("threads share one budget")
{
    ManualClock clock;
    RetryBudget budget(clock, kLimits);
    std::atomic<int> taken = 0;
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 100; ++i)
        budget.onRequest("w");
    for (int i = 0; i < 8; ++i)
        threads.emplace_back([&] { taken += takeAllRetries(budget, "w"); });
    for (std::thread &thread : threads)
        thread.join();
    CHECK(taken == 12);
}

// Guards against memory use that grows with the number of workspaces ever used.
TEST_CASE("the windows of idle workspaces are removed")
{
    ManualClock clock;
    RetryBudget budget(clock, kLimits);
    for (int i = 0; i < 1'000; ++i)
        budget.onRequest(std::to_string(i));
    CHECK(budget.workspaceCount() == 1'000);
    clock.advance(seconds(30));
    for (int i = 0; i < 1'000; i += 10)
        budget.onRequest(std::to_string(i));
    CHECK(budget.workspaceCount() == 100);
}

// Guards against a second run of a request that isn't repeatable, retries after the caller's
// deadline, and not_run reported for a request of which an earlier attempt may have run.
TEST_CASE("retry decisions, and the error and execution state returned without a retry")
{
    constexpr auto kNotRun = Execution::NotRun;
    constexpr auto kUnknown = Execution::OutcomeUnknown;
    struct Case
    {
        const char *name_;
        ErrorCode code_;
        Execution execution_;
        Execution previousExecution_;
        bool isRepeatable_;
        int retryAfter_; // seconds, from the failure's retryAt_
        bool isRetried_;
        Execution reportedExecution_;
    };
    const Case cases[] = {
        {"not run", ErrorCode::TargetDraining, kNotRun, kNotRun, false, 0, true, kNotRun},
        {"unknown", ErrorCode::TargetCrashed, kUnknown, kNotRun, false, 0, false, kUnknown},
        {"repeatable", ErrorCode::TargetCrashed, kUnknown, kNotRun, true, 0, true, kUnknown},
        {"earlier may have run", ErrorCode::NoTarget, kNotRun, kUnknown, false, 0, false, kUnknown},
        {"final", ErrorCode::BadRequest, kNotRun, kNotRun, true, 0, false, kNotRun},
        {"final later", ErrorCode::Quarantined, kNotRun, kUnknown, true, 0, false, kUnknown},
        {"may wait", ErrorCode::Overloaded, kNotRun, kNotRun, true, 9, true, kNotRun},
        {"too late", ErrorCode::Overloaded, kNotRun, kNotRun, true, 10, false, kNotRun},
    };
    for (const Case &testCase : cases) {
        CAPTURE(testCase.name_);
        ManualClock clock;
        RetryBudget budget(clock, kLimits);
        RetryPolicy policy(clock, budget);
        const TimePoint now = clock.now();
        FailedAttempt attempt{Error{testCase.code_, testCase.execution_, "failed",
                                    now + seconds(testCase.retryAfter_)},
                              testCase.previousExecution_, testCase.isRepeatable_,
                              now + seconds(10), "w"};
        const Result<TimePoint> retry = policy.decide(attempt);
        REQUIRE(retry.has_value() == testCase.isRetried_);
        if (retry) {
            CHECK(*retry == now + seconds(testCase.retryAfter_));
            while (budget.tryRetry("w")) { }
            const Result<TimePoint> second = policy.decide(attempt);
            REQUIRE(!second);
            CHECK(second.error().code_ == ErrorCode::RetryBudgetExhausted);
            CHECK(second.error().execution_ == testCase.reportedExecution_);
        } else {
            CHECK(retry.error().code_ == testCase.code_);
            CHECK(retry.error().execution_ == testCase.reportedExecution_);
        }
        clock.advance(seconds(10));
        CHECK(!policy.decide(attempt));
    }
}

} // namespace
} // namespace foxtailturn
