#include "memory/memory_bounds.h"

#include <algorithm>

namespace foxtailturn::memory {

namespace {

constexpr std::size_t kHeldDivisor = 5; // of the machine's memory
constexpr std::size_t kMaxAnswerPause = 262'144;
constexpr std::size_t kMinAnswerPause = 16'384;
constexpr std::size_t kReservedDescriptors = 200; // files
constexpr std::size_t kMinCallerConnections = 16;
constexpr std::size_t kMinPeerConnections = 16;

} // namespace

MemoryBounds MemoryBounds::forMachine(std::size_t bytes)
{
    const std::size_t held = bytes / kHeldDivisor;
    return {.pauseAt_ = held - held / 4, .max_ = held};
}

std::size_t MemoryBounds::answerPauseAt(std::size_t heldBytes) const
{
    return heldBytes < pauseAt_ / 2 ? kMaxAnswerPause : kMinAnswerPause;
}

std::size_t maxCallerConnections(std::size_t descriptors)
{
    const std::size_t sockets = descriptors - std::min(descriptors, kReservedDescriptors);
    return std::max(sockets * 2 / 5, kMinCallerConnections);
}

std::size_t maxPeerConnections(std::size_t descriptors)
{
    return std::max(descriptors / 8, kMinPeerConnections);
}

} // namespace foxtailturn::memory
