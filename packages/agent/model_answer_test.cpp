#include "agent/model_answer.h"

#include <doctest/doctest.h>

namespace foxtailturn {

constexpr std::size_t kBudget = 100'000'000;

// Guards against memory that grows with an engine's answer that can't be passed on and never ends.
TEST_CASE("an answer that has to be held is given up at the limit")
{
    struct Case
    {
        bool isStreaming_;
        std::string first_;
        std::string repeated_;
    };
    const std::string named = "data: {\"model\":\"a@1\"}\n\n";
    const std::string noise(65'536, 'x');
    const Case cases[] = {
        {false, "{\"model\":\"a@1\",\"text\":\"", noise}, // a JSON body
        {true, "", ": comment\n\n" + noise + "\n\n"}, // no adapter is named
        {true, named + "data: ", noise}, // a line
    };
    const SystemClock clock;
    for (const Case &c : cases) {
        CAPTURE(c.first_);
        memory::ByteBudget budget(kBudget);
        AnswerBuffer buffer(clock, budget);
        ModelAnswerSink sink("a@1", c.isStreaming_, buffer);
        REQUIRE(sink.onHead(200, "text/event-stream"));
        CHECK(sink.onData(c.first_));
        std::size_t bytes = 0;
        while (bytes <= 2 * AnswerCheck::kMaxBufferedBytes && sink.onData(c.repeated_))
            bytes += c.repeated_.size();
        CHECK(bytes <= AnswerCheck::kMaxBufferedBytes);
        CHECK(sink.isRejected());
        const Result<std::uint64_t> ended = sink.end();
        REQUIRE_FALSE(ended);
        CHECK(ended.error().code_ == ErrorCode::TargetFailed);
        CHECK(ended.error().execution_ == Execution::OutcomeUnknown);
    }
}

// Guards against a refusal's body that is passed on as whole although it may be cut.
TEST_CASE("an end that was not stated is accepted where the answer tells its own end")
{
    const SystemClock clock;
    struct Case
    {
        int status_;
        bool accepts_;
    };
    for (const Case &c :
         {Case{200, true}, {400, false}, {422, false}, {404, true}, {500, true}, {503, true}}) {
        CAPTURE(c.status_);
        memory::ByteBudget budget(kBudget);
        AnswerBuffer buffer(clock, budget);
        ModelAnswerSink sink("acme-reports@3", true, buffer);
        REQUIRE(sink.onHead(c.status_, "application/json"));
        CHECK(sink.acceptsUnstatedEnd() == c.accepts_);
    }
    memory::ByteBudget budget(kBudget);
    AnswerBuffer buffer(clock, budget);
    CHECK_FALSE(ServiceAnswerSink(buffer).acceptsUnstatedEnd());
}

} // namespace foxtailturn
