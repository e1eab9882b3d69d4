#include "sidecar/report_schedule.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace foxtailturn::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// What Placement::engineTime() adds for each request, with a nominal prompt for kTimePerPrompt.
constexpr Duration kTimePerPrompt = microseconds(16'667);
constexpr Duration kTimePerQueued = milliseconds(30);
constexpr Duration kTimePerRunning = microseconds(700);
constexpr Duration kTimePerEvictedUse = milliseconds(200);
constexpr double kMaxEvictedUses = 2; // more count as this

constexpr int kTolerancesPerTime = 16; // of the expected time
constexpr std::int64_t kFullPercent = 92; // of the KV memory; beyond it a request waits
constexpr std::int64_t kMinMemoryTolerancePercent = 2;

// Returns whether entries act on the change whatever the load is.
bool isStateChanged(const EngineReport &a, const EngineReport &b)
{
    return a.startTimeMs_ != b.startTimeMs_ || a.isDraining_ != b.isDraining_
        || a.kvTotal_ != b.kvTotal_ || a.models_ != b.models_
        || a.loading_.size() != b.loading_.size()
        || !std::is_permutation(a.loading_.begin(), a.loading_.end(), b.loading_.begin());
}

Duration loadTime(const EngineReport &report)
{
    return kTimePerPrompt * (report.queued_ + report.prefilling_) + kTimePerQueued * report.queued_
        + kTimePerRunning * report.running_;
}

} // namespace

bool ReportSchedule::isDue(const SidecarReport &report, std::size_t entries, TimePoint now) const
{
    // A new connection gets the last report, so it is renewed while nobody listens.
    if (entries == 0 || sentAt_ == TimePoint{} || isStateChanged(sent_.engine_, report.engine_))
        return true;
    if (now + pollInterval_ > sentAt_ + kMaxAge)
        return true;
    if (now < sentAt_ + minInterval(entries))
        return false;
    return sent_.speed_ != report.speed_ || timeError(sent_, report) > tolerance(sent_, report)
        || std::abs(sent_.engine_.kvUsed_ - report.engine_.kvUsed_)
        > memoryTolerance(sent_.engine_);
}

void ReportSchedule::recordSent(const SidecarReport &report, TimePoint now)
{
    sent_ = report;
    sentAt_ = now;
}

Duration ReportSchedule::minInterval(std::size_t entries)
{
    constexpr Duration kSecond = std::chrono::seconds(1);
    const Duration forAll = kSecond * static_cast<Duration::rep>(entries) / kMaxLinesPerSecond;
    return std::clamp(forAll, kMinInterval, kMaxAge);
}

Duration ReportSchedule::timeError(const SidecarReport &a, const SidecarReport &b)
{
    const EngineReport &x = a.engine_;
    const EngineReport &y = b.engine_;
    // Differences of opposite signs don't compensate each other for all prompts.
    const int prompts = std::abs(x.queued_ + x.prefilling_ - y.queued_ - y.prefilling_);
    const double evicted = std::abs(std::min(a.evictionCost_, kMaxEvictedUses)
                                    - std::min(b.evictionCost_, kMaxEvictedUses));
    return kTimePerPrompt * prompts + kTimePerQueued * std::abs(x.queued_ - y.queued_)
        + kTimePerRunning * std::abs(x.running_ - y.running_)
        + std::chrono::duration_cast<Duration>(kTimePerEvictedUse * evicted);
}

Duration ReportSchedule::tolerance(const SidecarReport &a, const SidecarReport &b)
{
    const Duration expected = std::max(loadTime(a.engine_), loadTime(b.engine_));
    return std::max(kMinTolerance, expected / kTolerancesPerTime);
}

std::int64_t ReportSchedule::memoryTolerance(const EngineReport &report)
{
    constexpr std::int64_t kTolerancesPerFree = 4;
    const std::int64_t free = report.kvTotal_ * kFullPercent / 100 - report.kvUsed_;
    return std::max(free / kTolerancesPerFree, report.kvTotal_ * kMinMemoryTolerancePercent / 100);
}

} // namespace foxtailturn::gateway
