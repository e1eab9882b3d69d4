#pragma once

// Measures how fast an engine decodes, from its reports.
//
//     SpeedMeter meter;
//     meter.record({startTimeMs, prompts, runs}, now);   // each report of the engine
//     if (meter.stepTime() > Duration::zero()) { ... }
//
// A sample is the time per token of the runs that decode between two reports, while no prompt is
// read. It is scaled to an empty batch, so that a loaded engine isn't taken for a slow one. The
// speed that lasts is the interquartile mean of recent samples; the engine is stalled while the
// last sample is far above it.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace foxtailturn::placement {

// A request that an engine runs.
struct EngineRun
{
    std::string id_;
    std::int64_t tokens_ = 0; // in memory
    std::int64_t events_ = 0; // made so far

    bool operator==(const EngineRun &) const = default;
};

// What the meter reads of an engine's report.
struct EngineProgress
{
    std::int64_t startTimeMs_ = 0; // of the incarnation
    int prompts_ = 0; // that are being read
    const std::vector<EngineRun> &runs_;
};

// Not thread-safe.
class SpeedMeter
{
public:
    // Records a report. Another incarnation is measured anew.
    void record(const EngineProgress &progress, TimePoint now);

    // Returns the time per token with an empty batch, rounded to steps of about 6 %; zero while it
    // is not known.
    [[nodiscard]] Duration stepTime() const;

    // Returns whether the engine decodes much slower than usual now.
    [[nodiscard]] bool isStalled(TimePoint now) const;

private:
    struct Sample
    {
        TimePoint at_{};
        Duration stepTime_{};
    };

    using Tokens = std::map<std::string, std::int64_t>; // in memory, by run

    void beginInterval(const std::vector<EngineRun> &runs, TimePoint now);
    [[nodiscard]] Duration usual() const;

    std::int64_t startTimeMs_ = 0;
    Tokens begin_; // of the report that began the interval; empty: none is under way
    TimePoint beganAt_{};
    std::deque<Sample> samples_; // the oldest first
};

} // namespace foxtailturn::placement
