#include "agent/answer_check.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

const char *const kMatchingEvent = "data: {\"model\":\"a@1\",\"x\":1}\n\n";
const char *const kMismatchingEvent = "data: {\"model\":\"a@2\",\"x\":1}\n\n";

// Guards against sending data of another adapter's answer to a caller.
TEST_CASE("an SSE answer is buffered until the engine has named the adapter")
{
    struct Case
    {
        const char *first_;
        AdapterMatch adapterMatch_;
        bool released_;
    };
    const Case cases[] = {
        {kMatchingEvent, AdapterMatch::Matched, true},
        {kMismatchingEvent, AdapterMatch::Mismatched, false},
        {": comment\n\n", AdapterMatch::Pending, false},
        {"data: {\"model\":\"a@1\"", AdapterMatch::Pending, false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.first_);
        AnswerCheck check("a@1", true);
        const std::string released = check.feed(c.first_);
        CHECK(check.adapterMatch() == c.adapterMatch_);
        CHECK(!released.empty() == c.released_);
    }
}

// Guards against an engine that changes the adapter within an answer.
TEST_CASE("a later event that names another adapter and reports usage is wrong")
{
    AnswerCheck check("a@1", true);
    CHECK(check.feed(kMatchingEvent) == kMatchingEvent);
    CHECK(check.feed("data: {\"model\":\"b@1\",\"usage\":{}}\n\n").empty());
    CHECK(check.adapterMatch() == AdapterMatch::Mismatched);
}

TEST_CASE("an SSE answer split at any byte is passed on unchanged and reports its usage")
{
    const std::string answer = std::string(kMatchingEvent)
        + "data: {\"model\":\"a@1\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n"
          "data: [DONE]\n\n";
    for (std::size_t splitAt = 0; splitAt <= answer.size(); ++splitAt) {
        CAPTURE(splitAt);
        AnswerCheck check("a@1", true);
        std::string released = check.feed(answer.substr(0, splitAt));
        released += check.feed(answer.substr(splitAt));
        released += check.end();
        CHECK(released == answer);
        CHECK(check.isComplete());
        CHECK(check.usedTokens() == 7);
    }
}

// Guards against a truncated answer that is reported as complete.
TEST_CASE("an SSE answer without its final line is not complete")
{
    AnswerCheck check("a@1", true);
    (void)check.feed(kMatchingEvent);
    (void)check.end();
    CHECK(!check.isComplete());
}

TEST_CASE("a JSON answer is validated at its end")
{
    AnswerCheck matching("a@1", false);
    CHECK(matching.feed("{\"model\":\"a@1\"").empty());
    CHECK(matching.feed("}").empty());
    CHECK(matching.end() == "{\"model\":\"a@1\"}");
    AnswerCheck unnamed("a@1", false);
    (void)unnamed.feed("{}");
    CHECK(unnamed.end().empty());
    CHECK(unnamed.adapterMatch() == AdapterMatch::Mismatched);
}

} // namespace
} // namespace foxtailturn
