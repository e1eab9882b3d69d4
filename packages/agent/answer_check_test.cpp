#include "agent/answer_check.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

const char *const kRight = "data: {\"model\":\"a@1\",\"x\":1}\n\n";
const char *const kWrong = "data: {\"model\":\"a@2\",\"x\":1}\n\n";

// Guards against sending data of another adapter's answer to a caller.
TEST_CASE("an SSE answer is buffered until the engine has named the adapter")
{
    struct Case
    {
        const char *first_;
        AdapterVerdict verdict_;
        bool passed_;
    };
    const Case cases[] = {
        {kRight, AdapterVerdict::Right, true},
        {kWrong, AdapterVerdict::Wrong, false},
        {": comment\n\n", AdapterVerdict::Pending, false},
        {"data: {\"model\":\"a@1\"", AdapterVerdict::Pending, false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.first_);
        AnswerCheck check("a@1", true);
        const std::string passed = check.feed(c.first_);
        CHECK(check.verdict() == c.verdict_);
        CHECK(!passed.empty() == c.passed_);
    }
}

// Guards against an engine that changes the adapter within an answer.
TEST_CASE("a later event that names another adapter and reports usage is wrong")
{
    AnswerCheck check("a@1", true);
    CHECK(check.feed(kRight) == kRight);
    CHECK(check.feed("data: {\"model\":\"b@1\",\"usage\":{}}\n\n").empty());
    CHECK(check.verdict() == AdapterVerdict::Wrong);
}

TEST_CASE("an SSE answer split at any byte is passed on unchanged and reports its usage")
{
    const std::string answer = std::string(kRight)
        + "data: {\"model\":\"a@1\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n"
          "data: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= answer.size(); ++cut) {
        CAPTURE(cut);
        AnswerCheck check("a@1", true);
        std::string passed = check.feed(answer.substr(0, cut));
        passed += check.feed(answer.substr(cut));
        passed += check.end();
        CHECK(passed == answer);
        CHECK(check.isComplete());
        CHECK(check.usedTokens() == 7);
    }
}

// Guards against a truncated answer that is reported as complete.
TEST_CASE("an SSE answer without its final line is not complete")
{
    AnswerCheck check("a@1", true);
    (void)check.feed(kRight);
    (void)check.end();
    CHECK(!check.isComplete());
}

TEST_CASE("a JSON answer is validated at its end")
{
    AnswerCheck right("a@1", false);
    CHECK(right.feed("{\"model\":\"a@1\"").empty());
    CHECK(right.feed("}").empty());
    CHECK(right.end() == "{\"model\":\"a@1\"}");
    AnswerCheck unnamed("a@1", false);
    (void)unnamed.feed("{}");
    CHECK(unnamed.end().empty());
    CHECK(unnamed.verdict() == AdapterVerdict::Wrong);
}

} // namespace
} // namespace foxtailturn
