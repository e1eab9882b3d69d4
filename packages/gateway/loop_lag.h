#pragma once

// How far an event loop is behind: the longest time for which the bytes that a handler is about to
// read may have been ready.
//
//     LoopLag lag(clock.now());
//     lag.beginTurn(clock.now());                  // the loop, before it takes a handler
//     const TimePoint ready = lag.readySince(clock.now());  // the handler, before it reads
//
// What is ready became so after the loop last had nothing ready. The loop learns this from a poll
// that finds nothing, and from a wait: a handler that starts kMinWait after the loop asked for it
// was waited for. A pause of the process while the loop waits is not seen.

#include "base/clock.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class LoopLag
{
public:
    // Shorter waits are not told from other delays.
    static constexpr Duration kMinWait = std::chrono::milliseconds(1);
    // The loop polls if it has not had nothing ready for this long.
    static constexpr Duration kPollInterval = std::chrono::milliseconds(5);

    // Nothing was ready before now.
    explicit LoopLag(TimePoint now)
        : idleAt_(now)
        , turnBegan_(now)
    { }

    // The loop is about to take the next handler, or to wait for it.
    void beginTurn(TimePoint now);

    // A poll has found nothing ready.
    void nothingReady(TimePoint now) { idleAt_ = now; }

    // Returns whether the loop should poll before it waits, so that a busy loop is told from one
    // that waits for short times.
    [[nodiscard]] bool needsPoll(TimePoint now) const { return now - idleAt_ >= kPollInterval; }

    // Returns a time at or after which what is ready now became ready.
    [[nodiscard]] TimePoint readySince(TimePoint now);

private:
    TimePoint idleAt_;
    TimePoint turnBegan_;
    bool hasStart_ = true; // of the turn's handler
};

} // namespace foxtailturn::gateway
