#include "sidecar/report_schedule.h"

#include <random>

#include <doctest/doctest.h>

#include "gateway/placement.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kPoll = milliseconds(121);
const TimePoint kStart = TimePoint(std::chrono::hours(1));

SidecarReport idleEngine()
{
    SidecarReport report;
    report.engine_ = {5, 7, false, false, 0, 0, 0, 0, 200'000, {{"m", {{"a", 1}}}}, {}};
    return report;
}

// An engine whose load changes at random; now and then it gets or loses many requests at once.
class RandomEngine
{
public:
    explicit RandomEngine(unsigned seed)
        : random_(seed)
    { }

    const SidecarReport &next()
    {
        EngineReport &engine = report_.engine_;
        if (below(40) == 0)
            level_ = below(60);
        engine.queued_ = std::max(0, engine.queued_ + below(5) - 2 + (level_ > engine.queued_));
        engine.prefilling_ = below(4);
        engine.running_ = std::max(0, engine.running_ + below(9) - 4);
        engine.kvUsed_ =
            std::clamp<std::int64_t>(engine.kvUsed_ + below(16'000) - 7'900, 0, engine.kvTotal_);
        report_.evictionCost_ = below(30) == 0 ? below(400) / 100.0 : report_.evictionCost_ * 0.99;
        if (below(50) == 0)
            engine.queued_ = level_;
        return report_;
    }

private:
    int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); }

    std::mt19937 random_;
    SidecarReport report_ = idleEngine();
    int level_ = 10;
};

// The expected time of a request at one engine, by what an entry knows and as it is.
struct Estimate
{
    Duration known_;
    Duration actual_;
};

Estimate estimate(const SidecarReport &known, const SidecarReport &actual,
                  const std::string &adapter, std::int64_t promptTokens)
{
    Target targets[2];
    for (Target &target : targets) {
        target.record_.instance_ = "e"; // the same rank
        target.reportedAt_ = kStart;
        target.isAgentConnected_ = true;
    }
    targets[0].report_ = known.engine_;
    targets[0].evictionCost_ = known.evictionCost_;
    targets[1].report_ = actual.engine_;
    targets[1].evictionCost_ = actual.evictionCost_;
    PlacementRequest request;
    request.isEngine_ = true;
    request.model_ = "m";
    request.adapter_ = adapter;
    request.promptTokens_ = promptTokens;
    const PlacementChoice choice = Placement().choose({&targets[0], &targets[1]}, request, kStart);
    return {choice.candidates_.at(0).expected_, choice.candidates_.at(1).expected_};
}

// Returns the free KV memory of the report in tokens; a request with a longer prompt waits.
std::int64_t freeMemory(const SidecarReport &report)
{
    return report.engine_.kvTotal_ * 92 / 100 - report.engine_.kvUsed_;
}

} // namespace

