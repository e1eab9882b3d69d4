#pragma once

// The table row of a lease: key "leases/<holder>", value in JSON.
//
//     Result<LeaseRow> lease = parseLeaseRow(row);
//     table.write(leaseKey(lease->holder_), encodeLeaseRow(*lease), row.version_, deadline);

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "storage/platform.h"

namespace foxtailturn {

inline constexpr const char *kLeasePrefix = "leases/";
constexpr std::size_t kMaxWitnesses = 5;

enum class LeaseState {
    Live,
    Released, // by the holder; final
    Fenced, // by a reclaimer; final
};

struct LeaseRow
{
    std::string holder_;
    LeaseState state_ = LeaseState::Live;
    std::uint64_t sequence_ = 0; // number of the holder's write, identifies it when read back
    std::int64_t lengthMicros_ = 0; // the holder's lease length in microseconds
    std::vector<std::string> witnesses_; // incarnation ids, at most kMaxWitnesses

    bool operator==(const LeaseRow &) const = default;
};

// Returns the key of a holder's row. Thread-safe.
[[nodiscard]] std::string leaseKey(const std::string &holder);

// Returns the row's value. Thread-safe.
[[nodiscard]] std::string encodeLeaseRow(const LeaseRow &lease);

// Parses a row. Error: InvalidConfiguration, naming row and field. Thread-safe.
[[nodiscard]] Result<LeaseRow> parseLeaseRow(const Row &row);

// Returns the size of a majority of count witnesses. Any two majorities have a witness in common.
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace foxtailturn
