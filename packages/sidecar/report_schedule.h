#pragma once

// Decides when a sidecar reports its engine's state to the connected entries.
//
//     ReportSchedule schedule(kPollInterval);
//     if (schedule.isDue(report, entries, now)) {
//         server.sendAll(encodeUpdate(schedule.sent(), report));
//         schedule.recordSent(report, now);
//     }
//
// Changes of models, adapters, loads, the incarnation and draining are due at once. Load figures
// are due when they change the expected time at the engine, as Placement estimates it, by more than
// tolerance(), but not more often than minInterval() allows. Without such changes a report is due
// before kMaxAge, as entries take an engine without recent reports for unreachable.

#include <cstddef>

#include "base/clock.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class ReportSchedule
{
public:
    // Greatest age of the last report when the next one is sent. Entries need one each 800 ms, and
    // may read it about 290 ms late.
    static constexpr Duration kMaxAge = std::chrono::milliseconds(500);
    // Shortest interval between two reports of load figures.
    static constexpr Duration kMinInterval = std::chrono::milliseconds(200);
    // Reports of load figures that a sidecar sends to all its entries together. With so many
    // entries that kMaxAge requires more, they are sent at that rate.
    static constexpr int kMaxLinesPerSecond = 500;
    // Smallest error of the expected time that is reported.
    static constexpr Duration kMinTolerance = std::chrono::milliseconds(25);
    // Prompt for which errors are estimated. They are proportional to it for longer prompts.
    static constexpr int kNominalPromptTokens = 1000;

    // pollInterval is the time between two calls of isDue() without pending loads.
    explicit ReportSchedule(Duration pollInterval)
        : pollInterval_(pollInterval)
    { }

    // Returns whether the report has to be sent now to the given number of entries.
    [[nodiscard]] bool isDue(const SidecarReport &report, std::size_t entries, TimePoint now) const;

    void recordSent(const SidecarReport &report, TimePoint now);

    // Returns the last report; the default one if there is none.
    [[nodiscard]] const SidecarReport &sent() const { return sent_; }

    // Returns the shortest interval between two reports of load figures. Thread-safe.
    [[nodiscard]] static Duration minInterval(std::size_t entries);

    // Returns the largest difference of the expected times by two reports, for any request with a
    // nominal prompt. Leaves KV memory out. Thread-safe.
    [[nodiscard]] static Duration timeError(const SidecarReport &a, const SidecarReport &b);

    // Returns the error of the expected time up to which a report need not be sent. Thread-safe.
    [[nodiscard]] static Duration tolerance(const SidecarReport &a, const SidecarReport &b);

    // Returns the change of used KV memory, in tokens, up to which a report need not be sent. It
    // falls with the free memory, as a prompt that doesn't fit costs much. Thread-safe.
    [[nodiscard]] static std::int64_t memoryTolerance(const EngineReport &report);

private:
    Duration pollInterval_;
    SidecarReport sent_;
    TimePoint sentAt_{}; // zero: no report yet
};

} // namespace foxtailturn::gateway