// Guards against callers that are sent to a loaded engine because its sidecar reports too seldom.
TEST_CASE("after each poll the error of the expected time is within the tolerance, or a report was "
          "sent a short time ago")
{
    constexpr std::size_t kEntries = 68;
    int checks = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        RandomEngine engine(seed);
        ReportSchedule schedule(milliseconds(120));
        TimePoint now = kStart;
        TimePoint sentAt{};
        for (int poll = 0; poll < 500; ++poll, now += kPoll) {
            const SidecarReport report = engine.next();
            if (schedule.isDue(report, kEntries, now)) {
                schedule.recordSent(report, now);
                sentAt = now;
            }
            if (now - sentAt < ReportSchedule::kMinInterval)
                continue;
            const SidecarReport &known = schedule.sent();
            for (const std::int64_t tokens : {0, 200, 1000, 4000, 16'000}) {
                // A prompt that is about as long as the free memory is a close decision anyway.
                const std::int64_t near = ReportSchedule::memoryTolerance(known.engine_);
                if (std::abs(freeMemory(known) - tokens) <= near + 1)
                    continue;
                for (const char *adapter : {"a", "not loaded"}) {
                    CAPTURE(seed);
                    CAPTURE(poll);
                    CAPTURE(tokens);
                    const Estimate time = estimate(known, report, adapter, tokens);
                    const Duration bound = ReportSchedule::tolerance(known, report)
                        * std::max<std::int64_t>(tokens, ReportSchedule::kNominalPromptTokens)
                        / ReportSchedule::kNominalPromptTokens;
                    const Duration rounding(50);
                    CHECK(std::abs((time.known_ - time.actual_).count())
                          <= (bound + rounding).count());
                    ++checks;
                }
            }
        }
    }
    CHECK(checks > 10'000);
}

// Guards against entries that take an engine for unreachable: kMaxReportAge in relay.cpp.
TEST_CASE("entries never wait for a report longer than they allow")
{
    for (const std::size_t entries : {1, 68, 420, 5'000}) {
        ReportSchedule schedule(milliseconds(120));
        TimePoint now = kStart;
        TimePoint sentAt = kStart;
        for (int poll = 0; poll < 200; ++poll, now += kPoll + milliseconds(poll % 7)) {
            CHECK(now - sentAt < milliseconds(800) - milliseconds(290));
            if (!schedule.isDue(idleEngine(), entries, now))
                continue;
            schedule.recordSent(idleEngine(), now);
            sentAt = now;
        }
    }
}

// Guards against a load on entries that grows without need: with a fixed interval an idle engine
// sent four reports a second to each.
TEST_CASE("the rate of reports follows the need and the number of entries")
{
    const auto reportsOf = [](std::size_t entries, auto next) {
        ReportSchedule schedule(milliseconds(120));
        int reports = 0;
        for (TimePoint now = kStart; now < kStart + std::chrono::seconds(100); now += kPoll) {
            const SidecarReport report = next();
            if (!schedule.isDue(report, entries, now))
                continue;
            schedule.recordSent(report, now);
            ++reports;
        }
        return reports;
    };
    const auto steady = [i = 0]() mutable {
        SidecarReport report = idleEngine();
        report.engine_.queued_ = 20;
        report.engine_.running_ = 40 + ++i % 5;
        report.engine_.prefilling_ = i % 3;
        report.engine_.kvUsed_ = 100'000 + i % 10 * 500;
        return report;
    };
    const double maxAgeRate = 1 / 0.484; // each fourth poll
    CHECK(reportsOf(68, [] { return idleEngine(); }) <= 100 * maxAgeRate + 1);
    CHECK(reportsOf(68, steady) <= 100 * maxAgeRate + 1);
    CHECK(reportsOf(68, [e = RandomEngine(1)]() mutable { return e.next(); }) <= 100 / 0.242 + 1);
    CHECK(reportsOf(420, [e = RandomEngine(1)]() mutable { return e.next(); })
          <= 100 * maxAgeRate + 1);
}

// Guards against entries that load an adapter twice or send requests to an engine without it.
TEST_CASE("changes of the engine's state are due at once")
{
    struct Case
    {
        const char *name_;
        void (*change_)(SidecarReport &report);
        bool isDue_;
    };
    const Case cases[] = {
        {"nothing", [](SidecarReport &) {}, false},
        {"adapter", [](SidecarReport &r) { r.engine_.models_[0].adapters_["b"] = 1; }, true},
        {"version", [](SidecarReport &r) { r.engine_.models_[0].adapters_["a"] = 2; }, true},
        {"model", [](SidecarReport &r) { r.engine_.models_.clear(); }, true},
        {"load",
         [](SidecarReport &r) {
             r.engine_.loading_ = {"m/x", "m/z"};
         },
         true},
        {"order of loads",
         [](SidecarReport &r) {
             r.engine_.loading_ = {"m/y", "m/x"};
         },
         false},
        {"incarnation", [](SidecarReport &r) { r.engine_.startTimeMs_ = 6; }, true},
        {"draining", [](SidecarReport &r) { r.engine_.isDraining_ = true; }, true},
        {"queue, shortly after a report", [](SidecarReport &r) { r.engine_.queued_ = 9; }, false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        SidecarReport before = idleEngine();
        before.engine_.loading_ = {"m/x", "m/y"};
        ReportSchedule schedule(milliseconds(120));
        CHECK(schedule.isDue(before, 68, kStart));
        schedule.recordSent(before, kStart);
        SidecarReport after = before;
        c.change_(after);
        CHECK(schedule.isDue(after, 68, kStart + milliseconds(1)) == c.isDue_);
        CHECK(schedule.isDue(after, 0, kStart + milliseconds(1)));
    }
}

// Guards against entries that send prompts to a stalled engine until its load has changed.
TEST_CASE("a change of the speed is due as soon as the rate of reports allows")
{
    SidecarReport report = idleEngine();
    ReportSchedule schedule(milliseconds(120));
    schedule.recordSent(report, kStart);
    const TimePoint next = kStart + ReportSchedule::kMinInterval;
    CHECK_FALSE(schedule.isDue(report, 28, next));
    report.speed_.isStalled_ = true;
    CHECK_FALSE(schedule.isDue(report, 28, next - milliseconds(1)));
    CHECK(schedule.isDue(report, 28, next));
}

} // namespace foxtailturn::gateway
