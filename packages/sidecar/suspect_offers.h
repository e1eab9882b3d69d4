#pragma once

// Entries that were told which suspect records a sidecar holds and have not answered yet.
//
//     SuspectOffers offers;
//     offers.add(entry, now);
//     offers.remove(entry);                              // it has answered or disconnected
//     for (int entry : offers.takeUnanswered(now)) { send all records }
//
// Entries of earlier versions don't answer.

#include <map>
#include <vector>

#include "base/clock.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class SuspectOffers
{
public:
    // Long enough for an entry that is short of processor time.
    static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(300);

    void add(int entry, TimePoint now) { deadlines_[entry] = now + kAnswerTimeout; }
    void remove(int entry) { deadlines_.erase(entry); }

    // Removes and returns the entries that have not answered in time.
    [[nodiscard]] std::vector<int> takeUnanswered(TimePoint now)
    {
        std::vector<int> entries;
        std::erase_if(deadlines_, [&](const auto &offer) {
            if (offer.second > now)
                return false;
            entries.push_back(offer.first);
            return true;
        });
        return entries;
    }

private:
    std::map<int, TimePoint> deadlines_; // by entry
};

} // namespace foxtailturn::gateway
