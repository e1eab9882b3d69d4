#include "quota/part_row.h"

#include "base/json.h"

namespace foxtailturn::quota {

std::string PartRow::keyOf(const std::string &workspace, int part)
{
    return "part/" + workspace + "/" + std::to_string(part);
}

PartRow PartRow::decode(const std::string &value)
{
    const Json json = parseUntrustedJson(value);
    if (!json.is_object())
        return {};
    PartRow row;
    const auto owner = json.find("owner");
    if (owner != json.end() && owner->is_string())
        row.owner_ = owner->get<std::string>();
    const auto counter = json.find("writes");
    if (counter != json.end() && counter->is_number_integer())
        row.counter_ = counter->get<std::int64_t>();
    const auto renewedAt = json.find("renewed_at_ms");
    if (renewedAt != json.end() && renewedAt->is_number_integer())
        row.renewedAtMs_ = renewedAt->get<std::int64_t>();
    return row;
}

std::string PartRow::encode() const
{
    return Json{{"owner", owner_}, {"writes", counter_}, {"renewed_at_ms", renewedAtMs_}}.dump();
}

} // namespace foxtailturn::quota
