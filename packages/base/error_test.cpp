#include "base/error.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

// Guards against a code added without a name: it would reach callers as "internal".
TEST_CASE("every error code has its own name")
{
    for (int i = 0; i <= static_cast<int>(ErrorCode::Internal); ++i) {
        const auto code = static_cast<ErrorCode>(i);
        CHECK(errorCodeOf(errorName(code)) == code);
    }
    CHECK(errorCodeOf("no_such_code") == std::nullopt);
}

} // namespace
} // namespace foxtailturn
