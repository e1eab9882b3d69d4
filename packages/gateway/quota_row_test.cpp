#include "gateway/quota_row.h"

#include <doctest/doctest.h>

#include "gateway/quota_share.h"

namespace foxtailturn::gateway {

TEST_CASE("decode restores an encoded row")
{
    const QuotaRow row{{{"e0", {20'000, 900}}, {"e1", {30'000, 0}}}, {"e1", 7, 900'000}};
    CHECK(QuotaRow::decode(row.encode()) == row);
    CHECK(row.heldUnits() == 50'000);
    CHECK(QuotaRow::decode(QuotaRow().encode()) == QuotaRow());
}

// Guards against a malformed row that gives an entry more than the whole quota, or whose valid
// holders are discarded along with the malformed ones.
TEST_CASE("decode skips malformed holders and clamps units")
{
    struct Case
    {
        std::string value_;
        QuotaRow row_;
    };
    const Case cases[] = {
        {"", {}},
        {"[1]", {}},
        {R"({"holders":{"e0":[1e400,1]}})", {}},
        {R"({"holders":{"e0":[-5,1],"e1":["1",2],"e2":[9,1],"e3":7}})",
         {{{"e0", {0, 1}}, {"e2", {9, 1}}}, {}}},
        {R"({"holders":{"e0":[99000000,1]},"pool":{"keeper":"e0","beat":"x","units":99000000}})",
         {{{"e0", {QuotaShare::kTotalUnits, 1}}}, {"e0", 0, QuotaShare::kTotalUnits}}},
        {R"({"holders":7,"pool":{"keeper":7,"units":5}})", {}},
    };
    for (const Case &c : cases) {
        CAPTURE(c.value_);
        CHECK(QuotaRow::decode(c.value_) == c.row_);
    }
}

} // namespace foxtailturn::gateway
