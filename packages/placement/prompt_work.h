#pragma once

// The time that an engine needs to read the prompts it has, as its sidecar knows it.
//
//     PromptWork work;
//     work.add(readTime, now);              // an entry has sent a prompt
//     work.onEngineReport(unread, now);     // prompts in prefill or queued at the engine
//     const Duration ahead = work.left(now);
//
// An engine reads prompts one after the other, so the work falls with time. Entries say how long
// each of their prompts is expected to take; the engine's report says how many are unread, which
// corrects the estimate for an engine that is faster or slower than they expect.

#include <deque>

#include "base/clock.h"

namespace foxtailturn::placement {

// Not thread-safe.
class PromptWork
{
public:
    // Time from the notice of a prompt until the engine's report counts it at the latest.
    static constexpr Duration kSendTime = std::chrono::milliseconds(30);

    // Records a prompt that an entry is about to send. readTime leaves out cached tokens.
    void add(Duration readTime, TimePoint now);

    // Records how many prompts the engine has that it has not finished reading.
    void onEngineReport(int unread, TimePoint now);

    // Forgets all prompts: the engine has started again.
    void clear() { *this = {}; }

    // Returns the expected time until all prompts are read.
    [[nodiscard]] Duration left(TimePoint now) const;

private:
    struct Prompt
    {
        Duration readTime_{};
        TimePoint sentAt_{};
    };

    std::deque<Prompt> prompts_; // not known to be read, in the order of their notices
    TimePoint endsAt_{}; // when all are expected to be read
};

} // namespace foxtailturn::placement
