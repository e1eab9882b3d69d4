#include "entry/filters.h"

#include <doctest/doctest.h>

#include "base/json.h"
#include "config/test_content.h"

namespace foxtailturn {
namespace {

constexpr auto kConfirmationTime = std::chrono::seconds(10);

class NullReservation final : public TokenReservation
{
public:
    void settle(std::uint64_t) override { }
};

// Grants each reservation and records its arguments.
class FakeLimiter final : public TokenLimiter
{
public:
    Result<std::unique_ptr<TokenReservation>> reserve(const std::string &workspace,
                                                      std::uint64_t tokens, TimePoint) override
    {
        workspace_ = workspace;
        tokens_ = tokens;
        return std::make_unique<NullReservation>();
    }

    std::string workspace_;
    std::uint64_t tokens_ = 0;
};

// The filter chain of the entry without the suspect filter, with the configuration of
// test_content.h.
struct Fixture
{
    Fixture()
        : confirmedUntil_(clock_.now() + kConfirmationTime)
    {
        chain_.add(std::make_unique<RouteFilter>(clock_));
        chain_.add(std::make_unique<KeyFilter>(clock_, [this] { return confirmedUntil_; }));
        chain_.add(std::make_unique<ModelFilter>());
        chain_.add(std::make_unique<IdempotencyFilter>());
        chain_.add(std::make_unique<LimitFilter>(limiter_));
    }

    RequestContext context(CallerRequest request) const
    {
        RequestContext context;
        context.request_ = std::move(request);
        context.configuration_ = *Configuration::create(1, testContent());
        return context;
    }

