#include "lease/lease_row.h"

#include <array>
#include <string_view>

#include "base/json.h"

namespace foxtailturn {

namespace {

struct StateName
{
    LeaseState state_;
    std::string_view name_;
};

constexpr std::array kStateNames = {
    StateName{LeaseState::Live, "live"},
    StateName{LeaseState::Released, "released"},
    StateName{LeaseState::Fenced, "fenced"},
};

std::string_view stateName(LeaseState state)
{
    for (const StateName &entry : kStateNames) {
        if (entry.state_ == state)
            return entry.name_;
    }
    return "live";
}

LeaseState readState(JsonObject &object)
{
    const std::string name = object.string("state");
    for (const StateName &entry : kStateNames) {
        if (entry.name_ == name)
            return entry.state_;
    }
    object.fail("state", "must be live, released or fenced");
    return LeaseState::Live;
}

} // namespace

std::string leaseKey(const std::string &holder)
{
    return kLeasePrefix + holder;
}

std::string encodeLeaseRow(const LeaseRow &lease)
{
    Json json;
    json["holder"] = lease.holder_;
    json["state"] = stateName(lease.state_);
    json["sequence"] = lease.sequence_;
    json["length_us"] = lease.lengthMicros_;
    json["witnesses"] = lease.witnesses_;
    return json.dump();
}

Result<LeaseRow> parseLeaseRow(const Row &row)
{
    const Result<Json> json = parseJson(row.value_, row.key_);
    if (!json)
        return tl::unexpected(json.error());
    JsonObject object(*json, row.key_);
    LeaseRow lease;
    lease.holder_ = object.string("holder");
    lease.state_ = readState(object);
    lease.sequence_ = static_cast<std::uint64_t>(object.integer("sequence", {}));
    lease.lengthMicros_ = object.integer("length_us", {.min_ = 1});
    lease.witnesses_ = object.strings("witnesses");
    if (lease.witnesses_.size() > kMaxWitnesses)
        object.fail("witnesses", "has too many entries");
    object.refuseUnknown();
    if (object.error())
        return tl::unexpected(*object.error());
    return lease;
}

} // namespace foxtailturn
