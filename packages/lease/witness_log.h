#pragma once

// A witness's memory of the holders that contacted it. Each process keeps one.
//
//     WitnessLog witness(incarnation, clock);
//     reply(witness.onContact(contact));
//     reply(witness.onFence(request));
//
// The memory is lost with the process; therefore it answers only messages that name its own
// incarnation, and never those for an earlier one.

#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "lease/messages.h"

namespace foxtailturn {

// Thread-safe.
class WitnessLog
{
public:
    // self is this incarnation's id. clock must outlive the log.
    WitnessLog(std::string self, const Clock &clock);

    // Records a contact unless the holder is fenced here or the message is for another incarnation.
    [[nodiscard]] WitnessAnswer onContact(const WitnessContact &contact);

    // Fences the holder if it made no contact for the required time and this log is at least that
    // old. A fence holds for the lifetime of the process.
    [[nodiscard]] FenceAnswer onFence(const FenceRequest &request);

private:
    struct Entry
    {
        TimePoint contactAt_;
        bool fenced_ = false;
    };

    std::string self_;
    const Clock &clock_;
    TimePoint startedAt_;
    std::mutex mutex_;
    // Never shrinks: a forgotten fence would let a paused holder renew. A fleet starts some hundred
    // incarnations a day, of under 100 bytes each.
    std::map<std::string, Entry> entries_;
};

} // namespace foxtailturn
