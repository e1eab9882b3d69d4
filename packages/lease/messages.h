#pragma once

// Messages of the lease protocol; the peer package transports them. Holders and witnesses are named
// by incarnation (process name and boot id); an id is never reused.

#include <cstdint>
#include <string>

namespace foxtailturn {

// Sent by a holder to tell a witness that it is alive.
struct WitnessContact
{
    std::string holder_;
    std::string witness_;
    std::uint64_t round_ = 0; // renewal round, echoed in the answer

    bool operator==(const WitnessContact &) const = default;
};

struct WitnessAnswer
{
    std::string holder_;
    std::string witness_;
    std::uint64_t round_ = 0;
    bool accepted_ = false; // false: this witness fenced the holder, or is another incarnation

    bool operator==(const WitnessAnswer &) const = default;
};

// Sent by a reclaimer to make a witness reject all further contacts of the holder.
struct FenceRequest
{
    std::string holder_;
    std::string witness_;
    std::int64_t idleMicros_ = 0; // required time since the holder's last contact

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
