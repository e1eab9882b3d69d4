#include "memory/body_buffer.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace foxtailturn::memory {
namespace {

TEST_CASE("a body keeps its bytes in order")
{
    constexpr std::size_t kBlock = BodyBuffer::kBlockBytes;
    const std::size_t sizes[] = {0, 1, kBlock - 1, kBlock, kBlock + 1, 3 * kBlock, 3 * kBlock + 5};
    const std::size_t pieces[] = {1000, kBlock + 7};
    for (const std::size_t size : sizes) {
        for (const std::size_t piece : pieces) {
            std::string expected;
            BodyBuffer body;
            while (expected.size() < size) {
                const std::string data(std::min(piece, size - expected.size()),
                                       static_cast<char>('a' + expected.size() % 26));
                expected += data;
                body.append(data);
                CHECK(body.size() == expected.size());
            }
            CHECK(body.take() == expected);
            CHECK(body.size() == 0U);
        }
    }
}

} // namespace
} // namespace foxtailturn::memory
