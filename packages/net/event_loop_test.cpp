#include "net/event_loop.h"

#include <string>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <doctest/doctest.h>

namespace foxtailturn {

namespace {

// Notes each step as 'w'; its steps take a slice each.
class NotedSteps final : public WorkSource
{
public:
    NotedSteps(ManualClock &clock, std::string &notes, int waiting)
        : clock_(clock)
        , notes_(notes)
        , waiting_(waiting)
    { }

    [[nodiscard]] bool isWaiting() const override { return waiting_ > 0; }
    [[nodiscard]] WorkKind kind() const override { return WorkKind::Reports; }

    void step() override
    {
        --waiting_;
        notes_ += 'w';
        clock_.advance(DeferredWork::kSliceTime);
    }

private:
    ManualClock &clock_;
    std::string &notes_;
    int waiting_;
};

} // namespace

// Guards against callers that wait for what is learned of the fleet.
TEST_CASE("handlers that are ready go before deferred work")
{
    asio::io_context context;
    ManualClock clock;
    MetricRegistry metrics;
    LoopMeter meter(clock, metrics);
    DeferredWork work(clock, &meter);
    std::string notes;
    NotedSteps steps(clock, notes, 3);
    work.add(steps);
    const auto guard = asio::make_work_guard(context);
    asio::post(context, [&] {
        notes += 'a';
        asio::post(context, [&notes] { notes += 'b'; });
    });
    asio::steady_timer stop(context, std::chrono::milliseconds(50));
    stop.async_wait([&context](const asio::error_code &) { context.stop(); });
    runLoop(context, work, meter);
    CHECK(notes == "abwww");
}

// Guards against work that waits for ever behind handlers, and against a stop that waits for it.
TEST_CASE("a loop that is always busy gets on with its work, and stops at once")
{
    asio::io_context context;
    ManualClock clock;
    MetricRegistry metrics;
    LoopMeter meter(clock, metrics);
    DeferredWork work(clock, &meter);
    std::string notes;
    NotedSteps steps(clock, notes, 1'000'000);
    work.add(steps);
    int handled = 0;
    std::function<void()> again = [&] {
        clock.advance(std::chrono::milliseconds(1));
        if (++handled == 1000)
            context.stop();
        asio::post(context, again);
    };
    asio::post(context, again);
    runLoop(context, work, meter);
    CHECK(handled == 1000);
    CHECK(notes.size() >= 40);
    CHECK(notes.size() <= 50);
}

TEST_CASE("a loop without handlers ends")
{
    asio::io_context context;
    ManualClock clock;
    MetricRegistry metrics;
    LoopMeter meter(clock, metrics);
    DeferredWork work(clock, &meter);
    asio::post(context, [] {});
    runLoop(context, work, meter);
    CHECK(context.stopped());
}

// Guards against a loop that is behind because of a handler that is not metered and does not know
// it, so that a caller's time begins too late.
TEST_CASE("what is ready behind a long handler has waited, metered or not")
{
    for (const bool isMetered : {true, false}) {
        CAPTURE(isMetered);
        asio::io_context context;
        ManualClock clock;
        MetricRegistry metrics;
        LoopMeter meter(clock, metrics);
        DeferredWork work(clock, &meter);
        const TimePoint ready = clock.now();
        asio::post(context, [&] {
            const LoopMeter::Scope scope(isMetered ? &meter : nullptr, WorkKind::Targets);
            clock.advance(std::chrono::milliseconds(600));
        });
        TimePoint seen{};
        asio::post(context, [&] {
            const LoopMeter::Scope scope(&meter, WorkKind::Callers);
            seen = meter.readySince();
        });
        runLoop(context, work, meter);
        CHECK(seen <= ready);
    }
}

// Guards against a pause of the process that is taken for a wait although the loop only polled.
TEST_CASE("a poll is no wait")
{
    ManualClock clock;
    MetricRegistry metrics;
    LoopMeter meter(clock, metrics);
    const TimePoint ready = clock.now();
    {
        const LoopMeter::Scope scope(&meter, WorkKind::Targets);
        clock.advance(std::chrono::milliseconds(600));
    }
    REQUIRE(meter.beginTurn()); // polls: a handler is ready
    clock.advance(std::chrono::milliseconds(90)); // the process is not scheduled
    const LoopMeter::Scope scope(&meter, WorkKind::Callers);
    CHECK(meter.readySince() <= ready);
}

} // namespace foxtailturn
