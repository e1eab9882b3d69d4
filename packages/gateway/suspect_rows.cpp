#include "gateway/suspect_rows.h"

#include <string_view>
#include <utility>

#include "quota/quota_parts.h"

namespace foxtailturn::gateway {

namespace {

constexpr std::string_view kPrefix = "suspect/"; // of row keys

} // namespace

void SuspectRows::report(const SuspectRecord &record)
{
    reports_.insert_or_assign(record.fingerprint_, record);
}

void SuspectRows::addTo(StoreWrite &write)
{
    writing_ = reports_;
    for (const auto &[fingerprint, record] : writing_) {
        const std::string key = std::string(kPrefix) + fingerprint;
        const auto version = versions_.find(fingerprint);
        write.puts_.push_back({quota::kFleetTable, quota::kFleetPartition, key, record.toJson()});
        write.expected_.push_back({quota::kFleetTable, quota::kFleetPartition, key, "",
                                   version == versions_.end() ? 0 : version->second});
    }
}

std::size_t SuspectRows::finishWrite(WriteOutcome outcome, std::int64_t version)
{
    const std::map<std::string, SuspectRecord> written = std::exchange(writing_, {});
    if (outcome != WriteOutcome::Applied)
        return 0;
    for (const auto &[fingerprint, record] : written) {
        versions_[fingerprint] = version;
        const auto report = reports_.find(fingerprint);
        if (report != reports_.end() && report->second == record)
            reports_.erase(report);
    }
    return written.size();
}

std::vector<SuspectRecord> SuspectRows::update(const std::vector<StoreRow> &rows)
{
    std::vector<SuspectRecord> changed;
    for (const StoreRow &row : rows) {
        if (!row.key_.starts_with(kPrefix))
            continue;
        const std::string fingerprint = row.key_.substr(kPrefix.size());
        std::int64_t &version = versions_[fingerprint];
        if (version == row.version_)
            continue;
        version = row.version_;
        const Result<SuspectRecord> record = SuspectRecord::ofJson(row.value_);
        if (!record || record->fingerprint_ != fingerprint)
            continue;
        const SuspectRecord merged = quarantine_.merge(*record);
        const auto own = reports_.find(fingerprint);
        if (own != reports_.end()) {
            own->second.merge(merged);
            if (own->second == *record)
                reports_.erase(own); // another entry has written the same
        }
        changed.push_back(merged);
    }
    return changed;
}

} // namespace foxtailturn::gateway
