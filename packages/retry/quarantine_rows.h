#pragma once

// Rows `quarantine/<fingerprint>`, from which a new process learns what is quarantined.
//
//     for (const SuspectRecord &record : *rows.load(deadline)) // at start and now and then
//         quarantine.merge(record);
//     rows.store(record, deadline);    // when a crash led to quarantine
//     rows.removeExpired(100, deadline);

#include <string_view>
#include <vector>

#include "base/wall_clock.h"
#include "retry/suspect_record.h"
#include "storage/platform.h"

namespace foxtailturn {

// Prefix of all rows of this class.
constexpr std::string_view kQuarantinePrefix = "quarantine/";

// Thread-safe; keeps no state.
class QuarantineRows
{
public:
    // table and clock must outlive the object.
    QuarantineRows(TableService &table, const WallClock &clock);

    // Returns the records whose time has not passed; rows that can't be read are logged and left
    // out. Error: StoreUnavailable. Thread-safe.
    [[nodiscard]] Result<std::vector<SuspectRecord>> load(TimePoint deadline);

    // Merges the record's crashes into its row. May be repeated. Errors: StoreUnavailable;
    // StoreConflict when others kept changing the row. Thread-safe.
    Result<void> store(const SuspectRecord &record, TimePoint deadline);

    // Removes at most maxRemovals rows whose time has passed and returns their number. Error:
    // StoreUnavailable. Thread-safe.
    Result<std::size_t> removeExpired(std::size_t maxRemovals, TimePoint deadline);

private:
    Result<void> storeOnce(const SuspectRecord &record, TimePoint deadline);

    TableService &table_;
    const WallClock &clock_;
};

} // namespace foxtailturn
