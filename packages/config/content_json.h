#pragma once

// Canonical JSON of a configuration: keys and lists in fixed order, no white space. Equal content
// has equal text and an equal digest. The revision number is not part of it.
//
//     const std::string text = toCanonicalJson(configuration->content());
//     Result<ConfigurationContent> content = parseCanonicalJson(text);

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "config/configuration.h"
#include "config/content.h"

namespace foxtailturn {

// Returns the canonical JSON. Precondition: the content passed checkContent() and is in the order
// of sortContent(), as Configuration::content() is. Thread-safe.
[[nodiscard]] std::string toCanonicalJson(const ConfigurationContent &content);

// Reads canonical JSON. Unknown and missing fields are refused. The result is not checked for
// meaning; Configuration::create() does that. Error: InvalidConfiguration. Thread-safe.
[[nodiscard]] Result<ConfigurationContent> parseCanonicalJson(std::string_view text);

// Returns the searchable configuration of an object, after checking its digest and content. Error:
// InvalidConfiguration. Thread-safe.
[[nodiscard]] Result<std::shared_ptr<const Configuration>>
readConfiguration(std::uint64_t revision, std::string_view digest, std::string_view canonicalJson);

// Returns the SHA-256 digest of canonical JSON, which names its object.
[[nodiscard]] std::string contentDigest(std::string_view canonicalJson);

} // namespace foxtailturn
