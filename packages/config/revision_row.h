#pragma once

// The table row `config/current`: the revision in force and the ones before it.
//
//     Result<RevisionRow> row = parseRevisionRow(text);
//     const RevisionRow next = row->advanced(digest, attempt);

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace foxtailturn {

constexpr std::string_view kCurrentRevisionKey = "config/current";

struct RevisionEntry
{
    std::uint64_t revision_ = 0; // from 1
    std::string digest_; // SHA-256 of the canonical JSON
    std::string attempt_; // random id of the publishing attempt

    bool operator==(const RevisionEntry &) const = default;
};

struct RevisionRow
{
    // Newest first. The earlier ones let a publisher whose answer was lost find out whether its
    // revision was accepted, even if others have published since.
    std::vector<RevisionEntry> entries_;

    // Returns the revision in force; 0 when none was published yet.
    [[nodiscard]] std::uint64_t revision() const;

    // Returns the digest of the revision in force; empty when there is none.
    [[nodiscard]] std::string digest() const;

    // Returns the row of the next revision; the oldest entries beyond a fixed number are dropped.
    [[nodiscard]] RevisionRow advanced(std::string digest, std::string attempt) const;

    // Returns the entry of an attempt, or null.
    [[nodiscard]] const RevisionEntry *findAttempt(std::string_view attempt) const;

    // Returns whether the row would still name an attempt of this revision.
    [[nodiscard]] bool remembers(std::uint64_t revision) const;

    bool operator==(const RevisionRow &) const = default;
};

// Returns the object name of the content with this digest.
[[nodiscard]] std::string contentObjectName(std::string_view digest);

// Returns the row's value as JSON.
[[nodiscard]] std::string toJson(const RevisionRow &row);

// Reads a row's value. Error: InvalidConfiguration. Thread-safe.
[[nodiscard]] Result<RevisionRow> parseRevisionRow(std::string_view text);

} // namespace foxtailturn
