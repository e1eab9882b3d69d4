#pragma once

// Extracts the API key of a caller and finds it in data that must not reach a target.
//
//     const CallerKey key = extractCallerKey(headers);
//     if (containsSecret(body, key.secret_)) refuse;

#include <map>
#include <string>
#include <string_view>

namespace foxtailturn {

// Header names in lower case with their values.
using HeaderMap = std::map<std::string, std::string, std::less<>>;

struct CallerKey
{
    std::string secret_; // empty if the request has none

    bool operator==(const CallerKey &) const = default;
};

// Reads `Authorization: Bearer` or `x-api-key`. Thread-safe.
[[nodiscard]] CallerKey extractCallerKey(const HeaderMap &headers);

// Returns the query without the parameters that have the name of an API key parameter or contain
// the secret. Thread-safe.
[[nodiscard]] std::string queryWithoutKey(std::string_view query, std::string_view secret);

// Returns whether the body contains the secret verbatim, percent-encoded or with JSON escapes, or
// is JSON that can't be checked to its end. Returns false for an empty secret. Thread-safe.
[[nodiscard]] bool bodyContainsSecret(std::string_view body, std::string_view secret);

// Returns whether the text contains the secret verbatim or percent-encoded. Returns false for an
// empty secret. Thread-safe.
[[nodiscard]] bool containsSecret(std::string_view text, std::string_view secret);

} // namespace foxtailturn
