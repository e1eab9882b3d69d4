#pragma once

// How many bytes a process may hold for others, and how many connections of callers it accepts,
// from the memory and the descriptors of its VM.
//
//     const MemoryBounds bounds = MemoryBounds::forMachine(120'000'000);
//     if (account.total() > bounds.pauseAt_ && body.size() > MemoryBounds::kSmallBody)
//         stream->pause();

#include <cstddef>

namespace foxtailturn::memory {

// Immutable; reading from several threads is safe.
struct MemoryBounds
{
    // Bodies up to this size are read on while larger ones wait.
    static constexpr std::size_t kSmallBody = 65'536;

    std::size_t pauseAt_ = 0; // held bytes above which larger bodies are not read on
    std::size_t max_ = 0; // held bytes above which unfinished bodies are refused

    // Returns the bounds for a VM with this many bytes of memory. The rest is for the process's own
    // state and for the buffers of sockets.
    [[nodiscard]] static MemoryBounds forMachine(std::size_t bytes);

    // Returns how many unsent bytes of an answer stop the reading of more of it, if this many bytes
    // are held in all.
    [[nodiscard]] std::size_t answerPauseAt(std::size_t heldBytes) const;

    bool operator==(const MemoryBounds &) const = default;
};

// Returns how many connections of callers a process accepts that may have this many descriptors.
// Each may need another one to a target. Thread-safe.
[[nodiscard]] std::size_t maxCallerConnections(std::size_t descriptors);

// Returns how many connections of other processes of the system a process accepts. Thread-safe.
[[nodiscard]] std::size_t maxPeerConnections(std::size_t descriptors);

} // namespace foxtailturn::memory
