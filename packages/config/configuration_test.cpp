#include "config/configuration.h"

#include <doctest/doctest.h>

#include "base/hash.h"
#include "config/test_content.h"

namespace foxtailturn {
namespace {

// Guards against a withdrawn key that is reported as unknown, and the other way round.
TEST_CASE("findKey tells unknown from withdrawn")
{
    const auto configuration = *Configuration::create(1, testContent());
    REQUIRE(configuration->findKey("secret-a"));
    CHECK(configuration->findKey("secret-a")->workspace_->id_ == "north");
    CHECK(configuration->findKey("nothing").error().code_ == ErrorCode::Unauthenticated);
    CHECK(configuration->findKey("secret-w").error().code_ == ErrorCode::KeyWithdrawn);

    const auto later = configuration->withWithdrawals({"key-a", "key-unknown"});
    CHECK(later->findKey("secret-a").error().code_ == ErrorCode::KeyWithdrawn);
    CHECK(later->findKey("secret-b"));
    CHECK(configuration->findKey("secret-a"));
}

// Guards against a request that runs on another adapter or version than it names, or on one of
// another workspace.
TEST_CASE("resolveModel finds one identity for all names and versions")
{
    const auto configuration = *Configuration::create(1, testContent());
    struct Case
    {
        const char *workspace_;
        const char *name_;
        std::int64_t version_; // 0: expect code_
        ErrorCode code_;
    };
    const Case cases[] = {
        {"north", "report", 2, {}},
        {"north", "legacy/report", 2, {}},
        {"north", "urn:report", 2, {}},
        {"north", "urn:report@1", 1, {}},
        {"north", "report@2", 2, {}},
        {"north", "report@3", 0, ErrorCode::ModelNotFound},
        {"north", "report@", 0, ErrorCode::ModelNotFound},
        {"north", "report@1x", 0, ErrorCode::ModelNotFound},
        {"north", "other", 0, ErrorCode::ModelNotFound},
        {"south", "report", 0, ErrorCode::Forbidden},
        {"south", "report@9", 0, ErrorCode::Forbidden},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        const Result<const AdapterVersion *> found =
            configuration->resolveModel(c.workspace_, c.name_);
        REQUIRE(found.has_value() == (c.version_ != 0));
        if (found) {
            CHECK((*found)->adapter_ == "report");
            CHECK((*found)->version_ == c.version_);
        } else {
            CHECK(found.error().code_ == c.code_);
        }
    }
    CHECK(configuration->modelsOf("north").size() == 1);
    CHECK(configuration->modelsOf("south").empty());
}

// Guards against an open route's prefix that lets a caller reach a keyed path of the same target.
TEST_CASE("resolveRoute takes the longest prefix and refuses ambiguous paths")
{
    const auto configuration = *Configuration::create(1, testContent());
    struct Case
    {
        const char *method_;
        const char *path_;
        const char *route_; // null: expect code_
        ErrorCode code_;
    };
    const Case cases[] = {
        {"POST", "/v1/completions", "completions", {}},
        {"POST", "/slots", "book", {}},
        {"POST", "/slots/7", "book", {}},
        {"GET", "/slots/open/7", "look-up", {}},
        {"POST", "/slots/open/7", "book", {}},
        {"GET", "/slots/7", nullptr, ErrorCode::RouteNotFound},
        {"POST", "/slotsies", nullptr, ErrorCode::RouteNotFound},
        {"GET", "/slots/open/../7", nullptr, ErrorCode::BadRequest},
        {"GET", "/slots/open/%2E%2e/7", nullptr, ErrorCode::BadRequest},
        {"GET", "/slots/open//7", nullptr, ErrorCode::BadRequest},
        {"GET", "/slots/open%2f7", nullptr, ErrorCode::BadRequest},
        {"GET", "/slots/open%252f7", nullptr, ErrorCode::BadRequest},
        {"GET", "/slots/open\\7", nullptr, ErrorCode::BadRequest},
        {"GET", "/slots/open/..;/7", nullptr, ErrorCode::BadRequest},
        {"GET", "", nullptr, ErrorCode::BadRequest},
    };
    for (const Case &c : cases) {
        CAPTURE(c.path_);
        const Result<const Route *> found = configuration->resolveRoute(c.method_, c.path_);
        REQUIRE(found.has_value() == (c.route_ != nullptr));
        if (found)
            CHECK((*found)->id_ == c.route_);
        else
            CHECK(found.error().code_ == c.code_);
    }
    CHECK(configuration->findRoute("urn:book")->id_ == "book");
}

} // namespace
} // namespace foxtailturn
