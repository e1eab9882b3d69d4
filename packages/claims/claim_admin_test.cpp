#include "claims/claim_admin.h"

#include <doctest/doctest.h>

#include "claims/claims_testing.h"

namespace foxtailturn {
namespace {

const RecordedAnswer kBooked{200, "text/plain", "booked"};
const ClaimLimits kLimits;

struct AdminFixture : ClaimFixture
{
    ClaimStore store_{services(), kLimits};
    ClaimAdmin admin_{services(), kLimits};

    Result<BeginResult> begin(const std::string &attemptId)
    {
        const OnceCall call = bookingCall(clock_);
        return store_.begin(call.key_, call.bodyDigest_, attemptId, call.dispatchDeadline_);
    }

    ObservedClaim observeAndWait()
    {
        const auto claims = admin_.listUnresolved("be-central");
        REQUIRE(claims);
        REQUIRE(claims->size() == 1);
        waiter_.waitUntil(claims->front().settleFrom_);
        return claims->front();
    }
};

// Guards against a settlement while the attempt may still call the target or finish.
TEST_CASE("settling is refused until the attempt must have ended")
{
    AdminFixture fixture;
    REQUIRE(fixture.begin("first"));
    const auto observed = fixture.admin_.observe(bookingCall(fixture.clock_).key_);
    REQUIRE(observed);
    REQUIRE(*observed);
    const Result<void> early = fixture.admin_.settle(**observed, std::nullopt);
    REQUIRE(!early);
    CHECK(early.error().execution_ == Execution::NotRun);
    CHECK(early.error().retryAt_ == (*observed)->settleFrom_);
    CHECK((*observed)->settleFrom_ >= fixture.clock_.now() + kLimits.attemptTimeout_);
    fixture.waiter_.waitUntil((*observed)->settleFrom_);
    CHECK(fixture.admin_.settle(**observed, std::nullopt));
    CHECK(fixture.admin_.listUnresolved("")->empty());
}

// Guards against resends that ignore the operator's decision.
TEST_CASE("a resend follows the settlement")
{
    AdminFixture ran;
    REQUIRE(ran.begin("first"));
    CHECK(ran.begin("second").error().code_ == ErrorCode::ClaimUnresolved);
    REQUIRE(ran.admin_.settle(ran.observeAndWait(), kBooked));
    CHECK(std::get<RecordedAnswer>(*ran.begin("second")) == kBooked);

    AdminFixture notRun;
    REQUIRE(notRun.begin("first"));
    REQUIRE(notRun.admin_.settle(notRun.observeAndWait(), std::nullopt));
    CHECK(std::holds_alternative<HeldClaim>(*notRun.begin("second")));
}

// Guards against an operator overwriting an answer that was recorded in the meantime, and against a
// wrong settlement that discards the attempt's actual answer.
TEST_CASE("an answer recorded by the attempt takes precedence over a settlement")
{
    AdminFixture fixture;
    const auto held = std::get<HeldClaim>(*fixture.begin("first"));
    const ObservedClaim observed = fixture.observeAndWait();
    REQUIRE(fixture.store_.finish(held, kBooked, TimePoint::max()));
    CHECK(fixture.admin_.settle(observed, std::nullopt).error().code_ == ErrorCode::StoreConflict);

    AdminFixture late;
    const auto lateHeld = std::get<HeldClaim>(*late.begin("first"));
    REQUIRE(late.admin_.settle(late.observeAndWait(), std::nullopt));
    REQUIRE(late.store_.finish(lateHeld, kBooked, TimePoint::max()));
    CHECK(std::get<RecordedAnswer>(*late.begin("second")) == kBooked);

    AdminFixture takenOver;
    const auto oldHeld = std::get<HeldClaim>(*takenOver.begin("first"));
    REQUIRE(takenOver.admin_.settle(takenOver.observeAndWait(), std::nullopt));
    REQUIRE(takenOver.begin("second"));
    CHECK(takenOver.store_.finish(oldHeld, kBooked, TimePoint::max()).error().code_
          == ErrorCode::StoreConflict);
}

// Guards against reporting a failure to the operator although the settlement took effect.
TEST_CASE("a settlement is confirmed by reading back when the answer of its write is lost")
{
    for (const auto fault : {TableFault::LoseWriteAnswer, TableFault::DropWrite}) {
        AdminFixture fixture;
        REQUIRE(fixture.begin("first"));
        const ObservedClaim observed = fixture.observeAndWait();
        fixture.table_.setFault(fault);
        const Result<void> settled = fixture.admin_.settle(observed, kBooked);
        CHECK(settled.has_value() == (fault == TableFault::LoseWriteAnswer));
    }
}

// Guards against removal of unresolved claims or recent answers, and against unbounded growth.
TEST_CASE("only finished claims are removed, after their stored expiry")
{
    AdminFixture fixture;
    const auto held = std::get<HeldClaim>(*fixture.begin("first"));
    fixture.wallClock_.advance(2 * kLimits.retention_);
    CHECK(fixture.admin_.removeExpired("", 10) == 0U);
    REQUIRE(fixture.store_.finish(held, kBooked, TimePoint::max()));
    CHECK(fixture.admin_.removeExpired("be-central", 10) == 0U);
    fixture.wallClock_.advance(kLimits.retention_);
    CHECK(fixture.admin_.removeExpired("other", 10) == 0U);
    CHECK(fixture.admin_.removeExpired("be-central", 10) == 1U);
}

} // namespace
} // namespace foxtailturn
