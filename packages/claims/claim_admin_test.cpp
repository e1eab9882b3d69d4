#include "claims/claim_admin.h"

#include <doctest/doctest.h>

#include "claims/claims_testing.h"

namespace foxtailturn {
namespace {

const RecordedAnswer kBooked{200, "text/plain", "booked"};
const ClaimLimits kLimits;

struct AdminWorld : ClaimWorld
{
    ClaimStore store_{services(), kLimits};
    ClaimAdmin admin_{services(), kLimits};

    Result<ClaimStart> begin(const std::string &attemptId)
    {
        const OnceCall call = bookingCall(clock_);
        return store_.begin(call.key_, call.bodyDigest_, attemptId, call.dispatchDeadline_);
    }

    ObservedClaim observeAndWait()
    {
        const auto list = admin_.listUnresolved("be-central");
        REQUIRE(list);
        REQUIRE(list->size() == 1);
        waiter_.waitUntil(list->front().settleFrom_);
        return list->front();
    }
};

// Guards against a settlement while the attempt may still call the target or finish.
TEST_CASE("settling is refused until the attempt must have ended")
{
    AdminWorld world;
    REQUIRE(world.begin("first"));
    const auto observed = world.admin_.observe(bookingCall(world.clock_).key_);
    REQUIRE(observed);
    REQUIRE(*observed);
    const Result<void> early = world.admin_.settle(**observed, std::nullopt);
    REQUIRE(!early);
    CHECK(early.error().execution_ == Execution::NotRun);
    CHECK(early.error().retryAt_ == (*observed)->settleFrom_);
    CHECK((*observed)->settleFrom_ >= world.clock_.now() + kLimits.attemptTime_);
    world.waiter_.waitUntil((*observed)->settleFrom_);
    CHECK(world.admin_.settle(**observed, std::nullopt));
    CHECK(world.admin_.listUnresolved("")->empty());
}

// Guards against resends that ignore the operator's decision.
TEST_CASE("a resend follows the settlement")
{
    AdminWorld ran;
    REQUIRE(ran.begin("first"));
    CHECK(ran.begin("second").error().code_ == ErrorCode::ClaimUnresolved);
    REQUIRE(ran.admin_.settle(ran.observeAndWait(), kBooked));
    CHECK(std::get<RecordedAnswer>(*ran.begin("second")) == kBooked);

    AdminWorld notRun;
    REQUIRE(notRun.begin("first"));
    REQUIRE(notRun.admin_.settle(notRun.observeAndWait(), std::nullopt));
    CHECK(std::holds_alternative<ClaimHold>(*notRun.begin("second")));
}

// Guards against an operator overwriting an answer that was recorded in the meantime, and against a
// wrong settlement that discards the attempt's actual answer.
TEST_CASE("an answer recorded by the attempt takes precedence over a settlement")
{
    AdminWorld world;
    const auto hold = std::get<ClaimHold>(*world.begin("first"));
    const ObservedClaim observed = world.observeAndWait();
    REQUIRE(world.store_.finish(hold, kBooked, TimePoint::max()));
    CHECK(world.admin_.settle(observed, std::nullopt).error().code_ == ErrorCode::StoreConflict);

    AdminWorld late;
    const auto lateHold = std::get<ClaimHold>(*late.begin("first"));
    REQUIRE(late.admin_.settle(late.observeAndWait(), std::nullopt));
    REQUIRE(late.store_.finish(lateHold, kBooked, TimePoint::max()));
    CHECK(std::get<RecordedAnswer>(*late.begin("second")) == kBooked);

    AdminWorld takenOver;
    const auto oldHold = std::get<ClaimHold>(*takenOver.begin("first"));
    REQUIRE(takenOver.admin_.settle(takenOver.observeAndWait(), std::nullopt));
    REQUIRE(takenOver.begin("second"));
    CHECK(takenOver.store_.finish(oldHold, kBooked, TimePoint::max()).error().code_
          == ErrorCode::StoreConflict);
}

// Guards against reporting a failure to the operator although the settlement took effect.
TEST_CASE("a settlement is confirmed by reading back when the answer of its write is lost")
{
    for (const auto fault : {TableFault::LoseWriteAnswer, TableFault::DropWrite}) {
        AdminWorld world;
        REQUIRE(world.begin("first"));
        const ObservedClaim observed = world.observeAndWait();
        world.table_.setFault(fault);
        const Result<void> settled = world.admin_.settle(observed, kBooked);
        CHECK(settled.has_value() == (fault == TableFault::LoseWriteAnswer));
    }
}

// Guards against removal of unresolved claims or recent answers, and against unbounded growth.
TEST_CASE("only finished claims are removed, after their stored expiry")
{
    AdminWorld world;
    const auto hold = std::get<ClaimHold>(*world.begin("first"));
    world.wallClock_.advance(2 * kLimits.retention_);
    CHECK(world.admin_.removeExpired("", 10) == 0U);
    REQUIRE(world.store_.finish(hold, kBooked, TimePoint::max()));
    CHECK(world.admin_.removeExpired("be-central", 10) == 0U);
    world.wallClock_.advance(kLimits.retention_);
    CHECK(world.admin_.removeExpired("other", 10) == 0U);
    CHECK(world.admin_.removeExpired("be-central", 10) == 1U);
}

} // namespace
} // namespace foxtailturn
