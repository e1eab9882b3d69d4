#pragma once

// The ledger row that divides one workspace's quota among the entries.
//
//     QuotaRow row = QuotaRow::decode(storeRow.value_);
//     row.holders_["entry-1"] = {.units_ = 20'000, .demand_ = 900};
//     write(row.encode());

#include <cstdint>
#include <map>
#include <string>

namespace foxtailturn::gateway {

// One entry's units and the demand that it last reported.
struct QuotaHolding
{
    std::int64_t units_ = 0;
    std::int64_t demand_ = 0; // tokens per second

    bool operator==(const QuotaHolding &) const = default;
};

// The units that one entry, the pool owner, grants to other entries charge by charge.
struct QuotaPool
{
    std::string owner_; // name of the owning entry; empty for none
    std::int64_t counter_ = 0; // incremented by each write of the owner
    std::int64_t units_ = 0; // reserved for the pool even while it has no owner

    bool operator==(const QuotaPool &) const = default;
};

struct QuotaRow
{
    std::map<std::string, QuotaHolding> holders_; // by entry
    QuotaPool pool_;

    // Parses a row's value. Malformed holders and pools are skipped; units are clamped to the range
    // from 0 to QuotaShare::kTotalUnits. Thread-safe.
    [[nodiscard]] static QuotaRow decode(const std::string &value);

    // Thread-safe.
    [[nodiscard]] std::string encode() const;

    // Returns the sum of the units of all entries, without the pool's. Thread-safe.
    [[nodiscard]] std::int64_t heldUnits() const;

    bool operator==(const QuotaRow &) const = default;
};

} // namespace foxtailturn::gateway
