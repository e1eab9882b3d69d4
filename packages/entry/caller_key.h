#pragma once

// The API key that a caller shows, and the rule that no target sees it.
//
//     const CallerKey key = callerKeyOf(headers);
//     if (containsSecret(body, key.secret_)) refuse;

#include <map>
#include <string>
#include <string_view>

namespace foxtailturn {

// Header names in lower case with their values.
using HeaderMap = std::map<std::string, std::string, std::less<>>;

struct CallerKey
{
    std::string secret_; // empty when the caller shows none

    bool operator==(const CallerKey &) const = default;
};

// Reads `Authorization: Bearer` or `x-api-key`. Thread-safe.
[[nodiscard]] CallerKey callerKeyOf(const HeaderMap &headers);

// Returns the query without parameters that carry a key by name or by value. Thread-safe.
[[nodiscard]] std::string queryWithoutKey(std::string_view query, std::string_view secret);

// Returns whether a body holds the secret, as it is, percent-encoded or written with JSON escapes.
// An empty secret is held by no body. Thread-safe.
[[nodiscard]] bool bodyContainsSecret(std::string_view body, std::string_view secret);

// Returns whether text holds the secret, as it is or percent-encoded. An empty secret is held by
// no text. Thread-safe.
[[nodiscard]] bool containsSecret(std::string_view text, std::string_view secret);

} // namespace foxtailturn
