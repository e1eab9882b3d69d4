#include "routing/target_directory.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture
{
    Fixture() { setLeaving(false); }

    void setLeaving(bool leaving)
    {
        directory_.setTargets({TargetInfo{"t1", "engines", "a", "10.0.0.1:1", leaving}});
    }

    bool sendHeartbeat(std::uint64_t sequence, bool draining = false,
                       const std::string &incarnation = "i1")
    {
        return directory_.heartbeat(TargetReport{.name_ = "t1",
                                                 .incarnation_ = incarnation,
                                                 .sequence_ = sequence,
                                                 .running_ = 5,
                                                 .draining_ = draining,
                                                 .resident_ = {{"a", "1"}},
                                                 .loading_ = {{"b", "1"}}});
    }

    bool isUsable() const { return !directory_.usable("engines").empty(); }
    TargetState state() const { return directory_.all().at(0).state_; }

    ManualClock clock_;
    TargetDirectory directory_{clock_};
};

// Guards against work for targets that stopped reporting, and against targets that stay unusable
// after a gap in their heartbeats.
TEST_CASE("a target without heartbeats is unreachable from its heartbeat deadline on")
{
    Fixture f;
    CHECK(!f.isUsable());
    f.sendHeartbeat(1);
    f.clock_.advance(kHeartbeatTimeout - Duration(1));
    CHECK(f.isUsable());
    f.clock_.advance(Duration(1));
    CHECK(f.state() == TargetState::Unreachable);
    CHECK(!f.isUsable());
    f.sendHeartbeat(2);
    CHECK(f.isUsable());
}

// Guards against delayed heartbeats that override newer ones: a draining target would get work
// again.
TEST_CASE("out-of-order heartbeats are ignored")
{
    Fixture f;
    REQUIRE(f.sendHeartbeat(5, true));
    CHECK(!f.sendHeartbeat(4));
    CHECK(f.state() == TargetState::Draining);
    CHECK(f.sendHeartbeat(6)); // only a new incarnation ends draining
    CHECK(f.state() == TargetState::Draining);
    REQUIRE(f.sendHeartbeat(1, false, "i2"));
    CHECK(f.state() == TargetState::Live);
    CHECK(!f.sendHeartbeat(7, true, "i1"));
    CHECK(f.state() == TargetState::Live);
}

// Guards design invariant 10: a leaving target gets no new work after at most 3 s, even if its
// heartbeats continue, and whether the membership lists it as leaving or no longer lists it.
TEST_CASE("a leaving target gets no work after its deadline")
{
    for (const bool listed : {true, false}) {
        CAPTURE(listed);
        Fixture f;
        std::uint64_t sequence = 0;
        for (Duration elapsed{}; elapsed <= seconds(6); elapsed += milliseconds(500)) {
            if (listed)
                f.setLeaving(true);
            else
                f.directory_.setTargets({});
            const bool known = f.sendHeartbeat(++sequence);
            if (elapsed >= seconds(3)) {
                CHECK(!f.isUsable());
            } else if (elapsed < kLeavingGrace) {
                CHECK(known);
                CHECK(f.isUsable()); // the only target of its group
            }
            f.clock_.advance(milliseconds(500));
        }
    }
}

// Guards against new work for a leaving target while a live one exists.
TEST_CASE("a leaving target is skipped immediately if another target is live")
{
    Fixture f;
    f.directory_.setTargets({TargetInfo{"t1", "engines", "a", "x", true},
                             TargetInfo{"t2", "engines", "a", "y", false}});
    f.sendHeartbeat(1);
    f.directory_.heartbeat(TargetReport{
        .name_ = "t2", .incarnation_ = "i", .sequence_ = 1, .resident_ = {}, .loading_ = {}});
    REQUIRE(f.directory_.usable("engines").size() == 1);
    CHECK(f.directory_.usable("engines")[0].info_.name_ == "t2");
}

// Guards against a target that is skipped indefinitely, or not at all, after a failed connection.
TEST_CASE("a failed connection excludes a target for a limited time")
{
    Fixture f;
    f.sendHeartbeat(1);
    f.directory_.markUnreachable("t1");
    CHECK(!f.isUsable());
    CHECK(f.directory_.retryAt("engines") == f.clock_.now() + kUnreachableTime);
    f.sendHeartbeat(2);
    CHECK(f.isUsable());
    f.directory_.markDraining("t1");
    CHECK(!f.isUsable());
}

// Guards against an entry that overloads a target between two heartbeats because it ignores the
// requests that it has sent since the last one.
TEST_CASE("the entry's own requests in flight correct the reported load")
{
    Fixture f;
    f.directory_.begin("t1", {});
    f.sendHeartbeat(1); // reports 5 requests, one of them from this entry
    f.directory_.begin("t1", {"c", "1"});
    const TargetView view = f.directory_.usable("engines")[0];
    CHECK(view.load_ == 6);
    CHECK(view.has({"a", "1"}));
    CHECK(view.has({"b", "1"})); // is being loaded
    CHECK(view.has({"c", "1"})); // will be loaded for this entry's request
    f.directory_.end("t1");
    f.directory_.end("t1");
    CHECK(f.directory_.usable("engines")[0].load_ == 4);
}

} // namespace
} // namespace foxtailturn
