#pragma once

// Entries that were told which suspect records a sidecar holds and may be of an earlier version,
// which doesn't answer offers.
//
//     SuspectOffers offers;
//     offers.add(entry, now);
//     if (offers.receive(entry, message)) { send all records }  // for each message of an entry
//     for (int entry : offers.takeSilent(now)) { send all records }
//     offers.remove(entry);                                     // it has disconnected
//
// The first message of an entry tells its version: later ones begin with a SuspectRequest.

#include <map>
#include <vector>

#include "base/clock.h"
#include "gateway/agent_messages.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class SuspectOffers
{
public:
    // An entry of an earlier version may have nothing to say. Others send their first message as
    // soon as they learn that they are connected, which is this late only at a stalled entry.
    static constexpr Duration kSilenceTimeout = std::chrono::seconds(1);

    void add(int entry, TimePoint now) { deadlines_[entry] = now + kSilenceTimeout; }
    void remove(int entry) { deadlines_.erase(entry); }

    // Returns whether the entry is of an earlier version and is to be sent all records.
    [[nodiscard]] bool receive(int entry, const AgentMessage &message)
    {
        return deadlines_.erase(entry) > 0 && !message.suspectRequest_;
    }

    // Removes and returns the entries that have been silent for kSilenceTimeout.
    [[nodiscard]] std::vector<int> takeSilent(TimePoint now)
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
