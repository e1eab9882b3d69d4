#include "quota/entry_records.h"

#include <string_view>

#include "base/json.h"

namespace foxtailturn::quota {

namespace {

constexpr std::string_view kPrefix = "alive/";

std::int64_t integerOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

} // namespace

std::string EntryRecords::keyOf(const std::string &entry)
{
    return std::string(kPrefix) + entry;
}

std::string EntryRecords::encode(const EntryRecord &record)
{
    return Json{{"writes", record.counter_}, {"milli_cores", record.milliCores_}}.dump();
}

EntryRecord EntryRecords::decode(const std::string &value)
{
    const Json json = parseUntrustedJson(value);
    if (!json.is_object())
        return {};
    return {integerOf(json, "writes"), integerOf(json, "milli_cores")};
}

void EntryRecords::update(const std::vector<StoreRow> &rows, TimePoint now)
{
    std::map<std::string, Known> known;
    for (const StoreRow &row : rows) {
        if (!row.key_.starts_with(kPrefix))
            continue;
        const std::string entry = row.key_.substr(kPrefix.size());
        const auto before = known_.find(entry);
        const bool isUnchanged = before != known_.end() && before->second.version_ == row.version_;
        known[entry] = isUnchanged ? before->second : Known{decode(row.value_), row.version_, now};
    }
    known_ = std::move(known);
}

std::map<std::string, std::int64_t> EntryRecords::alive(TimePoint now) const
{
    std::map<std::string, std::int64_t> alive;
    for (const auto &[entry, known] : known_) {
        if (now - known.changedAt_ < kAliveFor)
            alive[entry] = known.record_.milliCores_;
    }
    return alive;
}

std::map<std::string, std::int64_t> EntryRecords::expired(TimePoint now) const
{
    std::map<std::string, std::int64_t> expired;
    for (const auto &[entry, known] : known_) {
        if (now - known.changedAt_ >= kRemoveAfter)
            expired[entry] = known.version_;
    }
    return expired;
}

} // namespace foxtailturn::quota
