#pragma once

// Hashes. sha256Hex() is for secrets and content digests, hash64() for placement and tables.

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailturn {

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits. Thread-safe.
[[nodiscard]] std::string sha256Hex(std::string_view data);

// Returns the 64-bit XXH3 hash; equal on all VMs, not for secrets. Thread-safe.
[[nodiscard]] std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

// Returns 16 hexadecimal digits of randomness for ids of incarnations and requests. Thread-safe.
[[nodiscard]] std::string randomId();

} // namespace foxtailturn
