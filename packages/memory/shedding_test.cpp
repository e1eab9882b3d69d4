#include "memory/shedding.h"

#include <doctest/doctest.h>

namespace foxtailturn::memory {
namespace {

using std::chrono::milliseconds;

TimePoint at(int ms)
{
    return TimePoint(milliseconds(ms));
}

TEST_CASE("callers give way in a fixed order")
{
    constexpr int kNow = 10'000;
    struct Case
    {
        const char *name_;
        std::vector<Holder> holders_;
        std::optional<std::size_t> chosen_;
    };
    const std::vector<Case> cases = {
        {"nobody", {}, std::nullopt},
        {"nobody holds bytes", {{"a", 0, at(1), at(1)}}, std::nullopt},
        {"largest", {{"a", 1, at(kNow), at(1)}, {"a", 2, at(kNow), at(1)}}, 1},
        {"oldest", {{"a", 2, at(kNow), at(2)}, {"a", 2, at(kNow), at(1)}}, 1},
        {"stalled before largest", {{"a", 9, at(kNow), at(1)}, {"a", 2, at(9'500), at(2)}}, 1},
        {"slow is not stalled", {{"a", 9, at(kNow), at(1)}, {"a", 2, at(9'501), at(2)}}, 0},
        {"owner that holds most",
         {{"a", 9, at(1), at(1)}, {"b", 5, at(kNow), at(2)}, {"b", 6, at(kNow), at(3)}},
         2},
        {"unfinished before unread",
         {{"a", 9, at(1), at(1), false}, {"b", 1, at(kNow), at(2), true}},
         1},
    };
    for (const Case &each : cases)
        CHECK(chooseToShed(each.holders_, at(kNow)) == each.chosen_);
}

} // namespace
} // namespace foxtailturn::memory
