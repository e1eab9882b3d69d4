#include "gateway/suspect_rows.h"

#include <string_view>
#include <utility>

#include "quota/quota_parts.h"

namespace foxtailturn::gateway {

namespace {

constexpr std::string_view kPrefix = "suspect/"; // of row keys
constexpr std::size_t kMaxRemovals = 20; // with one write
constexpr std::size_t kMaxEntries = 100; // of one write, as the store demands
constexpr std::size_t kEntriesPerRow = 2; // a change and its condition

bool hasRoom(const StoreWrite &write)
{
    return write.expected_.size() + write.puts_.size() + write.removes_.size() + kEntriesPerRow
        <= kMaxEntries;
}

StoreRow rowOf(const std::string &fingerprint, std::string value, std::int64_t version)
{
    return {quota::kFleetTable, quota::kFleetPartition, std::string(kPrefix) + fingerprint,
            std::move(value), version};
}

} // namespace

void SuspectRows::report(const SuspectRecord &record)
{
    reports_.insert_or_assign(record.fingerprint_, record);
}

void SuspectRows::addTo(StoreWrite &write)
{
    writing_.clear();
    for (const auto &[fingerprint, record] : reports_) {
        if (!hasRoom(write))
            break;
        writing_.emplace(fingerprint, record);
        const auto version = versions_.find(fingerprint);
        write.puts_.push_back(rowOf(fingerprint, record.toJson(), 0));
        write.expected_.push_back(
            rowOf(fingerprint, "", version == versions_.end() ? 0 : version->second));
        expired_.erase(fingerprint);
    }
    if (write.puts_.empty())
        return;
    for (const std::string &fingerprint : expired_) {
        if (removing_.size() == kMaxRemovals || !hasRoom(write))
            break;
        removing_.insert(fingerprint);
        write.removes_.push_back(rowOf(fingerprint, "", 0));
        write.expected_.push_back(rowOf(fingerprint, "", versions_[fingerprint]));
    }
}

std::size_t SuspectRows::finishWrite(WriteOutcome outcome, std::int64_t version)
{
    const std::map<std::string, SuspectRecord> written = std::exchange(writing_, {});
    const std::set<std::string> removed = std::exchange(removing_, {});
    if (outcome == WriteOutcome::Conflict) {
        // The rows may have been removed, so that a conflict returns none of them.
        for (const auto &[fingerprint, record] : written)
            versions_.erase(fingerprint);
        for (const std::string &fingerprint : removed)
            versions_.erase(fingerprint);
    }
    if (outcome != WriteOutcome::Applied) {
        expired_.clear(); // the next read tells whether they are still there
        return 0;
    }
    for (const std::string &fingerprint : removed) {
        expired_.erase(fingerprint);
        versions_.erase(fingerprint);
    }
    for (const auto &[fingerprint, record] : written) {
        versions_[fingerprint] = version;
        written_.insert(fingerprint);
        const auto report = reports_.find(fingerprint);
        if (report != reports_.end() && report->second == record)
            reports_.erase(report);
    }
    return written.size();
}

std::vector<SuspectRecord> SuspectRows::update(const std::vector<StoreRow> &rows)
{
    versions_.clear();
    expired_.clear();
    std::erase_if(written_, [this](const std::string &fingerprint) {
        const std::optional<SuspectRecord> known = quarantine_.find(fingerprint);
        return !known || known->isExpired(clock_.now());
    });
    return updateSome(rows);
}

std::vector<SuspectRecord> SuspectRows::updateCopy(const std::vector<StoreRow> &rows)
{
    std::vector<SuspectRecord> changed = update(rows);
    std::set<std::string> kept; // whose rows say what is known
    for (const StoreRow &row : rows) {
        const Result<SuspectRecord> record = SuspectRecord::ofJson(row.value_);
        if (record && quarantine_.find(record->fingerprint_) == *record)
            kept.insert(record->fingerprint_);
    }
    const UtcTime now = clock_.now();
    for (const std::string &fingerprint : written_) {
        const std::optional<SuspectRecord> known = quarantine_.find(fingerprint);
        if (known && !known->isExpired(now) && !kept.contains(fingerprint))
            report(*known);
    }
    return changed;
}

std::vector<SuspectRecord> SuspectRows::updateSome(const std::vector<StoreRow> &rows)
{
    const UtcTime now = clock_.now();
    std::vector<SuspectRecord> changed;
    for (const StoreRow &row : rows) {
        if (!row.key_.starts_with(kPrefix))
            continue;
        const std::string fingerprint = row.key_.substr(kPrefix.size());
        versions_[fingerprint] = row.version_;
        const Result<SuspectRecord> record = SuspectRecord::ofJson(row.value_);
        if (!record || record->fingerprint_ != fingerprint)
            continue;
        if (record->isExpired(now)) {
            expired_.insert(fingerprint);
            continue;
        }
        const std::optional<SuspectRecord> before = quarantine_.find(fingerprint);
        const SuspectRecord merged = quarantine_.merge(*record);
        const auto own = reports_.find(fingerprint);
        if (own != reports_.end()) {
            own->second.merge(merged);
            if (own->second == *record)
                reports_.erase(own); // another entry has written the same
        }
        if (merged != before)
            changed.push_back(merged);
    }
    return changed;
}

} // namespace foxtailturn::gateway
