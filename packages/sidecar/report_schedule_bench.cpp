// Compares rules for when a sidecar reports, on simulated engines with a growing load: reports a
// second, bytes a second, and the error of the expected time that entries go by.
//
//     report_schedule_bench

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <random>

#include "gateway/agent_messages.h"
#include "sidecar/report_schedule.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kPoll = milliseconds(121);
constexpr Duration kStep = milliseconds(5);
constexpr Duration kFixedInterval = milliseconds(200);
constexpr Duration kLength = std::chrono::seconds(600);
constexpr int kMaxRunning = 64;
constexpr double kPrefillRate = 30; // tokens per millisecond
constexpr int kMeanPrompt = 1000; // tokens
constexpr double kMeanDecodeMillis = 1500;
constexpr std::size_t kMaxQueued = 40; // more are rejected

// Requests arrive in a Poisson process whose rate varies; prompts are prefilled one after the
// other.
class SimulatedEngine
{
public:
    explicit SimulatedEngine(double load)
        : load_(load)
    {
        report_.engine_.startTimeMs_ = 1'700'000'000'123;
        report_.engine_.kvTotal_ = 262'144;
        report_.engine_.models_ = {{"m", {{"a1", 1}, {"a2", 1}}}};
    }

    const SidecarReport &step()
    {
        constexpr double kStepMillis = 5;
        constexpr double kCapacity = kPrefillRate / kMeanPrompt; // requests per millisecond
        surge_ += (1 - surge_) * 0.002 + std::normal_distribution<double>(0, 0.02)(random_);
        surge_ = std::clamp(surge_, 0.0, 3.0);
        const double arrivals = load_ * surge_ * kCapacity * kStepMillis;
        for (int n = std::poisson_distribution<int>(arrivals)(random_);
             n > 0 && queue_.size() < kMaxQueued; --n)
            queue_.push_back(std::exponential_distribution<double>(1.0 / kMeanPrompt)(random_));
        prefill(kPrefillRate * kStepMillis);
        std::erase_if(decoding_, [](double &left) { return (left -= kStepMillis) <= 0; });
        EngineReport &engine = report_.engine_;
        engine.prefilling_ = static_cast<int>(std::min<std::size_t>(queue_.size(), 2));
        engine.queued_ = static_cast<int>(queue_.size()) - engine.prefilling_;
        engine.running_ = static_cast<int>(decoding_.size()) + engine.prefilling_;
        engine.kvUsed_ = static_cast<std::int64_t>(decoding_.size()) * 1500;
        return report_;
    }

private:
    void prefill(double tokens)
    {
        while (tokens > 0 && !queue_.empty() && decoding_.size() < kMaxRunning) {
            const double done = std::min(tokens, queue_.front());
            queue_.front() -= done;
            tokens -= done;
            if (queue_.front() > 0)
                return;
            queue_.pop_front();
            decoding_.push_back(
                std::exponential_distribution<double>(1 / kMeanDecodeMillis)(random_));
        }
    }

    std::mt19937 random_{1};
    double load_;
    double surge_ = 1;
    std::deque<double> queue_; // prompt tokens left
    std::vector<double> decoding_; // milliseconds left
    SidecarReport report_;
};

struct Outcome
{
    double reportsPerSecond_ = 0;
    double bytesPerSecond_ = 0;
    double meanTime_ = 0; // expected time, milliseconds
    double meanError_ = 0; // milliseconds
    double highError_ = 0; // milliseconds, 99th percentile
};

double millisOf(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

using Rule = std::function<bool(const SidecarReport &report, TimePoint now)>;

Outcome simulate(double load, const Rule &isDue,
                 const std::function<void(const SidecarReport &, TimePoint)> &onSent)
{
    SimulatedEngine engine(load);
    SidecarReport known;
    std::vector<double> errors;
    double times = 0; // milliseconds
    std::size_t reports = 0;
    std::size_t bytes = 0;
    const TimePoint start = TimePoint(std::chrono::hours(1));
    TimePoint pollAt = start;
    for (TimePoint now = start; now < start + kLength; now += kStep) {
        const SidecarReport &actual = engine.step();
        if (now >= pollAt) {
            pollAt += kPoll;
            if (isDue(actual, now)) {
                bytes += encodeUpdate(known, actual).size();
                ++reports;
                known = actual;
                onSent(actual, now);
            }
        }
        errors.push_back(millisOf(ReportSchedule::timeError(known, actual)));
        times += millisOf(ReportSchedule::timeError({}, actual));
    }
    const double length = std::chrono::duration<double>(kLength).count();
    Outcome outcome{static_cast<double>(reports) / length, static_cast<double>(bytes) / length};
    outcome.meanTime_ = times / static_cast<double>(errors.size());
    for (const double error : errors)
        outcome.meanError_ += error / static_cast<double>(errors.size());
    const auto high = errors.begin() + static_cast<std::ptrdiff_t>(errors.size() * 99 / 100);
    std::nth_element(errors.begin(), high, errors.end());
    outcome.highError_ = *high;
    return outcome;
}

void print(const char *rule, double load, const Outcome &outcome)
{
    std::printf("%-22s %5.2f %10.2f %10.0f %10.1f %11.1f %11.1f\n", rule, load,
                outcome.reportsPerSecond_, outcome.bytesPerSecond_, outcome.meanTime_,
                outcome.meanError_, outcome.highError_);
}

int benchAll()
{
    std::printf("%-22s %5s %10s %10s %10s %11s %11s\n", "rule", "load", "reports/s", "bytes/s",
                "time, ms", "mean error", "p99, ms");
    for (const double load : {0.0, 0.2, 0.5, 0.8, 0.95, 1.1}) {
        TimePoint next{};
        print("fixed interval", load,
              simulate(
                  load, [&next](const SidecarReport &, TimePoint now) { return now >= next; },
                  [&next](const SidecarReport &, TimePoint now) { next = now + kFixedInterval; }));
        for (const std::size_t entries : {68, 420}) {
            ReportSchedule schedule(milliseconds(120));
            print(entries == 68 ? "schedule, 68 entries" : "schedule, 420 entries", load,
                  simulate(
                      load,
                      [&](const SidecarReport &report, TimePoint now) {
                          return schedule.isDue(report, entries, now);
                      },
                      [&](const SidecarReport &report, TimePoint now) {
                          schedule.recordSent(report, now);
                      }));
        }
    }
    return 0;
}

} // namespace
} // namespace foxtailturn::gateway

int main()
{
    return foxtailturn::gateway::benchAll();
}
