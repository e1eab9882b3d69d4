#include "placement/speed_meter.h"

#include <doctest/doctest.h>

namespace foxtailturn::placement {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kPoll = milliseconds(120);

// An engine that is polled and takes stepTime for a token of each of its runs.
struct Engine
{
    void poll(SpeedMeter &meter, double stepMs, int prompts = 0)
    {
        now_ += kPoll;
        for (EngineRun &run : runs_)
            run.tokens_ += static_cast<std::int64_t>(120 / stepMs);
        meter.record({startTimeMs_, prompts, runs_}, now_);
    }

    std::int64_t startTimeMs_ = 1;
    std::vector<EngineRun> runs_ = {{"a", 500, 1}, {"b", 900, 4}};
    TimePoint now_ = TimePoint(std::chrono::hours(1));
};

// Returns whether the time is within a tenth of the given one.
bool isAbout(Duration time, Duration expected)
{
    return time > expected * 9 / 10 && time < expected * 11 / 10;
}

} // namespace

TEST_CASE("the step time is that of most recent samples")
{
    struct Case
    {
        const char *name_;
        std::vector<double> stepMs_; // repeated
        Duration expected_;
    };
    const std::vector<Case> cases = {
        {"even", {5}, microseconds(5000)},
        {"slow", {9}, microseconds(9000)},
        {"stalls", {5, 5, 5, 12.5}, microseconds(5000)},
        {"odd samples", {5, 5, 1, 60, 5, 5, 5, 5}, microseconds(5000)},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        Engine engine;
        SpeedMeter meter;
        for (std::size_t i = 0; i < 40; ++i)
            engine.poll(meter, c.stepMs_[i % c.stepMs_.size()]);
        CHECK(isAbout(meter.stepTime(), c.expected_));
    }
}

TEST_CASE("a full batch is not taken for a slow engine")
{
    Engine few;
    Engine many;
    for (int i = 0; i < 60; ++i)
        many.runs_.push_back({"r" + std::to_string(i), 2000, 1});
    SpeedMeter idle;
    SpeedMeter full;
    for (int i = 0; i < 20; ++i) {
        few.poll(idle, 4.5);
        many.poll(full, 4.5 * (1 + 62 * 0.0044 + 121'400 * 2.6e-6));
    }
    CHECK(isAbout(full.stepTime(), idle.stepTime()));
}

TEST_CASE("a stall is told while it lasts")
{
    Engine engine;
    SpeedMeter meter;
    for (int i = 0; i < 10; ++i)
        engine.poll(meter, 5);
    CHECK_FALSE(meter.isStalled(engine.now_));
    engine.poll(meter, 12.5);
    CHECK(meter.isStalled(engine.now_));
    CHECK_FALSE(meter.isStalled(engine.now_ + milliseconds(500))); // no news since
    engine.poll(meter, 5);
    CHECK_FALSE(meter.isStalled(engine.now_));
}

TEST_CASE("intervals in which a prompt is read don't count")
{
    Engine engine;
    SpeedMeter meter;
    for (int i = 0; i < 10; ++i)
        engine.poll(meter, 5);
    for (int i = 0; i < 20; ++i) {
        engine.poll(meter, 20, i % 2); // each second report shows it
    }
    CHECK(isAbout(meter.stepTime(), microseconds(5000)));
    for (int i = 0; i < 20; ++i) {
        engine.runs_.push_back({"new" + std::to_string(i), 1000, 1}); // read between two reports
        engine.poll(meter, 20);
    }
    CHECK(isAbout(meter.stepTime(), microseconds(5000)));
}

TEST_CASE("another incarnation is measured anew")
{
    Engine engine;
    SpeedMeter meter;
    for (int i = 0; i < 10; ++i)
        engine.poll(meter, 5);
    engine.startTimeMs_ = 2;
    engine.poll(meter, 9);
    CHECK(meter.stepTime() == Duration::zero());
    for (int i = 0; i < 10; ++i)
        engine.poll(meter, 9);
    CHECK(isAbout(meter.stepTime(), microseconds(9000)));
}

} // namespace foxtailturn::placement
