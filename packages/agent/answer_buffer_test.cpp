#include "agent/answer_buffer.h"

#include <doctest/doctest.h>

#include <future>

namespace foxtailturn {
namespace {

const Error kFailure{ErrorCode::TargetCrashed, Execution::OutcomeUnknown, "target crashed"};

// Guards against bytes that are lost or duplicated when a broken stream resumes.
TEST_CASE("a reader that resumes at any offset gets the same bytes")
{
    const ManualClock clock;
    AnswerBuffer answer(clock);
    const AnswerHead head{200, "text/plain", "report@2", false};
    answer.setHead(head);
    const std::string whole = "first second third";
    for (std::size_t begin = 0; begin < whole.size(); begin += 5)
        REQUIRE(answer.append(whole.substr(begin, 5)));
    answer.finish(7);
    for (std::size_t offset = 0; offset <= whole.size(); ++offset) {
        CAPTURE(offset);
        const AnswerChunk chunk = answer.next(offset, offset % 2 == 0, clock.now());
        CHECK(chunk.data_ == whole.substr(offset));
        CHECK(chunk.offset_ == offset);
        CHECK(chunk.head_.has_value() == (offset % 2 != 0));
        CHECK(chunk.finished_);
        CHECK(chunk.usedTokens_ == 7);
    }
}

// Guards against a truncated answer that is sent to the caller as complete.
TEST_CASE("a cancelled or failed answer is never reported as finished")
{
    struct Case
    {
        std::string name_;
        void (*end_)(AnswerBuffer &answer);
    };
    const Case cases[] = {
        {"not ended", [](AnswerBuffer &) {}},
        {"cancelled", [](AnswerBuffer &answer) { answer.cancel(); }},
        {"failed", [](AnswerBuffer &answer) { answer.fail(kFailure); }},
        {"failed, then finished",
         [](AnswerBuffer &answer) {
             answer.fail(kFailure);
             answer.finish(1);
         }},
        {"cancelled, append refused, then finished",
         [](AnswerBuffer &answer) {
             answer.cancel();
             CHECK(!answer.append("rest"));
             answer.finish(1);
         }},
        {"too large, then finished",
         [](AnswerBuffer &answer) {
             std::string tooLarge;
             tooLarge.resize(20'000'000);
             CHECK(!answer.append(tooLarge));
             answer.finish(1);
         }},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        const ManualClock clock;
        AnswerBuffer answer(clock);
        REQUIRE(answer.append("half"));
        c.end_(answer);
        const AnswerChunk chunk = answer.next(0, true, clock.now());
        CHECK(!chunk.finished_);
        CHECK(chunk.failure_.has_value() == answer.isEnded());
        CHECK(chunk.data_ == "half");
    }
}

// Guards against a late failure that replaces the result of an answer already read to its end.
TEST_CASE("an answer that has ended does not change")
{
    const ManualClock clock;
    AnswerBuffer answer(clock);
    REQUIRE(answer.append("whole"));
    answer.finish(3);
    answer.fail(kFailure);
    answer.finish(9);
    CHECK(!answer.append("more"));
    const AnswerChunk chunk = answer.next(0, true, clock.now());
    CHECK(chunk.finished_);
    CHECK(!chunk.failure_);
    CHECK(chunk.usedTokens_ == 3);
    CHECK(chunk.data_ == "whole");
}

// Guards against a lost wake-up, which would delay each token by the progress interval.
TEST_CASE("a waiting reader wakes for each change")
{
    struct Case
    {
        std::string name_;
        void (*change_)(AnswerBuffer &answer);
        bool (*isSeen_)(const AnswerChunk &chunk);
    };
    const Case cases[] = {
        {"head", [](AnswerBuffer &answer) { answer.setHead({}); },
         [](const AnswerChunk &chunk) { return chunk.head_.has_value(); }},
        {"data", [](AnswerBuffer &answer) { CHECK(answer.append("x")); },
         [](const AnswerChunk &chunk) { return chunk.data_ == "x"; }},
        {"end", [](AnswerBuffer &answer) { answer.finish(1); },
         [](const AnswerChunk &chunk) { return chunk.finished_; }},
        {"failure", [](AnswerBuffer &answer) { answer.fail(kFailure); },
         [](const AnswerChunk &chunk) { return chunk.failure_ == kFailure; }},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        ManualClock clock;
        AnswerBuffer answer(clock);
        const TimePoint until = clock.now() + std::chrono::seconds(60);
        std::future<AnswerChunk> read = std::async(
            std::launch::async, [&answer, until] { return answer.next(0, false, until); });
        // lastReadAt() follows the clock only while a reader waits.
        do {
            clock.advance(Duration(1));
        } while (answer.lastReadAt() != clock.now());
        c.change_(answer);
        const bool woke = read.wait_for(std::chrono::seconds(20)) == std::future_status::ready;
        CHECK(woke);
        CHECK(c.isSeen_(read.get()));
    }
}

// Guards against a reader that blocks too long, so that its stream sends no Progress frames.
TEST_CASE("a read that times out returns an empty result")
{
    const ManualClock clock;
    AnswerBuffer answer(clock);
    AnswerChunk empty;
    empty.offset_ = 0;
    CHECK(answer.next(0, false, clock.now() + std::chrono::milliseconds(5)) == empty);
}

} // namespace
} // namespace foxtailturn