    ManualClock clock_;
    TimePoint confirmedUntil_;
    FakeLimiter limiter_;
    FilterChain chain_;
};

HeaderMap bearerHeaders(const std::string &secret)
{
    return {{"authorization", "Bearer " + secret}};
}

CallerRequest completionRequest(const std::string &body, const std::string &secret = "secret-a")
{
    return {"r1", "POST", "/v1/completions", "", bearerHeaders(secret), body};
}

CallerRequest bookingRequest(HeaderMap headers)
{
    return {"r1", "POST", "/slots/7", "", std::move(headers), "{}"};
}

const std::string kBodyStart = R"({"model":"report","prompt":"x")"; // without the closing brace

// Guards against an invalid request that is admitted, and against a refusal that is reported as
// outcome_unknown, which tells the caller that a retry is not safe.
TEST_CASE("each refusal of the chain is reported as not_run and reserves no tokens")
{
    const std::string tooDeep =
        kBodyStart + R"(,"a":)" + std::string(500'000, '[') + std::string(500'000, ']') + "}";
    struct Case
    {
        std::string name_;
        CallerRequest request_;
        ErrorCode code_;
    };
    const Case cases[] = {
        {"no key",
         {"r1", "POST", "/v1/completions", "", {}, kBodyStart + "}"},
         ErrorCode::Unauthenticated},
        {"unknown key", completionRequest(kBodyStart + "}", "secret-x"),
         ErrorCode::Unauthenticated},
        {"withdrawn key", completionRequest(kBodyStart + "}", "secret-w"), ErrorCode::KeyWithdrawn},
        {"unknown path",
         {"r1", "POST", "/other", "", bearerHeaders("secret-a"), ""},
         ErrorCode::RouteNotFound},
        {"model of another workspace", completionRequest(kBodyStart + "}", "secret-b"),
         ErrorCode::Forbidden},
        {"unknown model", completionRequest(R"({"model":"other"})"), ErrorCode::ModelNotFound},
        {"unknown version", completionRequest(R"({"model":"report@3"})"), ErrorCode::ModelNotFound},
        {"no model", completionRequest("{}"), ErrorCode::BadRequest},
        {"model of wrong type", completionRequest(R"({"model":1})"), ErrorCode::BadRequest},
        {"invalid JSON", completionRequest("{"), ErrorCode::BadRequest},
        {"invalid UTF-8", completionRequest(kBodyStart + ",\"a\":\"\xff\"}"),
         ErrorCode::BadRequest},
        {"nested too deep", completionRequest(tooDeep), ErrorCode::BadRequest},
        {"key in body", completionRequest(kBodyStart + R"(,"user":"secret-a"})"),
         ErrorCode::BadRequest},
        {"key in body, JSON escape", completionRequest(kBodyStart + R"(,"user":"\u0073ecret-a"})"),
         ErrorCode::BadRequest},
        {"key in body, percent escape", completionRequest(kBodyStart + R"(,"user":"%73ecret-a"})"),
         ErrorCode::BadRequest},
        {"key in path",
         {"r1", "POST", "/slots/secret-a", "", bearerHeaders("secret-a"), ""},
         ErrorCode::BadRequest},
        {"stream of wrong type", completionRequest(kBodyStart + R"(,"stream":"yes"})"),
         ErrorCode::BadRequest},
        {"max_tokens above limit", completionRequest(kBodyStart + R"(,"max_tokens":2001})"),
         ErrorCode::BadRequest},
        {"max_tokens of zero", completionRequest(kBodyStart + R"(,"max_tokens":0})"),
         ErrorCode::BadRequest},
        {"max_tokens of wrong type", completionRequest(kBodyStart + R"(,"max_tokens":"9"})"),
         ErrorCode::BadRequest},
        {"max_tokens beyond 64 bits",
         completionRequest(kBodyStart + R"(,"max_tokens":18446744073709551615})"),
         ErrorCode::BadRequest},
        {"max_completion_tokens above limit",
         completionRequest(kBodyStart + R"(,"max_completion_tokens":2001})"),
         ErrorCode::BadRequest},
        {"max_tokens above limit beside the other field",
         completionRequest(kBodyStart + R"(,"max_completion_tokens":1,"max_tokens":2001})"),
         ErrorCode::BadRequest},
        {"too many choices", completionRequest(kBodyStart + R"(,"n":17})"), ErrorCode::BadRequest},
        {"no idempotency key", bookingRequest(bearerHeaders("secret-a")),
         ErrorCode::IdempotencyKeyMissing},
        {"empty idempotency key",
         bookingRequest({{"x-api-key", "secret-a"}, {"idempotency-key", ""}}),
         ErrorCode::IdempotencyKeyMissing},
        {"long idempotency key",
         bookingRequest({{"x-api-key", "secret-a"}, {"idempotency-key", std::string(256, 'k')}}),
         ErrorCode::BadRequest},
        {"key in idempotency key",
         bookingRequest({{"x-api-key", "secret-a"}, {"idempotency-key", "a-secret-a"}}),
         ErrorCode::BadRequest},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        Fixture fixture;
        RequestContext context = fixture.context(c.request_);
        const Result<void> passed = fixture.chain_.apply(context);
        REQUIRE(!passed);
        CHECK(passed.error().code_ == c.code_);
        CHECK(passed.error().execution_ == Execution::NotRun);
        CHECK(fixture.limiter_.workspace_.empty());
        CHECK(context.reservation_ == nullptr);
    }
}

// Guards against a withdrawn key that keeps working at an entry that can't reach the store.
TEST_CASE("a configuration whose confirmation has expired admits only open routes")
{
    Fixture fixture;
    fixture.clock_.advance(kConfirmationTime);
    RequestContext keyed = fixture.context(completionRequest(kBodyStart + "}"));
    const Result<void> passed = fixture.chain_.apply(keyed);
    REQUIRE(!passed);
    CHECK(passed.error().code_ == ErrorCode::StaleConfiguration);
    CHECK(passed.error().execution_ == Execution::NotRun);

    RequestContext open = fixture.context({"r1", "GET", "/slots/open/7", "", {}, ""});
    CHECK(fixture.chain_.apply(open));
    CHECK(open.workspace_ == nullptr);
}

// Guards against an answer that can use more tokens than were reserved for it.
TEST_CASE("the reservation covers the prompt and all choices")
{
    struct Case
    {
        std::string fields_;
        std::uint64_t answerTokens_;
    };
    const Case cases[] = {
        {"}", 2'000},
        {R"(,"max_tokens":null})", 2'000},
        {R"(,"max_tokens":10})", 10},
        {R"(,"max_completion_tokens":10})", 10},
        {R"(,"max_completion_tokens":10,"max_tokens":20})", 20},
        {R"(,"max_completion_tokens":20,"max_tokens":10})", 20},
        {R"(,"max_tokens":10,"n":3})", 30},
        {R"(,"max_tokens":10,"n":2,"best_of":5})", 50},
    };
    for (const Case &c : cases) {
        CAPTURE(c.fields_);
        Fixture fixture;
        const std::string body = kBodyStart + c.fields_;
        RequestContext context = fixture.context(completionRequest(body));
        REQUIRE(fixture.chain_.apply(context));
        CHECK(fixture.limiter_.workspace_ == "north");
        CHECK(fixture.limiter_.tokens_ == body.size() + c.answerTokens_);
        CHECK(Json::parse(context.targetBody_)["max_tokens"].is_number());
    }
}

// Guards against a request that is sent to its target with the caller's key or another adapter.
TEST_CASE("the target receives the resolved adapter and no key")
{
    Fixture fixture;
    CallerRequest request = completionRequest(kBodyStart + R"(,"stream":true})");
    request.query_ = "a=1&api_key=secret-a";
    RequestContext context = fixture.context(std::move(request));
    REQUIRE(fixture.chain_.apply(context));
    CHECK(context.targetPath_ == "/v1/completions?a=1");
    CHECK(context.adapter_->version_ == 2);
    CHECK(context.streaming_);
    CHECK(context.deadline_ == fixture.clock_.now() + std::chrono::seconds(60));
    CHECK(Json::parse(context.targetBody_)["model"] == "report@2");
    CHECK(!containsSecret(context.targetBody_, "secret-a"));
}

} // namespace
} // namespace foxtailturn
