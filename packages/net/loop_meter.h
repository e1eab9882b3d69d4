#pragma once

// Where the time of an entry's event loop goes, by kind of work, and how far the loop is behind.
//
//     LoopMeter meter(clock, metrics);
//     const LoopMeter::Scope scope(&meter, WorkKind::Callers);    // in a handler
//     receivedAt_ = meter.readySince();
//
// A scope within another one counts for its own kind only. Each costs two readings of the clock.

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include "base/clock.h"
#include "base/metrics.h"
#include "net/loop_lag.h"

namespace foxtailturn {

enum class WorkKind { Callers, Targets, Reports, Records, Peers, Store, Log, Upkeep };

inline constexpr std::size_t kWorkKinds = 8;

[[nodiscard]] std::string_view workKindName(WorkKind kind);

// A loop that is behind, and the work of the last interval.
struct LoopBehind
{
    Duration lag_{}; // longest
    WorkKind kind_ = WorkKind::Upkeep; // that took the most time
    Duration spent_{}; // by that kind
    Duration interval_{};

    bool operator==(const LoopBehind &) const = default;
};

// Not thread-safe.
class LoopMeter
{
public:
    // A loop with a longer lag is behind.
    static constexpr Duration kBehind = std::chrono::milliseconds(100);
    static constexpr Duration kReportInterval = std::chrono::seconds(1);

    // The work of a handler, or of a part of it. Without a meter it does nothing.
    class Scope
    {
    public:
        Scope(LoopMeter *meter, WorkKind kind)
            : meter_(meter)
            , outer_(meter == nullptr ? std::nullopt : meter->enter(kind))
        { }
        ~Scope()
        {
            if (meter_ != nullptr)
                meter_->leave(outer_);
        }
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        LoopMeter *meter_;
        std::optional<WorkKind> outer_;
    };

    // The clock and the registry must outlive the meter.
    LoopMeter(const Clock &clock, MetricRegistry &metrics);

    // The loop is about to poll, or to wait; see LoopLag. Returns whether it should poll.
    [[nodiscard]] bool beginTurn();

    // The turn has run a handler, which need not have had a scope.
    void handlerRan() { longestLag_ = std::max(longestLag_, lag_.lagOfTurn()); }

    // The turn ended without a handler.
    void nothingReady() { lag_.nothingReady(); }

    // The loop waits in this turn, and nothing was ready before it.
    void beginWait() { lag_.beginWait(); }

    // Returns a time at or after which the bytes that the current handler reads became ready; now
    // outside of a handler's scope.
    [[nodiscard]] TimePoint readySince() const;

    // Records how long something of a kind has waited to be handled.
    void recordWait(WorkKind kind, Duration wait);

    // Returns the work of the interval since the last call that returned something, if the loop
    // was behind in it and kReportInterval has passed.
    [[nodiscard]] std::optional<LoopBehind> takeBehind();

private:
    struct Kind
    {
        Counter *busyMicros_ = nullptr;
        LatencyMetric *lag_ = nullptr;
        Duration spent_{}; // in the current interval
    };

    [[nodiscard]] std::optional<WorkKind> enter(WorkKind kind);
    void leave(std::optional<WorkKind> outer);
    void charge(TimePoint now);
    Kind &kindOf(WorkKind kind) { return kinds_[static_cast<std::size_t>(kind)]; }

    const Clock &clock_;
    LoopLag lag_;
    std::array<Kind, kWorkKinds> kinds_;
    std::optional<WorkKind> current_;
    TimePoint chargedUntil_{}; // of the current kind
    TimePoint readySince_{};
    Duration longestLag_{};
    TimePoint intervalBegan_;
};

} // namespace foxtailturn
