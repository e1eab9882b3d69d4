#include "placement/speed_meter.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace foxtailturn::placement {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A shorter interval holds too few tokens.
constexpr Duration kMinInterval = milliseconds(100);
constexpr Duration kMaxInterval = milliseconds(400);
constexpr Duration kMaxSampleAge = seconds(60);
constexpr std::size_t kMaxSamples = 25;
constexpr std::size_t kMinSamples = 3;
// How much longer a step takes for each running request and each of their tokens in memory,
// relative to an empty batch.
constexpr double kCostPerRun = 0.0044;
constexpr double kCostPerToken = 2.6e-6;
constexpr int kStepsPerDoubling = 12;
constexpr double kStallFactor = 1.7;
constexpr Duration kMaxStallAge = milliseconds(400); // of the sample that shows it

double loadFactor(const std::vector<EngineRun> &runs)
{
    double factor = 1;
    for (const EngineRun &run : runs)
        factor += kCostPerRun + kCostPerToken * static_cast<double>(run.tokens_);
    return factor;
}

Duration rounded(Duration time)
{
    const double steps =
        std::round(std::log2(static_cast<double>(time.count())) * kStepsPerDoubling);
    return Duration(std::llround(std::exp2(steps / kStepsPerDoubling)));
}

} // namespace

void SpeedMeter::beginInterval(const std::vector<EngineRun> &runs, TimePoint now)
{
    begin_.clear();
    for (const EngineRun &run : runs)
        begin_[run.id_] = run.tokens_;
    beganAt_ = now;
}

void SpeedMeter::record(const EngineProgress &progress, TimePoint now)
{
    const std::vector<EngineRun> &runs = progress.runs_;
    if (progress.startTimeMs_ != startTimeMs_) {
        *this = SpeedMeter();
        startTimeMs_ = progress.startTimeMs_;
    }
    while (!samples_.empty() && samples_.front().at_ + kMaxSampleAge <= now)
        samples_.pop_front();
    if (runs.empty() || progress.prompts_ > 0) {
        begin_.clear();
        return;
    }
    std::int64_t tokens = 0;
    bool isSameBatch = true;
    for (const EngineRun &run : runs) {
        const auto before = begin_.find(run.id_);
        isSameBatch = isSameBatch && before != begin_.end();
        if (before != begin_.end())
            tokens += run.tokens_ - before->second;
    }
    const Duration elapsed = now - beganAt_;
    // A run that wasn't there before has had its prompt read since.
    if (!isSameBatch || elapsed > kMaxInterval) {
        beginInterval(runs, now);
        return;
    }
    if (elapsed < kMinInterval || tokens <= 0)
        return;
    // The runs advance together, but a report counts their tokens by whole events.
    const double perToken = static_cast<double>(elapsed.count()) * static_cast<double>(runs.size())
        / static_cast<double>(tokens);
    samples_.push_back({now, Duration(std::llround(perToken / loadFactor(runs)))});
    if (samples_.size() > kMaxSamples)
        samples_.pop_front();
    beginInterval(runs, now);
}

Duration SpeedMeter::usual() const
{
    if (samples_.size() < kMinSamples)
        return Duration::zero();
    std::vector<Duration> times;
    times.reserve(samples_.size());
    for (const Sample &sample : samples_)
        times.push_back(sample.stepTime_);
    std::sort(times.begin(), times.end());
    const auto outside = static_cast<std::ptrdiff_t>(times.size() / 4);
    const Duration sum =
        std::accumulate(times.begin() + outside, times.end() - outside, Duration::zero());
    return sum / (static_cast<Duration::rep>(times.size()) - 2 * outside);
}

Duration SpeedMeter::stepTime() const
{
    const Duration time = usual();
    return time > Duration::zero() ? rounded(time) : Duration::zero();
}

bool SpeedMeter::isStalled(TimePoint now) const
{
    const Duration typical = usual();
    return typical > Duration::zero() && now < samples_.back().at_ + kMaxStallAge
        && samples_.back().stepTime_ > kStallFactor * typical;
}

} // namespace foxtailturn::placement
