#pragma once

// How far an event loop is behind: the longest time for which the bytes that a handler is about to
// read may have been ready.
//
//     LoopLag lag(clock.now());
//     lag.beginTurn(clock.now());                  // the loop, before it takes a handler
//     const TimePoint ready = lag.readySince(clock.now());  // the handler, before it reads
//     lag.nothingReady();                          // the loop, if there was no handler
//     lag.beginWait();                             // the loop, if it waits in the next turn
//
// What is ready became so after the loop last had nothing ready. The loop learns this from a poll
// or a wait that ends without a handler. Only behind one of these can a handler have been waited
// for, namely if it tells its start, and that is kMinWait after the turn began; otherwise the time
// may be that of ready handlers, or a pause of the process. A pause during such a wait is not seen.

#include "base/clock.h"

namespace foxtailturn {

// Not thread-safe.
class LoopLag
{
public:
    // Shorter waits are not told from other delays.
    static constexpr Duration kMinWait = std::chrono::milliseconds(1);
    // The loop polls if it has not had nothing ready for this long.
    static constexpr Duration kPollInterval = std::chrono::milliseconds(5);
    // Longest single wait. Two of them bound the wait that counts as lag behind a handler that did
    // not tell its start.
    static constexpr Duration kMaxWait = std::chrono::milliseconds(20);

    // Nothing was ready before now.
    explicit LoopLag(TimePoint now)
        : idleAt_(now)
        , turnBegan_(now)
    { }

    // The loop is about to poll, or to wait.
    void beginTurn(TimePoint now);

    // The turn ended without a handler, so that nothing was ready when it began.
    void nothingReady() { idleAt_ = turnBegan_; }

    // The loop waits in this turn, and nothing was ready before it.
    void beginWait() { isWaiting_ = true; }

    // Returns whether the loop should poll before it waits, so that a busy loop is told from one
    // that waits for short times.
    [[nodiscard]] bool needsPoll(TimePoint now) const { return now - idleAt_ >= kPollInterval; }

    // Returns the lag of the turn's handler if the loop has not waited for it.
    [[nodiscard]] Duration lagOfTurn() const { return turnBegan_ - idleAt_; }

    // Returns a time at or after which what is ready now became ready.
    [[nodiscard]] TimePoint readySince(TimePoint now);

private:
    TimePoint idleAt_;
    TimePoint turnBegan_;
    bool isWaiting_ = false;
};

} // namespace foxtailturn
