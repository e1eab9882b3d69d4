#pragma once

// Data types of the claim protocol and their encoding in the table.
//
//     const ClaimKey key{"be-central", "book-slot", "order 17/4"};
//     key.row();                  // "claims/be-central/book-slot/order%2017%2F4"
//     ClaimKey::fromRowKey(key.row()); // key again
//
// A row holds one Claim as JSON. Each part of the row key is percent-encoded, so that different
// ClaimKeys have different row keys whatever bytes they contain.

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/wall_clock.h"

namespace foxtailturn {

// Prefix of all rows of this package.
constexpr std::string_view kClaimPrefix = "claims/";

// Identifies a non-idempotent call. The three members may contain any bytes.
struct ClaimKey
{
    std::string workspace_;
    std::string route_;
    std::string idempotencyKey_;

    // Returns the key of the table row; it is unique to this ClaimKey. Thread-safe.
    [[nodiscard]] std::string row() const;

    // Returns the ClaimKey of a row key, or nullopt if row() can't have produced the text.
    // Thread-safe.
    [[nodiscard]] static std::optional<ClaimKey> fromRowKey(std::string_view row);

    // Returns the prefix of all rows of a workspace. Thread-safe.
    [[nodiscard]] static std::string workspacePrefix(std::string_view workspace);

    bool operator==(const ClaimKey &) const = default;
};

// The answer of the target, stored so that it can be replayed to resends.
struct RecordedAnswer
{
    int status_ = 0;
    std::string contentType_;
    std::string body_; // any bytes

    bool operator==(const RecordedAnswer &) const = default;
};

enum class ClaimState {
    Claimed, // held by an attempt, which may have called the target
    Released, // the attempt never called the target; a resend may take the row over
    Done, // the answer is recorded
    Settled, // decided by an operator: an answer is replayed, without one a resend may take over
};

// Value of a row.
struct Claim
{
    std::string attemptId_; // the attempt that wrote Claimed; kept in the later states
    std::string bodyDigest_; // SHA-256 of the request, in hexadecimal digits
    ClaimState state_ = ClaimState::Claimed;
    std::optional<RecordedAnswer> answer_ = std::nullopt;
    std::optional<UtcTime> expiresAt_ = std::nullopt; // absent while Claimed, which never expires

    // Returns whether a resend with the same digest may take the row over. Thread-safe.
    [[nodiscard]] bool canBeTakenOver() const;

    // Returns the row's value. Thread-safe.
    [[nodiscard]] std::string toJson() const;

    // Parses a row's value. Error: Internal (OutcomeUnknown), because an unreadable row may belong
    // to a call that ran. Thread-safe.
    [[nodiscard]] static Result<Claim> ofJson(std::string_view text);

    bool operator==(const Claim &) const = default;
};

} // namespace foxtailturn
