#include "stub_lib/load_run.h"

#include <doctest/doctest.h>

#include "stub_lib/answer_check.h"
#include "stub_lib/engine_stub.h"

namespace foxtailturn {
namespace {

std::string sse(const EngineAnswer &answer)
{
    std::string events;
    for (int i = 0; i < answer.tokens_; ++i)
        events += answer.tokenEvent(i);
    return events + answer.endEvents();
}

std::string without(std::string text, const std::string &part)
{
    const std::size_t at = text.find(part);
    REQUIRE(at != std::string::npos);
    return text.erase(at, part.size());
}

// Guards against a check that passes an answer of another request or one with a hole.
TEST_CASE("AnswerCheck tells whole answers from crossed and cut ones")
{
    const ExpectedAnswer expected{"a@3", "alias", promptDigest("hello")};
    const EngineAnswer right = makeAnswer({{"model", "a@3"}, {"prompt", "hello"}}, true, 4);
    const EngineAnswer version = makeAnswer({{"model", "a@4"}, {"prompt", "hello"}}, true, 4);
    const EngineAnswer adapter = makeAnswer({{"model", "b@3"}, {"prompt", "hello"}}, true, 4);
    const EngineAnswer prompt = makeAnswer({{"model", "a@3"}, {"prompt", "other"}}, true, 4);
    EngineAnswer renamed = version;
    renamed.model_ = "alias";
    const std::string error = "data: {\"error\": {\"code\": \"target_crashed\"}}\n\n";
    struct Case
    {
        const char *name_;
        std::string bytes_;
        Verdict verdict_;
    };
    const Case cases[] = {
        {"right", sse(right), Verdict::Complete},
        {"other version", sse(version), Verdict::Wrong},
        {"other version under the requested name", sse(renamed), Verdict::Wrong},
        {"other adapter", sse(adapter), Verdict::Wrong},
        {"other prompt", sse(prompt), Verdict::Wrong},
        {"other prompt's token", right.tokenEvent(0) + prompt.tokenEvent(1) + right.endEvents(),
         Verdict::Wrong},
        {"missing token", without(sse(right), right.tokenEvent(2)), Verdict::Wrong},
        {"missing last token", without(sse(right), right.tokenEvent(3)), Verdict::Wrong},
        {"no end", without(sse(right), "data: [DONE]\n\n"), Verdict::Cut},
        {"empty", "", Verdict::Cut},
        {"two answers", sse(right) + sse(right), Verdict::Wrong},
        {"error event", right.tokenEvent(0) + error, Verdict::Failed},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        AnswerCheck check(expected);
        for (const char byte : c.bytes_)
            check.feed(std::string(1, byte));
        CHECK(check.verdict() == c.verdict_);
    }
    AnswerCheck whole(expected);
    whole.takeBody(right.body());
    CHECK(whole.verdict() == Verdict::Complete);
}

// Guards against faults of the target that the driver's report would not show.
TEST_CASE("the report shows wrong answers, cut streams and refusals")
{
    EngineStub engine({.firstTokenMs_ = 5, .tokenMs_ = 1});
    const int port = engine.server().start("127.0.0.1", 0, 32);
    struct Case
    {
        const char *fault_;
        const char *model_;
        bool isStream_;
        const char *field_;
    };
    const Case cases[] = {
        {R"({})", "base", true, "complete"},
        {R"({})", "base", false, "complete"},
        {R"({"wrong_model": true})", "base", true, "wrong_answers"},
        {R"({"cut_after_tokens": 3})", "base", true, "cut_streams"},
        {R"({"cut_after_tokens": 3})", "base", false, "failed"},
        {R"({})", "none@1", true, "refusals"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.fault_);
        CAPTURE(c.isStream_);
        httplib::Client client("127.0.0.1", port);
        REQUIRE(client.Post("/fault", c.fault_, "application/json")->status == 200);
        const Json report = runLoad({.port_ = port,
                                     .models_ = {{c.model_, c.model_}},
                                     .streams_ = 4,
                                     .requests_ = 12,
                                     .isStream_ = c.isStream_})
                                .toJson(1);
        CHECK(report["requests"] == 12);
        const Json &count = report[c.field_];
        CHECK((count.is_object() ? count["404/unstated"] : count) == 12);
    }
}

// Guards against an open loop that waits for answers and so hides the queue it causes.
TEST_CASE("open loop counts latency from the planned start")
{
    EngineStub engine({.batch_ = 1, .firstTokenMs_ = 100, .tokens_ = 1});
    const int port = engine.server().start("127.0.0.1", 0, 32);
    const Json report = runLoad({.port_ = port,
                                 .models_ = {{"base", "base"}},
                                 .streams_ = 1,
                                 .rate_ = 50,
                                 .requests_ = 10,
                                 .maxTokens_ = 1})
                            .toJson(1);
    CHECK(report["complete"] == 10);
    CHECK(report["late_starts"].get<int>() >= 8);
    // The last of 10 requests planned 20 ms apart ends after 10 x 100 ms.
    CHECK(report["first_token_ms"]["max"].get<double>() >= 1000 - 9 * 20);
}

} // namespace
} // namespace foxtailturn
