#include "retry/suspect_relay.h"

#include <algorithm>
#include <unordered_set>

namespace foxtailturn {

std::vector<SuspectRecord> SuspectRelay::merge(const std::vector<SuspectRecord> &records)
{
    std::vector<SuspectRecord> changed;
    for (const SuspectRecord &record : records) {
        if (record.isExpired(clock_.now()))
            continue;
        const auto [it, isNew] = records_.try_emplace(record.fingerprint_, record);
        const SuspectRecord before = it->second;
        it->second.merge(record);
        if (isNew || it->second != before)
            changed.push_back(it->second);
    }
    while (records_.size() > kMaxRecords)
        dropFirstToExpire();
    return changed;
}

void SuspectRelay::dropFirstToExpire()
{
    const auto expiry = [](const auto &entry) {
        UtcTime latest{};
        for (const auto &[id, crash] : entry.second.crashes_)
            latest = std::max(latest, crash.forgetAt_);
        return latest;
    };
    records_.erase(
        std::min_element(records_.begin(), records_.end(),
                         [&](const auto &a, const auto &b) { return expiry(a) < expiry(b); }));
}

std::vector<SuspectRecord> SuspectRelay::records()
{
    const UtcTime now = clock_.now();
    std::erase_if(records_, [now](const auto &entry) { return entry.second.isExpired(now); });
    std::vector<SuspectRecord> list;
    for (const auto &[fingerprint, record] : records_)
        list.push_back(record);
    return list;
}

std::vector<std::uint64_t> SuspectRelay::digests()
{
    std::vector<std::uint64_t> list;
    for (const SuspectRecord &record : records())
        list.push_back(record.digest());
    return list;
}

std::vector<SuspectRecord> SuspectRelay::recordsOf(const std::vector<std::uint64_t> &digests)
{
    const std::unordered_set<std::uint64_t> wanted(digests.begin(), digests.end());
    std::vector<SuspectRecord> list = records();
    std::erase_if(
        list, [&wanted](const SuspectRecord &record) { return !wanted.contains(record.digest()); });
    return list;
}

} // namespace foxtailturn
