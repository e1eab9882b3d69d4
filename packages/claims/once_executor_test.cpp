#include "claims/once_executor.h"

#include <functional>
#include <numeric>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "claims/claims_fault_testing.h"
#include "claims/claims_testing.h"

namespace foxtailturn {
namespace {

const ClaimLimits kLimits;

struct ExecutorFixture : ClaimFixture
{
    ClaimStore store_{services(), kLimits};
    OnceExecutor executor_{store_, clock_, kLimits};
    int totalCalls_ = 0;
    CountingTarget target_{totalCalls_, clock_};
};

// Guards against running a call twice when several agents receive it at the same time.
TEST_CASE("exactly one of many concurrent attempts calls the target")
{
    ClaimFixture fixture;
    ClaimStore stores[] = {{fixture.services(), kLimits}, {fixture.services(), kLimits}};
    const OnceCall call = bookingCall(fixture.clock_);
    std::vector<int> callCounts(16, 0);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callCounts.size(); ++i) {
        threads.emplace_back([&, i] {
            CountingTarget target(callCounts[i], fixture.clock_);
            OnceExecutor executor(stores[i % 2], fixture.clock_, kLimits);
            (void)executor.execute(call, target);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(std::accumulate(callCounts.begin(), callCounts.end(), 0) == 1);
}

// Guards against errors whose code or execution state misleads the caller.
TEST_CASE("errors have the right code and execution state")
{
    struct Case
    {
        const char *name_;
        std::function<void(ExecutorFixture &, OnceCall &)> prepare_;
        ErrorCode code_;
        Execution execution_;
        bool hasRetryAt_;
    };
    const Case cases[] = {
        {"key missing", [](ExecutorFixture &, OnceCall &call) { call.key_.idempotencyKey_ = ""; },
         ErrorCode::IdempotencyKeyMissing, Execution::NotRun, false},
        {"key too long",
         [](ExecutorFixture &, OnceCall &call) { call.key_.idempotencyKey_.assign(256, 'k'); },
         ErrorCode::BadRequest, Execution::NotRun, false},
        {"key reused",
         [](ExecutorFixture &fixture, OnceCall &call) {
             REQUIRE(fixture.executor_.execute(call, fixture.target_));
             call.bodyDigest_ = sha256Hex("slot 8");
         },
         ErrorCode::IdempotencyKeyReused, Execution::NotRun, false},
        {"unresolved",
         [](ExecutorFixture &fixture, OnceCall &call) {
             REQUIRE(fixture.store_.begin(call.key_, call.bodyDigest_, "x", TimePoint::max()));
         },
         ErrorCode::ClaimUnresolved, Execution::OutcomeUnknown, false},
        {"unreadable row",
         [](ExecutorFixture &fixture, OnceCall &call) {
             REQUIRE(fixture.table_.write(call.key_.row(), "{}", kAbsent, TimePoint::max()));
         },
         ErrorCode::Internal, Execution::OutcomeUnknown, false},
        {"store down",
         [](ExecutorFixture &fixture, OnceCall &) { fixture.table_.setFault(TableFault::Down); },
         ErrorCode::StoreUnavailable, Execution::NotRun, true},
        {"too late",
         [](ExecutorFixture &fixture, OnceCall &) {
             fixture.clock_.advance(std::chrono::hours(1));
         },
         ErrorCode::DeadlineExceeded, Execution::NotRun, false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        ExecutorFixture fixture;
        OnceCall call = bookingCall(fixture.clock_);
        c.prepare_(fixture, call);
        const int callsBefore = fixture.totalCalls_;
        const auto answer = fixture.executor_.execute(call, fixture.target_);
        REQUIRE(!answer);
        CHECK(answer.error().code_ == c.code_);
        CHECK(answer.error().execution_ == c.execution_);
        CHECK(answer.error().retryAt_.has_value() == c.hasRetryAt_);
        CHECK(fixture.totalCalls_ == callsBefore);
    }
}

// Guards against leaving a claim unresolved because a single write of the answer failed.
TEST_CASE("recording the answer is retried after lost writes")
{
    ExecutorFixture fixture;
    int records = 0;
    fixture.table_.setBeforeWrite([&](const std::string &) {
        records += fixture.totalCalls_;
        fixture.table_.setFault(records == 1 || records == 2 ? TableFault::DropWrite
                                                             : TableFault::None);
    });
    CHECK(fixture.executor_.execute(bookingCall(fixture.clock_), fixture.target_)->isRecorded_);
    CHECK(records == 3);
}

// Guards against withholding the answer from the caller, or a second run, when the answer can't be
// recorded.
TEST_CASE("an answer that can't be recorded is returned to the caller and recorded later")
{
    ExecutorFixture fixture;
    const OnceCall call = bookingCall(fixture.clock_);
    fixture.table_.setBeforeWrite([&fixture](const std::string &) {
        if (fixture.totalCalls_ == 1)
            fixture.table_.setFault(TableFault::Down);
    });
    const auto answer = fixture.executor_.execute(call, fixture.target_);
    REQUIRE(answer);
    CHECK(!answer->isRecorded_);
    CHECK(fixture.store_.repairPending() == 1);
    fixture.table_.setBeforeWrite(nullptr);
    fixture.table_.setFault(TableFault::None);
    ClaimStore otherStore(fixture.services(), kLimits);
    OnceExecutor other(otherStore, fixture.clock_, kLimits);
    const OnceCall resend = bookingCall(fixture.clock_);
    CHECK(other.execute(resend, fixture.target_).error().code_ == ErrorCode::ClaimUnresolved);
    CHECK(fixture.executor_.execute(resend, fixture.target_)->isReplay_);
    CHECK(fixture.store_.repairPending() == 0);
    CHECK(other.execute(resend, fixture.target_)->isReplay_);
    CHECK(fixture.totalCalls_ == 1);
}

} // namespace
} // namespace foxtailturn
