#include "base/hash.h"

#include <array>
#include <random>

#include <openssl/sha.h>
#include <xxhash.h>

namespace foxtailturn {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(kHexDigits[bytes[i] >> 4]);
        text.push_back(kHexDigits[bytes[i] & 0xf]);
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string randomId()
{
    thread_local std::random_device device;
    std::array<unsigned char, 8> bytes{};
    for (unsigned char &byte : bytes)
        byte = static_cast<unsigned char>(device());
    return toHex(bytes.data(), bytes.size());
}

} // namespace foxtailturn
