#include "gateway/serving_config.h"

#include <map>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

Route route(std::string host, std::string prefix, std::string name)
{
    Route result;
    result.host_ = std::move(host);
    result.prefix_ = std::move(prefix);
    result.name_ = std::move(name);
    result.backends_ = {{"s", 1}};
    return result;
}

} // namespace

// Guards against routing a request by a shorter prefix or by a prefix of another host.
TEST_CASE("the route with the longest prefix of the host is chosen")
{
    ServingConfig config;
    config.routes_ = {route("a.example", "/x/", "short"), route("a.example", "/x/y/", "long"),
                      route("b.example", "/", "other")};
    config.indexRoutes();
    struct Case
    {
        std::string host_;
        std::string path_;
        std::string route_; // empty: none
    };
    const Case cases[] = {
        {"a.example", "/x/1", "short"},
        {"a.example", "/x/y/1", "long"},
        {"A.Example:8080", "/x/y/", "long"},
        {"a.example", "/x", ""},
        {"a.example", "/xy/", ""},
        {"b.example", "/x/y/", "other"},
        {"c.example", "/x/", ""},
    };
    for (const Case &c : cases) {
        CAPTURE(c.host_ + c.path_);
        const Route *found = config.findRoute(c.host_, c.path_);
        CHECK((found == nullptr ? "" : found->name_) == c.route_);
    }
}

// Guards against ignoring the weights of backends, or choosing one of weight 0.
TEST_CASE("backends are chosen in proportion to their weights")
{
    Route split = route("a", "/", "r");
    split.backends_ = {{"big", 90}, {"none", 0}, {"small", 10}};
    std::map<std::string, int> counts;
    constexpr int kPoints = 1000;
    for (int hash = 0; hash < kPoints; ++hash)
        ++counts[backendFor(split, static_cast<std::uint64_t>(hash))];
    CHECK(counts["big"] == 900);
    CHECK(counts["small"] == 100);
    CHECK(counts["none"] == 0);
    split.backends_ = {{"only", 0}};
    CHECK(backendFor(split, 7) == "only");
}

// Guards against running a request twice that may run only once.
TEST_CASE("only idempotent routes and resumable streams are repeatable")
{
    Route r = route("a", "/", "r");
    CHECK_FALSE(r.isRepeatable());
    r.kind_ = RouteKind::Stream;
    CHECK_FALSE(r.isRepeatable());
    r.isResumable_ = true;
    CHECK(r.isRepeatable());
    r.kind_ = RouteKind::NonIdempotent;
    CHECK_FALSE(r.isRepeatable());
    r.kind_ = RouteKind::Idempotent;
    CHECK(r.isRepeatable());
}

} // namespace foxtailturn::gateway
