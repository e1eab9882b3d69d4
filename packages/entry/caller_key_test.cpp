#include "entry/caller_key.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

TEST_CASE("extractCallerKey reads both header forms")
{
    struct Case
    {
        HeaderMap headers_;
        const char *secret_;
    };
    const Case cases[] = {
        {{{"authorization", "Bearer s3cret"}}, "s3cret"},
        {{{"authorization", "bearer s3cret"}}, "s3cret"},
        {{{"x-api-key", "s3cret"}}, "s3cret"},
        {{{"authorization", "Basic abc"}}, ""},
        {{}, ""},
    };
    for (const Case &c : cases)
        CHECK(extractCallerKey(c.headers_).secret_ == c.secret_);
}

// Guards against a key that is sent to a target in the query.
TEST_CASE("queryWithoutKey removes parameters that contain a key")
{
    struct Case
    {
        const char *query_;
        const char *kept_;
    };
    const Case cases[] = {
        {"slot=3&api_key=s3cret", "slot=3"},
        {"API%5Fkey=other&slot=3", "slot=3"},
        {"a=xs3cretx&b=2&c=s3%63ret", "b=2"},
        {"", ""},
        {"a=1&&b=2", "a=1&b=2"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.query_);
        CHECK(queryWithoutKey(c.query_, "s3cret") == c.kept_);
    }
}

TEST_CASE("containsSecret")
{
    CHECK(containsSecret("{\"k\":\"s3cret\"}", "s3cret"));
    CHECK(containsSecret("%73%33cret", "s3cret"));
    CHECK(!containsSecret("nothing", "s3cret"));
    CHECK(!containsSecret("nothing", ""));
}

// Guards against a key that is sent to a plain service in an escaped form.
TEST_CASE("bodyContainsSecret resolves JSON escapes")
{
    struct Case
    {
        const char *body_;
        bool contains_;
    };
    const Case cases[] = {
        {R"({"note": "\u0073\u0033cret"})", true}, {R"({"a": [{"b": "x s3\u0063ret y"}]})", true},
        {R"({"s3\u0063ret": 1})", true},           {R"(["s3\u0063ret"])", true},
        {R"({"note": "\u0073"})", false},          {R"(not json \u0073)", false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.body_);
        CHECK(bodyContainsSecret(c.body_, "s3cret") == c.contains_);
    }
    CHECK(bodyContainsSecret(R"({"k": "s3cret"})", "s3cret"));
}

} // namespace
} // namespace foxtailturn
