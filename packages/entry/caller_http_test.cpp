#include "entry/caller_http.h"

#include <doctest/doctest.h>

#include "base/json.h"

namespace foxtailturn {

TEST_CASE("a request is converted with names in lower case and without its query")
{
    MessageHead head;
    head.method_ = "POST";
    head.target_ = "/v1/x?a=b&c";
    head.add("X-Api-Key", "secret");
    head.add("x-api-key", "other");
    const CallerRequest request = toCallerRequest(head, "body");
    CHECK(!request.id_.empty());
    CHECK(request.method_ == "POST");
    CHECK(request.path_ == "/v1/x");
    CHECK(request.query_ == "a=b&c");
    CHECK(request.headers_ == HeaderMap{{"x-api-key", "secret"}});
    CHECK(request.body_ == "body");
}

// What was not read whole has not run, and its caller learns why.
TEST_CASE("a refusal before the end of a request is not_run, with its reason")
{
    struct Case
    {
        int status_;
        ErrorCode code_;
        const char *message_;
    };
    const Case cases[] = {
        {413, ErrorCode::PayloadTooLarge, "body is too large"},
        {431, ErrorCode::PayloadTooLarge, "header is too large"},
        {408, ErrorCode::DeadlineExceeded, "request was not sent in time"},
        {400, ErrorCode::BadRequest, "request can not be read"},
        {503, ErrorCode::Overloaded, "entry holds too many requests"},
    };
    for (const Case &each : cases) {
        CAPTURE(each.status_);
        callers::Refusal refusal{each.status_, "", std::string(errorName(each.code_))};
        refusal.closesConnection_ = true;
        if (each.status_ == 503)
            refusal.retryAfter_ = std::chrono::milliseconds(1500);
        const OwnAnswer answer = refusalAnswer(refusal, TimePoint());
        CHECK(answer.head_.status_ == each.status_);
        CHECK(*answer.head_.find("Connection") == "close");
        CHECK(*answer.head_.find("Content-Length") == std::to_string(answer.body_.size()));
        const Json error = Json::parse(answer.body_)["error"];
        CHECK(error["execution"] == "not_run");
        CHECK(error["code"] == errorName(each.code_));
        CHECK(error["message"] == each.message_);
        CHECK(error["request_id"] == *answer.head_.find("X-Request-Id"));
        const std::string *retryAfter = answer.head_.find("Retry-After");
        CHECK((retryAfter == nullptr ? "" : *retryAfter) == (each.status_ == 503 ? "2" : ""));
    }
}

} // namespace foxtailturn
