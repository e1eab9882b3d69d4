#pragma once

// Which entries are alive, from the rows that each of them writes for itself.
//
//     LifeSigns signs;
//     signs.read(rows, now);                      // each time the rows were read
//     if (signs.isSilent("entry-1", since, now)) ...

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class LifeSigns
{
public:
    // Returns the key of an entry's own row. Thread-safe.
    [[nodiscard]] static std::string keyOf(const std::string &entry);

    // Takes the rows of the entries' table. An entry whose row has changed is alive now.
    void read(const StoreRows &rows, TimePoint now);

    // Notes an entry that may have no row; it counts as alive now if it was not known.
    void expect(const std::string &entry, TimePoint now);

    // Returns whether an entry is known and has given no sign for at least this time.
    [[nodiscard]] bool isSilent(const std::string &entry, Duration time, TimePoint now) const;

    // Returns the version of the entry's row as last read; 0 if it has none.
    [[nodiscard]] std::int64_t versionOf(const std::string &entry) const;

private:
    struct Sign
    {
        std::int64_t version_ = 0;
        TimePoint seenAt_{};
    };

    std::map<std::string, Sign> signs_; // by entry
};

} // namespace foxtailturn::gateway
