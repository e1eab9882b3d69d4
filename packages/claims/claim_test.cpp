#include "claims/claim.h"

#include <set>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

const std::string kBytes("\0\xff/%.\"\n", 7);

// Two calls that share a row would replay each other's answers.
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
                CHECK(ClaimKey::fromRowKey(key.row()) == key);
            }
        }
    }
    CHECK(rows.size() == count);
}

// Guards against parsing rows of other packages or of other versions as claims.
TEST_CASE("invalid row keys and values are rejected")
{
    for (const char *row : {"", "claims/", "claims/a/b", "claims/a/b/%2", "claims/a/b/%2f",
                            "claims/a/b/%zz", "claims/a/b/c/d", "limits/a/b/c"})
        CHECK_MESSAGE(!ClaimKey::fromRowKey(row), row);
    for (const char *value :
         {"", "{}", R"({"attempt":"1","digest":"2","state":"other"})",
          R"({"attempt":"1","digest":"2","state":"done"})",
          R"({"attempt":"1","digest":"2","state":"done","answer":{"status":200}})"}) {
        const Result<Claim> claim = Claim::ofJson(value);
        REQUIRE_MESSAGE(!claim, value);
        CHECK(claim.error().execution_ == Execution::OutcomeUnknown);
    }
}

// Guards against answers, binary ones in particular, that are altered by encoding.
TEST_CASE("a claim survives encoding and decoding")
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
