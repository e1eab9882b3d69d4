#include "claims/claim.h"

#include <set>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

const std::string kBytes("\0\xff/%.\"\n", 7);

// Guards against two calls sharing a row, which would replay the answer of another call.
TEST_CASE("row keys are unambiguous")
{
    const std::string parts[] = {"", "a", "/", "a/", "/a", "%2F", "..", "%", kBytes};
    std::set<std::string> rows;
    std::size_t count = 0;
    for (const std::string &workspace : parts) {
        for (const std::string &route : parts) {
            for (const std::string &idempotencyKey : parts) {
                const ClaimKey key{workspace, route, idempotencyKey};
                rows.insert(key.row());
                ++count;
                CHECK(ClaimKey::ofRow(key.row()) == key);
            }
        }
    }
    CHECK(rows.size() == count);
}

// Guards against rows of other packages or of other versions being taken for claims.
TEST_CASE("texts that are not row keys or values are refused")
{
    for (const char *row : {"", "claims/", "claims/a/b", "claims/a/b/%2", "claims/a/b/%2f",
                            "claims/a/b/%zz", "claims/a/b/c/d", "limits/a/b/c"})
        CHECK_MESSAGE(!ClaimKey::ofRow(row), row);
    for (const char *value :
         {"", "{}", R"({"attempt":"1","digest":"2","state":"other"})",
          R"({"attempt":"1","digest":"2","state":"done"})",
          R"({"attempt":"1","digest":"2","state":"done","answer":{"status":200}})"}) {
        const Result<Claim> claim = Claim::ofJson(value);
        REQUIRE_MESSAGE(!claim, value);
        CHECK(claim.error().execution_ == Execution::OutcomeUnknown);
    }
}

// Guards against answers that change when they are recorded, binary ones in particular.
TEST_CASE("a claim is read as it was written")
{
    for (const std::string &body : {std::string(), std::string("a"), std::string("ab"), kBytes}) {
        Claim claim{"attempt", "digest", ClaimState::Done};
        claim.answer_ = RecordedAnswer{201, kBytes, body};
        claim.expiresAt_ = UtcTime(Duration(42));
        CHECK(Claim::ofJson(claim.toJson()) == claim);
    }
    CHECK(Claim::ofJson(Claim{"a", "d"}.toJson()) == Claim{"a", "d"});
}

} // namespace
} // namespace foxtailturn
