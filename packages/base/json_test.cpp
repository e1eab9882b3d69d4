#include "base/json.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

TEST_CASE("JsonObject names the field of each kind of problem")
{
    struct Case
    {
        const char *text_;
        const char *message_;
    };
    const Case cases[] = {
        {R"({"port": 0})", "s: port must be from 1 to 65535"},
        {R"({"port": "80"})", "s: port must be a whole number"},
        {R"({})", "s: port is missing"},
        {R"({"port": 80, "prot": 1})", "s: prot is not a known field"},
        {R"([])", "s: must be an object"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.text_);
        const Json json = *parseJson(c.text_, "s");
        JsonObject object(json, "s");
        object.integer("port", {.min_ = 1, .max_ = 65535});
        object.refuseUnknown();
        REQUIRE(object.error());
        CHECK(object.error()->message_ == c.message_);
        CHECK(object.error()->execution_ == Execution::NotRun);
    }
}

TEST_CASE("parseJson accepts comments and gives the line of an error")
{
    CHECK(parseJson("{ // comment\n\"a\": 1 }", "f"));
    const Result<Json> broken = parseJson("{\n\"a\": }", "f");
    REQUIRE(!broken);
    CHECK(broken.error().message_.rfind("f:2:", 0) == 0);
}

// Guards against an uncaught exception: the library throws for a number out of range although its
// exceptions are off (foxtailturnctl validate ended with exit code 134).
TEST_CASE("numbers out of range are errors like any other")
{
    const Result<Json> config = parseJson("{\"a\": 1e400}", "f");
    REQUIRE(!config);
    CHECK(config.error().code_ == ErrorCode::InvalidConfiguration);
    for (const char *text : {"1e400", "[1e400]", "{\"a\": -1e999}", "{", ""}) {
        CAPTURE(text);
        CHECK(parseUntrustedJson(text).is_discarded());
    }
    CHECK(parseUntrustedJson("[1]").size() == 1);
}

} // namespace
} // namespace foxtailturn
