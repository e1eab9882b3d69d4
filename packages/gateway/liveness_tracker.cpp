#include "gateway/liveness_tracker.h"

#include <string_view>

namespace foxtailturn::gateway {

namespace {

constexpr std::string_view kPrefix = "alive/";
// Entries without a record are no longer tracked after this time. It is longer than any time that
// is passed to isUnresponsive().
constexpr Duration kUntrackAfter = std::chrono::seconds(120);

} // namespace

std::string LivenessTracker::keyOf(const std::string &entry)
{
    return std::string(kPrefix) + entry;
}

void LivenessTracker::read(const StoreRows &rows, TimePoint now)
{
    std::erase_if(liveness_, [now](const auto &record) {
        return record.second.version_ == 0 && now - record.second.changedAt_ >= kUntrackAfter;
    });
    std::map<std::string, std::int64_t> versions;
    for (const auto &[entry, record] : liveness_)
        versions[entry] = 0; // unless its record is among the rows
    for (const StoreRow &row : rows.rows_) {
        if (row.key_.starts_with(kPrefix))
            versions[row.key_.substr(kPrefix.size())] = row.version_;
    }
    for (const auto &[entry, version] : versions) {
        const auto [record, isNew] = liveness_.try_emplace(entry, Record{version, now});
        if (!isNew && record->second.version_ != version)
            record->second = Record{version, now};
    }
}

void LivenessTracker::track(const std::string &entry, TimePoint now)
{
    liveness_.try_emplace(entry, Record{0, now});
}

bool LivenessTracker::isUnresponsive(const std::string &entry, Duration time, TimePoint now) const
{
    const auto record = liveness_.find(entry);
    return record != liveness_.end() && now - record->second.changedAt_ >= time;
}

std::int64_t LivenessTracker::versionOf(const std::string &entry) const
{
    const auto record = liveness_.find(entry);
    return record == liveness_.end() ? 0 : record->second.version_;
}

} // namespace foxtailturn::gateway
