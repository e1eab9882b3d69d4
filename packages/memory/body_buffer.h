#pragma once

// Collects a body of unknown size in blocks, so that it never holds more than its bytes and one
// block, and leaves no gaps of odd sizes in the heap.
//
//     BodyBuffer body;
//     body.append(data);
//     std::string text = body.take();

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace foxtailturn::memory {

// Not thread-safe.
class BodyBuffer
{
public:
    static constexpr std::size_t kBlockBytes = 16'384;

    void append(std::string_view data);

    // Returns the body and empties the buffer, block by block.
    [[nodiscard]] std::string take();

    void clear();
    [[nodiscard]] std::size_t size() const { return full_.size() * kBlockBytes + last_.size(); }

private:
    std::deque<std::string> full_;
    std::string last_; // grows up to a block
};

} // namespace foxtailturn::memory
