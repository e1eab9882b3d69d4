#pragma once

// Rows of the platform's table store and conditional writes to them.
//
//     StoreWrite write;
//     write.expected_.push_back({table, partition, key, "", version}); // applied only if unchanged
//     write.puts_.push_back({table, partition, key, value});

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace foxtailturn {

// A place in the store's history. A store that comes back from a copy begins an era, in which it
// gives versions of the era before out again, so versions of different eras say nothing about each
// other.
struct StorePosition
{
    std::int64_t era_ = 0;
    std::int64_t version_ = 0;

    bool operator==(const StorePosition &) const = default;
    bool operator<(const StorePosition &other) const
    {
        return std::tie(era_, version_) < std::tie(other.era_, other.version_);
    }
};

// A row of the store. Within an era, each change of any row gives that row a higher version_ than
// all before.
struct StoreRow
{
    std::string table_;
    std::string partition_;
    std::string key_;
    std::string value_;
    std::int64_t version_ = 0;
    bool isRemoved_ = false;

    bool operator==(const StoreRow &) const = default;
};

struct StoreRows
{
    std::vector<StoreRow> rows_;
    StorePosition position_; // newest one of the store
    std::int64_t nowMs_ = 0; // steady clock of the store
    bool isTruncated_ = false;

    bool operator==(const StoreRows &) const = default;
};

// An atomic write, applied only if each expected row still has its version (0: is absent).
struct StoreWrite
{
    std::vector<StoreRow> expected_; // table, part, key and version
    std::vector<StoreRow> puts_; // table, part, key and value
    std::vector<StoreRow> removes_; // table, part and key

    bool operator==(const StoreWrite &) const = default;
};

enum class WriteOutcome {
    Applied,
    Conflict, // certainly not applied
    Unknown, // may be applied now or later, if its condition still holds
};

} // namespace foxtailturn
