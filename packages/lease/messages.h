#pragma once

// Plain messages about leases. The peer package carries them. Holders and witnesses are named by
// incarnation (process name and boot id); an id is never reused.

#include <cstdint>
#include <string>

namespace foxtailturn {

// A holder tells a witness that it is alive.
struct WitnessContact
{
    std::string holder_;
    std::string witness_;
    std::uint64_t round_ = 0; // returned in the answer

    bool operator==(const WitnessContact &) const = default;
};

struct WitnessAnswer
{
    std::string holder_;
    std::string witness_;
    std::uint64_t round_ = 0;
    bool accepted_ = false; // false: the holder is fenced here, or this is another incarnation

    bool operator==(const WitnessAnswer &) const = default;
};

// A reclaimer asks a witness to refuse the holder from now on.
struct FenceRequest
{
    std::string holder_;
    std::string witness_;
    std::int64_t quietMicros_ = 0; // required time without contact

    bool operator==(const FenceRequest &) const = default;
};

struct FenceAnswer
{
    std::string holder_;
    std::string witness_;
    bool fenced_ = false; // true: no contact for the required time, and none will be accepted

    bool operator==(const FenceAnswer &) const = default;
};

} // namespace foxtailturn
