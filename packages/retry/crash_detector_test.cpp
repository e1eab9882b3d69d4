#include "retry/crash_detector.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

using std::chrono::milliseconds;

const TargetStart kEngine{"engine-7", "engine-7@100"};
const TimePoint kNow = TimePoint{} + std::chrono::hours(1);

} // namespace

// Guards against a crash that is not recognized at an entry that has one request at the target.
TEST_CASE("one lost connection and a refused one are a crash")
{
    CrashDetector detector;
    CHECK(detector.recordLoss(kEngine, {{{"a"}}}, kNow));
    CHECK(detector.recordUnreachable("engine-7", kNow + milliseconds(2))
          == Crash{"engine-7@100", {{"a"}}});
    CHECK(detector.targetCount() == 0);
}

TEST_CASE("all requests under way are reported with the crash, and one check is made")
{
    CrashDetector detector;
    CHECK(detector.recordLoss(kEngine, {{{"a"}}}, kNow));
    CHECK_FALSE(detector.recordLoss(kEngine, {{"b"}}, kNow + milliseconds(1)));
    CHECK(detector.recordLoss({"engine-8", "engine-8@100"}, {{"c"}}, kNow));
    CHECK(detector.recordUnreachable("engine-7", kNow + milliseconds(2))
          == Crash{"engine-7@100", {{"a"}, {"b"}}});
    // Connections whose loss is noticed after the crash was found.
    CHECK(detector.recordLoss(kEngine, {{{"d"}}}, kNow + milliseconds(3)));
    CHECK(detector.recordUnreachable("engine-7", kNow + milliseconds(4))
          == Crash{"engine-7@100", {{"d"}}});
}

TEST_CASE("a part of several prompts under way is reported once")
{
    CrashDetector detector;
    const Suspect part{"part", SuspectKind::PromptPart};
    (void)detector.recordLoss(kEngine, {{"a"}, part}, kNow);
    (void)detector.recordLoss(kEngine, {{"b"}, part}, kNow);
    CHECK(detector.recordUnreachable("engine-7", kNow)
          == Crash{"engine-7@100", {{"a"}, part, {"b"}}});
}

// Guards against a request that is taken for the cause of a crash because its connection was reset
// by a live target or a device on the path.
TEST_CASE("a lost connection of a reachable target is no crash")
{
    CrashDetector detector;
    CHECK(detector.recordLoss(kEngine, {{{"a"}}}, kNow));
    CHECK_FALSE(detector.recordReachable("engine-7", kNow + milliseconds(2)));
    CHECK(detector.recordUnreachable("engine-7", kNow + milliseconds(3)) == std::nullopt);
}

// Guards against a crash that is missed because it happens while an earlier loss is checked.
TEST_CASE("a connection that is lost during a check is checked after it")
{
    CrashDetector detector;
    CHECK(detector.recordLoss(kEngine, {{{"a"}}}, kNow));
    CHECK_FALSE(detector.recordLoss(kEngine, {{"b"}}, kNow + milliseconds(1)));
    CHECK(detector.recordReachable("engine-7", kNow + milliseconds(2)));
    CHECK_FALSE(detector.recordLoss(kEngine, {{"c"}}, kNow + milliseconds(3)));
    CHECK(detector.recordUnreachable("engine-7", kNow + milliseconds(4))
          == Crash{"engine-7@100", {{"b"}, {"c"}}});
}

TEST_CASE("losses expire, and their number is bounded")
{
    CrashDetector detector;
    CHECK(detector.recordUnreachable("engine-7", kNow) == std::nullopt);
    (void)detector.recordLoss(kEngine, {{"old"}}, kNow);
    const TimePoint later = kNow + CrashDetector::kRetention;
    CHECK(detector.recordUnreachable("engine-7", later) == std::nullopt);
    for (std::size_t i = 0; i < 2 * CrashDetector::kMaxLosses; ++i)
        (void)detector.recordLoss(kEngine, {{std::to_string(i)}}, later);
    const std::optional<Crash> crash = detector.recordUnreachable("engine-7", later);
    REQUIRE(crash);
    CHECK(crash->suspects_.size() == CrashDetector::kMaxLosses);
    CHECK(crash->suspects_.back().fingerprint_
          == std::to_string(2 * CrashDetector::kMaxLosses - 1));
}

} // namespace foxtailturn
