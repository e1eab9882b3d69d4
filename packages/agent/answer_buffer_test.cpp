#include "agent/answer_buffer.h"

#include <doctest/doctest.h>

#include <future>

namespace foxtailturn {
namespace {

constexpr std::size_t kBudget = 100'000'000;

const Error kFailure{ErrorCode::TargetCrashed, Execution::OutcomeUnknown, "target crashed"};

// Guards against bytes that are lost or duplicated when a broken stream resumes.
TEST_CASE("a reader that resumes at any offset gets the same bytes")
{
    const ManualClock clock;
    memory::ByteBudget budget(kBudget);
    AnswerBuffer answer(clock, budget);
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
        memory::ByteBudget budget(kBudget);
        AnswerBuffer answer(clock, budget);
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
    memory::ByteBudget budget(kBudget);
    AnswerBuffer answer(clock, budget);
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
        memory::ByteBudget budget(kBudget);
        AnswerBuffer answer(clock, budget);
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
    memory::ByteBudget budget(kBudget);
    AnswerBuffer answer(clock, budget);
    AnswerChunk empty;
    empty.offset_ = 0;
    CHECK(answer.next(0, false, clock.now() + std::chrono::milliseconds(5)) == empty);
}

// Guards against answers whose readers are slow and that take the memory of the VM together.
TEST_CASE("an answer keeps no more than its budget and what a resume needs")
{
    const ManualClock clock;
    memory::ByteBudget budget(1'000'000);
    AnswerBuffer answer(clock, budget);
    const std::string piece(50'000, 'x');
    std::uint64_t offset = 0;
    for (int i = 0; i < 100; ++i) {
        REQUIRE(answer.append(piece));
        while (offset < answer.size())
            offset += answer.next(offset, true, clock.now()).data_.size();
        CHECK(budget.taken() <= AnswerBuffer::kKeptBytes + 131'072);
    }
    CHECK(offset == 100 * piece.size());
    // A resume within what is kept, and one behind it.
    const AnswerChunk kept = answer.next(offset - 200'000, true, clock.now());
    CHECK(!kept.data_.empty());
    const AnswerChunk dropped = answer.next(0, true, clock.now());
    REQUIRE(dropped.failure_);
    CHECK(dropped.failure_->code_ == ErrorCode::ConnectionLost);
    CHECK(dropped.failure_->execution_ == Execution::OutcomeUnknown);
    answer.finish(1);
    CHECK(answer.next(offset, true, clock.now()).finished_);
    CHECK(budget.taken() <= 65'536);
}

TEST_CASE("an answer that nobody reads fails when the budget is used up")
{
    const ManualClock clock;
    memory::ByteBudget budget(300'000);
    AnswerBuffer unread(clock, budget);
    CHECK(!unread.append(std::string(1'000'000, 'x')));
    unread.finish(1);
    CHECK(unread.isEnded());
    AnswerBuffer shortAnswer(clock, budget);
    CHECK(shortAnswer.append(std::string(60'000, 'y')));
    shortAnswer.finish(1);
    CHECK(shortAnswer.next(0, true, clock.now()).finished_);
    // Its end is told behind the data that was kept.
    std::uint64_t offset = 0;
    AnswerChunk chunk;
    while (!chunk.failure_) {
        chunk = unread.next(offset, true, clock.now());
        offset += chunk.data_.size();
        REQUIRE(!chunk.finished_);
    }
    CHECK(offset == unread.size());
}

TEST_CASE("a writer that waits for room goes on when a reader makes it")
{
    const ManualClock clock;
    memory::ByteBudget budget(200'000);
    AnswerBuffer answer(clock, budget);
    std::future<bool> written = std::async(
        std::launch::async, [&answer] { return answer.append(std::string(1'000'000, 'x')); });
    std::uint64_t offset = 0;
    while (offset < 1'000'000) {
        const AnswerChunk chunk = answer.next(offset, true, clock.now() + std::chrono::seconds(10));
        REQUIRE(!chunk.failure_);
        offset += chunk.data_.size();
    }
    CHECK(written.get());
}

} // namespace
} // namespace foxtailturn
