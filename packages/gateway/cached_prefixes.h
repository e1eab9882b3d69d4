#pragma once

// Which targets have probably cached which prefixes of prompts.
//
//     CachedPrefixes cached;
//     const std::uint64_t start = CachedPrefixes::startOf(target.record_);
//     cached.record(prefix, start);
//     cached.contains(prefix, start);
//
// A prefix is a hash over an adapter and leading parts of a prompt. A target that was started again
// is another one, whose cache is empty. Each operation costs the same however much is recorded:
// when the memory is full, the pair that was used least recently goes.

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class CachedPrefixes
{
public:
    static constexpr std::size_t kMaxPairs = 32'768; // of a prefix and a target

    explicit CachedPrefixes(std::size_t maxPairs = kMaxPairs)
        : maxPairs_(maxPairs)
    { }

    // Returns the id of a target's start.
    [[nodiscard]] static std::uint64_t startOf(const TargetRecord &record);

    // Records that the target has processed the prefix now.
    void record(std::uint64_t prefix, std::uint64_t start);

    [[nodiscard]] bool contains(std::uint64_t prefix, std::uint64_t start) const;

    // Returns whether any target has the prefix.
    [[nodiscard]] bool contains(std::uint64_t prefix) const { return targets_.contains(prefix); }

    [[nodiscard]] std::size_t pairs() const { return uses_.size(); }

private:
    struct Use
    {
        std::uint64_t prefix_ = 0;
        std::uint64_t start_ = 0;
    };
    using Uses = std::list<Use>;

    void removeOldest();

    std::size_t maxPairs_;
    Uses uses_; // the most recent first
    // By prefix and start.
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, Uses::iterator>> targets_;
};

} // namespace foxtailturn::gateway
