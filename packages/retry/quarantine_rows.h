#pragma once

// Table rows `quarantine/<fingerprint>`, from which a new process loads the quarantined requests.
//
//     for (const SuspectRecord &record : *rows.load(deadline)) // at start and periodically
//         quarantine.merge(record);
//     rows.store(record, deadline);    // after a crash that led to quarantine
//     rows.removeExpired(100, deadline);

#include <string_view>
#include <vector>

#include "base/wall_clock.h"
#include "retry/suspect_record.h"
#include "storage/platform.h"

namespace foxtailturn {

// Key prefix of all rows of this class.
constexpr std::string_view kQuarantinePrefix = "quarantine/";

// Thread-safe; stateless.
class QuarantineRows
{
public:
    // table and clock must outlive the object.
    QuarantineRows(TableService &table, const WallClock &clock);

    // Returns the records that have not expired; rows that can't be parsed are logged and skipped.
    // Error: StoreUnavailable. Thread-safe.
    [[nodiscard]] Result<std::vector<SuspectRecord>> load(TimePoint deadline);

    // Merges the record's crashes into its row. Idempotent. Errors: StoreUnavailable; StoreConflict
    // if concurrent writers changed the row on every try. Thread-safe.
    Result<void> store(const SuspectRecord &record, TimePoint deadline);

    // Removes at most maxRemovals expired rows and returns the number removed. Error:
    // StoreUnavailable. Thread-safe.
    Result<std::size_t> removeExpired(std::size_t maxRemovals, TimePoint deadline);

private:
    Result<void> storeOnce(const SuspectRecord &record, TimePoint deadline);

    TableService &table_;
    const WallClock &clock_;
};

} // namespace foxtailturn
