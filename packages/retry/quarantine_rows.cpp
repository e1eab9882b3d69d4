#include "retry/quarantine_rows.h"

#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("retry");

// Two entries may store the same crash concurrently; more write conflicts in a row are unlikely.
constexpr int kMaxStoreAttempts = 4;

} // namespace

QuarantineRows::QuarantineRows(TableService &table, const WallClock &clock)
    : table_(table)
    , clock_(clock)
{ }

Result<std::vector<SuspectRecord>> QuarantineRows::load(TimePoint deadline)
{
    const auto rows = table_.scan(std::string(kQuarantinePrefix), deadline);
    if (!rows)
        return tl::unexpected(rows.error());
    std::vector<SuspectRecord> list;
    for (const Row &row : *rows) {
        const Result<SuspectRecord> record = SuspectRecord::ofJson(row.value_);
        if (!record)
            kLog.warn(concat("quarantine row not readable, row=", row.key_));
        else if (!record->isExpired(clock_.now()))
            list.push_back(*record);
    }
    return list;
}

Result<void> QuarantineRows::store(const SuspectRecord &record, TimePoint deadline)
{
    Result<void> stored = storeOnce(record, deadline);
    for (int i = 1; i < kMaxStoreAttempts && !stored; ++i) {
        if (stored.error().code_ != ErrorCode::StoreConflict)
            break;
        stored = storeOnce(record, deadline);
    }
    return stored;
}

Result<void> QuarantineRows::storeOnce(const SuspectRecord &record, TimePoint deadline)
{
    const std::string key = std::string(kQuarantinePrefix) + record.fingerprint_;
    const auto row = table_.read(key, deadline);
    if (!row)
        return tl::unexpected(row.error());
    SuspectRecord merged = record;
    if (*row) {
        if (const Result<SuspectRecord> stored = SuspectRecord::ofJson((*row)->value_))
            merged.merge(*stored);
    }
    merged.runs_.clear(); // run marks are only exchanged between live peers
    if (*row && (*row)->value_ == merged.toJson())
        return {};
    const auto written =
        table_.write(key, merged.toJson(), *row ? (*row)->version_ : kAbsent, deadline);
    if (!written)
        return tl::unexpected(written.error());
    return {};
}

Result<std::size_t> QuarantineRows::removeExpired(std::size_t maxRemovals, TimePoint deadline)
{
    const auto rows = table_.scan(std::string(kQuarantinePrefix), deadline);
    if (!rows)
        return tl::unexpected(rows.error());
    std::size_t removed = 0;
    for (const Row &row : *rows) {
        const Result<SuspectRecord> record = SuspectRecord::ofJson(row.value_);
        if (removed == maxRemovals)
            break;
        if (!record || !record->isExpired(clock_.now()))
            continue;
        const Result<void> removal = table_.remove(row.key_, row.version_, deadline);
        if (removal)
            ++removed;
        else if (removal.error().code_ != ErrorCode::StoreConflict)
            return tl::unexpected(removal.error());
    }
    return removed;
}

} // namespace foxtailturn
