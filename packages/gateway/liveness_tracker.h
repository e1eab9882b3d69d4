#pragma once

// Tracks which entries are alive by the liveness records that each entry writes for itself.
//
//     LivenessTracker tracker;
//     tracker.read(rows, now);                    // after each read of the rows
//     if (tracker.isUnresponsive("entry-1", seconds(60), now)) ...

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class LivenessTracker
{
public:
    // Returns the row key of an entry's liveness record. Thread-safe.
    [[nodiscard]] static std::string keyOf(const std::string &entry);

    // Updates the records from the rows just read. An entry whose record's version has changed
    // since the last read counts as alive at now; other rows are ignored.
    void read(const StoreRows &rows, TimePoint now);

    // Starts tracking an entry that may have no record yet. If it was not tracked before, it counts
    // as alive at now.
    void track(const std::string &entry, TimePoint now);

    // Returns whether an entry is tracked and its record has not changed for at least this time.
    [[nodiscard]] bool isUnresponsive(const std::string &entry, Duration time, TimePoint now) const;

    // Returns the row version of the entry's record as last read; 0 if it has none.
    [[nodiscard]] std::int64_t versionOf(const std::string &entry) const;

private:
    struct Record
    {
        std::int64_t version_ = 0;
        TimePoint changedAt_{};
    };

    std::map<std::string, Record> liveness_; // by entry
};

} // namespace foxtailturn::gateway
