#include "base/json_members.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

TEST_CASE("members are read, changed and kept")
{
    struct Case
    {
        std::string text_;
        std::string changed_; // with a set to 1
    };
    const Case cases[] = {
        {"{}", R"({"a":1})"},
        {R"({"a":2})", R"({"a":1})"},
        {R"({"a":{"b":[1]},"c":[{},[],{"d":null}]})", R"({"c":[{},[],{"d":null}],"a":1})"},
        {R"({"a":3,"a":4,"z":true,"b":{"a":5}})", R"({"z":true,"b":{"a":5},"a":1})"},
        {R"({"s":"q\"\n\u00e9","n":-1,"f":1e14,"e":"","b":false,"b":[1,2]})",
         "{\"s\":\"q\\\"\\n\u00e9\",\"n\":-1,\"f\":1e14,\"e\":\"\",\"a\":1,\"b\":[1,2]}"},
    };
    for (const Case &each : cases) {
        CAPTURE(each.text_);
        JsonMembers members({"a", "b"});
        // b is only among the names where that shows.
        JsonMembers onlyA({"a"});
        JsonMembers &read = each.text_.find("\"b\":false") == std::string::npos ? onlyA : members;
        REQUIRE(read.read(each.text_));
        read.set("a", 1);
        CHECK(read.text() == each.changed_);
    }
}

TEST_CASE("the last member of a name counts, containers without their content")
{
    JsonMembers members({"a", "b", "c", "d"}, JsonMembers::Others::Drop);
    REQUIRE(members.read(R"({"a":1,"x":{"a":2},"b":[3],"c":null,"a":"4"})"));
    CHECK(*members.find("a") == Json("4"));
    CHECK(*members.find("b") == Json::array());
    CHECK(members.find("c")->is_null());
    CHECK(members.find("d") == nullptr);
    CHECK(members.text() == R"({"a":"4","b":[3],"c":null})");
}

TEST_CASE("other texts are refused")
{
    const std::string deep(JsonMembers::kMaxDepth, '[');
    for (const std::string &text :
         {std::string(), std::string("[]"), std::string("1"), std::string("\"a\""),
          std::string("{\"a\":1"), std::string("{\"a\":1}x"), std::string("{\"a\":1e999}"),
          std::string("{\"a\":\"\xff\"}"),
          "{\"a\":" + deep + std::string(deep.size(), ']') + "}"}) {
        CAPTURE(text);
        JsonMembers members({"a"});
        CHECK(!members.read(text));
    }
}

} // namespace
} // namespace foxtailturn
