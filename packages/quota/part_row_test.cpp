#include "quota/part_row.h"

#include <doctest/doctest.h>

namespace foxtailturn::quota {

TEST_CASE("decode restores an encoded row")
{
    const PartRow row{"entry-1@10.0.0.7", 12, 34'567};
    CHECK(PartRow::decode(row.encode()) == row);
    CHECK(PartRow::keyOf("w", 2) == "part/w/2");
}

// Guards against an owner that is read from a damaged row.
TEST_CASE("a malformed row has no owner")
{
    for (const char *value :
         {"", "{", "[]", "7", R"({"owner":1,"writes":"a","renewed_at_ms":"b"})"}) {
        CAPTURE(value);
        CHECK(PartRow::decode(value) == PartRow{});
    }
}

} // namespace foxtailturn::quota
