#pragma once

// Records on a witness when each holder last contacted it, and which are fenced. One per process.
//
//     WitnessLog witness(incarnation, clock);
//     reply(witness.onContact(contact));
//     reply(witness.onFence(request));
//
// The records are lost when the process ends. Messages to any other incarnation, such as an earlier
// one of the same process, are therefore rejected.

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

    // Records a contact unless this witness has fenced the holder or the message is for another
    // incarnation.
    [[nodiscard]] WitnessAnswer onContact(const WitnessContact &contact);

    // Fences the holder if it has made no contact for the required time and this log has existed
    // for at least that time. A fence lasts until the process ends.
    [[nodiscard]] FenceAnswer onFence(const FenceRequest &request);

private:
    struct Entry
    {
        TimePoint lastContactAt_;
        bool fenced_ = false;
    };

    std::string incarnation_;
    const Clock &clock_;
    TimePoint startedAt_;
    std::mutex mutex_;
    // Entries are never removed: without its fence, a suspended holder could renew. A fleet starts
    // a few hundred incarnations a day, and an entry takes less than 100 bytes.
    std::map<std::string, Entry> entries_;
};

} // namespace foxtailturn
