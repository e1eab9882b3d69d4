#include "gateway/quota_row.h"

#include <algorithm>
#include <numeric>

#include "base/json.h"
#include "gateway/quota_share.h"

namespace foxtailturn::gateway {

namespace {

std::int64_t integerOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

std::int64_t clampedUnits(std::int64_t units)
{
    return std::clamp<std::int64_t>(units, 0, QuotaShare::kTotalUnits);
}

} // namespace

QuotaRow QuotaRow::decode(const std::string &value)
{
    QuotaRow row;
    const Json json = parseUntrustedJson(value);
    if (!json.is_object())
        return row;
    const auto holders = json.find("holders");
    if (holders != json.end() && holders->is_object()) {
        for (const auto &[name, entry] : holders->items()) {
            // [units, demand]: an array keeps the row small, as it lists every entry.
            const bool isEntry = entry.is_array() && entry.size() == 2
                && std::all_of(entry.begin(), entry.end(),
                               [](const Json &field) { return field.is_number_integer(); });
            if (isEntry)
                row.holders_[name] = {clampedUnits(entry[0].get<std::int64_t>()),
                                      entry[1].get<std::int64_t>()};
        }
    }
    const auto pool = json.find("pool");
    if (pool != json.end() && pool->is_object()) {
        const auto owner = pool->find("keeper");
        if (owner != pool->end() && owner->is_string())
            row.pool_ = {owner->get<std::string>(), integerOf(*pool, "beat"),
                         clampedUnits(integerOf(*pool, "units"))};
    }
    return row;
}

std::string QuotaRow::encode() const
{
    Json holders = Json::object();
    for (const auto &[name, holding] : holders_)
        holders[name] = Json::array({holding.units_, holding.demand_});
    const Json json = {
        {"holders", std::move(holders)},
        {"pool", {{"keeper", pool_.owner_}, {"beat", pool_.counter_}, {"units", pool_.units_}}}};
    return json.dump();
}

std::int64_t QuotaRow::heldUnits() const
{
    return std::accumulate(
        holders_.begin(), holders_.end(), std::int64_t{0},
        [](std::int64_t sum, const auto &holder) { return sum + holder.second.units_; });
}

} // namespace foxtailturn::gateway
