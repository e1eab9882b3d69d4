#pragma once

// Tracks which entries are alive by the record that each entry writes for itself.
//
//     EntryRecords records;
//     records.update(rows, now);                    // after each read of all rows
//     DutyOrder order(records.alive(now));
//     write.puts_.push_back(...EntryRecords::keyOf(name), EntryRecords::encode(record)...);

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/store_rows.h"

namespace foxtailturn::quota {

// What an entry writes of itself.
struct EntryRecord
{
    std::int64_t counter_ = 0; // incremented by each write
    std::int64_t milliCores_ = 0; // processor share of the entry's VM

    bool operator==(const EntryRecord &) const = default;
};

// Not thread-safe.
class EntryRecords
{
public:
    // An entry whose record has not changed for this long is no longer considered for duties.
    static constexpr Duration kAliveFor = std::chrono::seconds(60);
    // A record that has not changed for this long is removed from the store.
    static constexpr Duration kRemoveAfter = std::chrono::seconds(120);

    // Returns the row key of an entry's record. Thread-safe.
    [[nodiscard]] static std::string keyOf(const std::string &entry);

    // Thread-safe.
    [[nodiscard]] static std::string encode(const EntryRecord &record);

    // Parses a record's row; fields that are missing or malformed are 0. Thread-safe.
    [[nodiscard]] static EntryRecord decode(const std::string &value);

    // Updates the records from all rows just read. An entry whose record's version has changed
    // since the last read counts as alive at now; rows of other kinds are ignored.
    void update(const std::vector<StoreRow> &rows, TimePoint now);

    // Returns the processor shares of the entries that are alive, in thousandths of a core.
    [[nodiscard]] std::map<std::string, std::int64_t> alive(TimePoint now) const;

    // Returns the row versions of the records to remove, by entry.
    [[nodiscard]] std::map<std::string, std::int64_t> expired(TimePoint now) const;

private:
    struct Known
    {
        EntryRecord record_;
        std::int64_t version_ = 0;
        TimePoint changedAt_{};
    };

    std::map<std::string, Known> known_; // by entry
};

} // namespace foxtailturn::quota
