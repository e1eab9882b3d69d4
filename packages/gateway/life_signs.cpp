#include "gateway/life_signs.h"

#include <string_view>

namespace foxtailturn::gateway {

namespace {

constexpr std::string_view kPrefix = "alive/";
// Entries without a record are no longer tracked after this time. It is longer than any time that
// is passed to isSilent().
constexpr Duration kForgetAfter = std::chrono::seconds(120);

} // namespace

std::string LifeSigns::keyOf(const std::string &entry)
{
    return std::string(kPrefix) + entry;
}

void LifeSigns::read(const StoreRows &rows, TimePoint now)
{
    std::erase_if(signs_, [now](const auto &sign) {
        return sign.second.version_ == 0 && now - sign.second.seenAt_ >= kForgetAfter;
    });
    std::map<std::string, std::int64_t> versions;
    for (const auto &[entry, sign] : signs_)
        versions[entry] = 0; // unless its record is among the rows
    for (const StoreRow &row : rows.rows_) {
        if (row.key_.starts_with(kPrefix))
            versions[row.key_.substr(kPrefix.size())] = row.version_;
    }
    for (const auto &[entry, version] : versions) {
        const auto [sign, isNew] = signs_.try_emplace(entry, Sign{version, now});
        if (!isNew && sign->second.version_ != version)
            sign->second = Sign{version, now};
    }
}

void LifeSigns::expect(const std::string &entry, TimePoint now)
{
    signs_.try_emplace(entry, Sign{0, now});
}

bool LifeSigns::isSilent(const std::string &entry, Duration time, TimePoint now) const
{
    const auto sign = signs_.find(entry);
    return sign != signs_.end() && now - sign->second.seenAt_ >= time;
}

std::int64_t LifeSigns::versionOf(const std::string &entry) const
{
    const auto sign = signs_.find(entry);
    return sign == signs_.end() ? 0 : sign->second.version_;
}

} // namespace foxtailturn::gateway
