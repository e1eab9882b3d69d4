#pragma once

// Work that no caller waits for, such as reports of sidecars and rows of the store. It is done in
// short slices while the event loop has nothing else ready, and a small share of it is done even
// if something always is.
//
//     DeferredWork work(clock);
//     ReportQueue reports(work, handlers);    // a WorkSource, which registers itself
//     runLoop(context, work, meter);          // event_loop.h

#include <optional>
#include <vector>

#include "base/clock.h"
#include "net/loop_meter.h"

namespace foxtailturn {

// A queue of work. Not thread-safe.
class WorkSource
{
public:
    virtual ~WorkSource() = default;

    [[nodiscard]] virtual bool isWaiting() const = 0;

    // Returns as which kind of work its steps count.
    [[nodiscard]] virtual WorkKind kind() const = 0;

    // Does the next piece of work, which must be short, as nothing else runs meanwhile.
    // Precondition: isWaiting().
    virtual void step() = 0;
};

// Not thread-safe. Sources may be added to from within their steps.
class DeferredWork
{
public:
    // Longest time of a slice while nothing else is ready; the last step may exceed it.
    static constexpr Duration kSliceTime = std::chrono::milliseconds(2);
    // While something else is always ready, a shorter slice runs at this interval.
    static constexpr Duration kBusySliceTime = std::chrono::milliseconds(1);
    static constexpr Duration kBusyInterval = std::chrono::milliseconds(20);

    // The clock and the meter, if any, must outlive this object.
    explicit DeferredWork(const Clock &clock, LoopMeter *meter = nullptr);

    // Sources have priority in the order in which they were added, but each has at least one step
    // in each slice. A source must outlive this object or be removed.
    void add(WorkSource &source);
    void remove(WorkSource &source);

    [[nodiscard]] bool isWaiting() const;

    // Runs a slice. For an event loop that has nothing else ready.
    void runSlice();

    // Runs a short slice if none has been run for kBusyInterval. For an event loop after each
    // handler that was ready.
    void runShare();

private:
    void run(Duration time);

    const Clock &clock_;
    LoopMeter *meter_;
    std::vector<WorkSource *> sources_;
    std::optional<TimePoint> heldUpSince_; // without a slice, though work waits
};

} // namespace foxtailturn
