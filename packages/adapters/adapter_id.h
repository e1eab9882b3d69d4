#pragma once

// Identity of a LoRA adapter: name and version. Two versions of one adapter are different adapters
// for slots, pins and answers.
//
//     const AdapterId id{"brass-reports", "7"};
//     if (id.empty()) ... // work for the base model or a plain service needs no adapter

#include <compare>
#include <cstddef>
#include <string>

#include "base/hash.h"

namespace foxtailturn {

struct AdapterId
{
    std::string adapter_;
    std::string version_;

    // Returns whether no adapter is named: work for the base model or for a plain service.
    [[nodiscard]] bool empty() const { return adapter_.empty(); }

    // clang-tidy 14 takes the compiler's own comparison with 0 for a null pointer.
    auto operator<=>(const AdapterId &) const = default; // NOLINT(modernize-use-nullptr)
};

// Hash for unordered containers; equal on all VMs.
struct AdapterIdHash
{
    std::size_t operator()(const AdapterId &id) const
    {
        return hash64(id.adapter_, hash64(id.version_));
    }
};

} // namespace foxtailturn
