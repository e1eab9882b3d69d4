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

struct ExecutorWorld : ClaimWorld
{
    ClaimStore store_{services(), kLimits};
    OnceExecutor executor_{store_, clock_, kLimits};
    int total_ = 0;
    CountingTarget target_{total_, clock_};
};

// Guards against running a call twice when several agents receive it at the same time.
TEST_CASE("exactly one of many concurrent attempts calls the target")
{
    ClaimWorld world;
    ClaimStore stores[] = {{world.services(), kLimits}, {world.services(), kLimits}};
    const OnceCall call = bookingCall(world.clock_);
    std::vector<int> totals(16, 0);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < totals.size(); ++i) {
        threads.emplace_back([&, i] {
            CountingTarget target(totals[i], world.clock_);
            OnceExecutor executor(stores[i % 2], world.clock_, kLimits);
            (void)executor.execute(call, target);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(std::accumulate(totals.begin(), totals.end(), 0) == 1);
}

// Guards against errors whose code or execution state misleads the caller.
TEST_CASE("errors have the right code and execution state")
{
    struct Case
    {
        const char *name_;
        std::function<void(ExecutorWorld &, OnceCall &)> prepare_;
        ErrorCode code_;
        Execution execution_;
        bool hasRetryAt_;
    };
    const Case cases[] = {
        {"key missing", [](ExecutorWorld &, OnceCall &call) { call.key_.idempotencyKey_ = ""; },
         ErrorCode::IdempotencyKeyMissing, Execution::NotRun, false},
        {"key too long",
         [](ExecutorWorld &, OnceCall &call) { call.key_.idempotencyKey_.assign(256, 'k'); },
         ErrorCode::BadRequest, Execution::NotRun, false},
        {"key reused",
         [](ExecutorWorld &world, OnceCall &call) {
             REQUIRE(world.executor_.execute(call, world.target_));
             call.bodyDigest_ = sha256Hex("slot 8");
         },
         ErrorCode::IdempotencyKeyReused, Execution::NotRun, false},
        {"unresolved",
         [](ExecutorWorld &world, OnceCall &call) {
             REQUIRE(world.store_.begin(call.key_, call.bodyDigest_, "x", TimePoint::max()));
         },
         ErrorCode::ClaimUnresolved, Execution::OutcomeUnknown, false},
        {"unreadable row",
         [](ExecutorWorld &world, OnceCall &call) {
             REQUIRE(world.table_.write(call.key_.row(), "{}", kAbsent, TimePoint::max()));
         },
         ErrorCode::Internal, Execution::OutcomeUnknown, false},
        {"store down",
         [](ExecutorWorld &world, OnceCall &) { world.table_.setFault(TableFault::Down); },
         ErrorCode::StoreUnavailable, Execution::NotRun, true},
        {"too late",
         [](ExecutorWorld &world, OnceCall &) { world.clock_.advance(std::chrono::hours(1)); },
         ErrorCode::DeadlineExceeded, Execution::NotRun, false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        ExecutorWorld world;
        OnceCall call = bookingCall(world.clock_);
        c.prepare_(world, call);
        const int before = world.total_;
        const auto answer = world.executor_.execute(call, world.target_);
        REQUIRE(!answer);
        CHECK(answer.error().code_ == c.code_);
        CHECK(answer.error().execution_ == c.execution_);
        CHECK(answer.error().retryAt_.has_value() == c.hasRetryAt_);
        CHECK(world.total_ == before);
    }
}

// Guards against leaving a claim unresolved because a single write of the answer failed.
TEST_CASE("recording the answer is retried after lost writes")
{
    ExecutorWorld world;
    int records = 0;
    world.table_.setBeforeWrite([&](const std::string &) {
        records += world.total_;
        world.table_.setFault(records == 1 || records == 2 ? TableFault::DropWrite
                                                           : TableFault::None);
    });
    CHECK(world.executor_.execute(bookingCall(world.clock_), world.target_)->isRecorded_);
    CHECK(records == 3);
}

// Guards against withholding the answer from the caller, or a second run, when the answer can't be
// recorded.
TEST_CASE("an answer that can't be recorded is returned to the caller and recorded later")
{
    ExecutorWorld world;
    const OnceCall call = bookingCall(world.clock_);
    world.table_.setBeforeWrite([&world](const std::string &) {
        if (world.total_ == 1)
            world.table_.setFault(TableFault::Down);
    });
    const auto answer = world.executor_.execute(call, world.target_);
    REQUIRE(answer);
    CHECK(!answer->isRecorded_);
    CHECK(world.store_.repairPending() == 1);
    world.table_.setBeforeWrite(nullptr);
    world.table_.setFault(TableFault::None);
    ClaimStore otherStore(world.services(), kLimits);
    OnceExecutor other(otherStore, world.clock_, kLimits);
    const OnceCall again = bookingCall(world.clock_);
    CHECK(other.execute(again, world.target_).error().code_ == ErrorCode::ClaimUnresolved);
    CHECK(world.executor_.execute(again, world.target_)->isReplay_);
    CHECK(world.store_.repairPending() == 0);
    CHECK(other.execute(again, world.target_)->isReplay_);
    CHECK(world.total_ == 1);
}

} // namespace
} // namespace foxtailturn
