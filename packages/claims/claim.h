#pragma once

// Values of the claim protocol and their form in the table.
//
//     const ClaimKey key{"be-central", "book-slot", "order 17/4"};
//     key.row();                  // "claims/be-central/book-slot/order%2017%2F4"
//     ClaimKey::ofRow(key.row()); // key again
//
// A row holds one Claim as JSON. The row key is unambiguous for all bytes in the three parts.

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/wall_clock.h"

namespace foxtailturn {

// Prefix of all rows of this package.
constexpr std::string_view kClaimPrefix = "claims/";

// Identity of a non-idempotent call. Any bytes are allowed in the parts.
struct ClaimKey
{
    std::string workspace_;
    std::string route_;
    std::string idempotencyKey_;

    // Returns the key of the table row. Different ClaimKeys give different rows. Thread-safe.
    [[nodiscard]] std::string row() const;

    // Returns the ClaimKey of a row key, or nullopt when row() doesn't give such a text.
    // Thread-safe.
    [[nodiscard]] static std::optional<ClaimKey> ofRow(std::string_view row);

    // Returns the prefix of all rows of a workspace. Thread-safe.
    [[nodiscard]] static std::string workspacePrefix(std::string_view workspace);

    bool operator==(const ClaimKey &) const = default;
};

// The answer of the target, as a resend gets it again.
struct RecordedAnswer
{
    int status_ = 0;
    std::string contentType_;
    std::string body_; // any bytes

    bool operator==(const RecordedAnswer &) const = default;
};

enum class ClaimState {
    Claimed, // held by an attempt; it may have been dispatched
    Released, // the attempt surely didn't dispatch; a resend may take the row over
    Done, // the answer is recorded
    Settled, // an operator decided: with an answer it is replayed, without one it may be taken over
};

// Value of a row.
struct Claim
{
    std::string attemptId_; // who wrote Claimed; kept in the later states
    std::string bodyDigest_; // SHA-256 of the request, in hexadecimal digits
    ClaimState state_ = ClaimState::Claimed;
    std::optional<RecordedAnswer> answer_ = std::nullopt;
    std::optional<UtcTime> expiresAt_ = std::nullopt; // absent while Claimed: no expiry

    // Whether a resend with the same digest may take the row over. Thread-safe.
    [[nodiscard]] bool isFree() const;

    // Returns the row's value. Thread-safe.
    [[nodiscard]] std::string toJson() const;

    // Reads a row's value. Error: Internal, OutcomeUnknown, as a row that can't be read may stand
    // for a call that ran. Thread-safe.
    [[nodiscard]] static Result<Claim> ofJson(std::string_view text);

    bool operator==(const Claim &) const = default;
};

} // namespace foxtailturn
