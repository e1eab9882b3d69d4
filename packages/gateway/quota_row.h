#pragma once

// The row of the ledger that divides one workspace's quota among the entries.
//
//     QuotaRow row = QuotaRow::decode(storeRow.value_);
//     row.holders_["entry-1"] = {.units_ = 20'000, .demand_ = 900};
//     write(row.encode());

#include <cstdint>
#include <map>
#include <string>

namespace foxtailturn::gateway {

// An entry's part of the quota.
struct QuotaHolding
{
    std::int64_t units_ = 0;
    std::int64_t demand_ = 0; // tokens per second

    bool operator==(const QuotaHolding &) const = default;
};

// The part that one entry, the keeper, gives from in single charges.
struct QuotaPool
{
    std::string keeper_; // empty: none
    std::int64_t beat_ = 0; // changes with each write of the keeper
    std::int64_t units_ = 0; // stay the pool's while it has no keeper

    bool operator==(const QuotaPool &) const = default;
};

struct QuotaRow
{
    std::map<std::string, QuotaHolding> holders_; // by entry
    QuotaPool pool_;

    // Parses a row's value. What can't be read holds nothing; units are clamped to a whole quota.
    // Thread-safe.
    [[nodiscard]] static QuotaRow decode(const std::string &value);

    // Thread-safe.
    [[nodiscard]] std::string encode() const;

    // Returns the units of all entries, without the pool's. Thread-safe.
    [[nodiscard]] std::int64_t heldUnits() const;

    bool operator==(const QuotaRow &) const = default;
};

} // namespace foxtailturn::gateway
