#pragma once

// The store row that names the owner of one part of a workspace's quota.
//
//     PartRow row = PartRow::decode(storeRow.value_);
//     write.puts_.push_back({table, partition, PartRow::keyOf("w1", 0), row.encode()});

#include <cstdint>
#include <string>

namespace foxtailturn::quota {

struct PartRow
{
    std::string owner_; // name of the owning entry; empty for none
    std::int64_t counter_ = 0; // incremented by each write
    std::int64_t renewedAtMs_ = 0; // when the write was sent, by the store's clock; 0: not known

    // Returns the row key of a part. Thread-safe.
    [[nodiscard]] static std::string keyOf(const std::string &workspace, int part);

    // Parses a row's value; a malformed row has no owner. Thread-safe.
    [[nodiscard]] static PartRow decode(const std::string &value);

    // Thread-safe.
    [[nodiscard]] std::string encode() const;

    bool operator==(const PartRow &) const = default;
};

} // namespace foxtailturn::quota
