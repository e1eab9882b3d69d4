#include "net/loop_meter.h"

#include <string>

#include <doctest/doctest.h>

namespace foxtailturn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture
{
    ManualClock clock_;
    MetricRegistry metrics_;
    LoopMeter meter_{clock_, metrics_};

    // A handler that the loop waits for, with work of one kind.
    void handle(WorkKind kind, Duration wait, Duration work)
    {
        (void)meter_.beginTurn();
        meter_.beginWait();
        clock_.advance(wait);
        const LoopMeter::Scope scope(&meter_, kind);
        clock_.advance(work);
    }

    [[nodiscard]] bool hasLine(const std::string &line) const
    {
        return metrics_.text().find(line + "\n") != std::string::npos;
    }
};

} // namespace

TEST_CASE("time counts for the innermost kind")
{
    Fixture f;
    {
        const LoopMeter::Scope outer(&f.meter_, WorkKind::Store);
        f.clock_.advance(milliseconds(3));
        {
            const LoopMeter::Scope inner(&f.meter_, WorkKind::Records);
            f.clock_.advance(milliseconds(40));
        }
        f.clock_.advance(milliseconds(2));
    }
    f.clock_.advance(seconds(9));
    CHECK(f.hasLine(R"(foxtailturn_loop_busy_microseconds_total{kind="store"} 5000)"));
    CHECK(f.hasLine(R"(foxtailturn_loop_busy_microseconds_total{kind="records"} 40000)"));
    CHECK(f.hasLine(R"(foxtailturn_loop_busy_microseconds_total{kind="callers"} 0)"));
    CHECK(f.hasLine(R"(foxtailturn_wait_seconds_count{kind="store"} 1)"));
    CHECK(f.hasLine(R"(foxtailturn_wait_seconds_count{kind="records"} 0)"));
}

TEST_CASE("a scope without a meter does nothing")
{
    const LoopMeter::Scope scope(nullptr, WorkKind::Callers);
}

// Guards against a caller's time that begins when an entry that is behind reads its bytes.
TEST_CASE("bytes are ready since the loop last waited")
{
    Fixture f;
    f.handle(WorkKind::Reports, seconds(2), milliseconds(600));
    const TimePoint ready = f.clock_.now() - milliseconds(600);
    (void)f.meter_.beginTurn();
    {
        const LoopMeter::Scope scope(&f.meter_, WorkKind::Callers);
        f.clock_.advance(milliseconds(1)); // a part of the handler
        CHECK(f.meter_.readySince() == ready);
    }
    CHECK(f.meter_.readySince() == f.clock_.now());
    (void)f.meter_.beginTurn();
    f.meter_.nothingReady();
    (void)f.meter_.beginTurn();
    const LoopMeter::Scope scope(&f.meter_, WorkKind::Callers);
    CHECK(f.meter_.readySince() == f.clock_.now());
}

// Guards against a loop that is behind and does not say so, as only handlers without a scope ran
// before it had caught up.
TEST_CASE("a handler without a scope tells of a loop that was behind")
{
    for (const bool hasHandler : {true, false}) {
        CAPTURE(hasHandler);
        Fixture f;
        f.handle(WorkKind::Reports, seconds(2), LoopMeter::kBehind);
        (void)f.meter_.beginTurn();
        if (hasHandler)
            f.meter_.handlerRan();
        (void)f.meter_.beginTurn();
        f.meter_.nothingReady();
        const auto behind = f.meter_.takeBehind();
        REQUIRE(behind.has_value() == hasHandler);
        if (behind)
            CHECK(behind->lag_ == LoopMeter::kBehind);
    }
}

// Guards against lines for a loop that keeps up, and more than one a second for one that doesn't.
TEST_CASE("a loop that is behind is told with the kind that took the time, once a second")
{
    Fixture f;
    f.handle(WorkKind::Reports, milliseconds(500), LoopMeter::kBehind - milliseconds(1));
    f.handle(WorkKind::Callers, Duration::zero(), milliseconds(1));
    f.clock_.advance(seconds(1));
    CHECK_FALSE(f.meter_.takeBehind());

    f.handle(WorkKind::Records, milliseconds(5), milliseconds(300));
    f.handle(WorkKind::Callers, Duration::zero(), milliseconds(2));
    CHECK_FALSE(f.meter_.takeBehind()); // no second yet
    f.handle(WorkKind::Upkeep, milliseconds(693), Duration::zero());
    const std::optional<LoopBehind> behind = f.meter_.takeBehind();
    REQUIRE(behind);
    CHECK(*behind
          == LoopBehind{milliseconds(300), WorkKind::Records, milliseconds(300), seconds(1)});
    f.clock_.advance(seconds(1));
    CHECK_FALSE(f.meter_.takeBehind());
}

} // namespace foxtailturn
