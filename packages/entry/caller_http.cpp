#include "entry/caller_http.h"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include "base/hash.h"
#include "entry/error_response.h"

namespace foxtailturn {

namespace {

HeaderMap toHeaders(const MessageHead &head)
{
    HeaderMap map;
    for (const HeaderField &field : head.fields_) {
        std::string lower = field.name_;
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        map.emplace(std::move(lower), field.value_);
    }
    return map;
}

std::string_view messageOf(const callers::Refusal &refusal, ErrorCode code)
{
    if (refusal.status_ == 431)
        return "header is too large";
    switch (code) {
    case ErrorCode::PayloadTooLarge:
        return "body is too large";
    case ErrorCode::DeadlineExceeded:
        return "request was not sent in time";
    case ErrorCode::Overloaded:
        return "entry holds too many requests";
    default:
        return "request can not be read";
    }
}

OwnAnswer ownAnswer(int status, std::string body, const std::string &requestId)
{
    OwnAnswer answer{answerHead(status, kJsonContentType, requestId), std::move(body)};
    answer.head_.add("Content-Length", std::to_string(answer.body_.size()));
    return answer;
}

OwnAnswer httpErrorAnswer(const HttpError &error, int status, const std::string &requestId)
{
    OwnAnswer answer = ownAnswer(status, error.body_, requestId);
    if (error.retryAfterSeconds_)
        answer.head_.add("Retry-After", std::to_string(*error.retryAfterSeconds_));
    return answer;
}

} // namespace

CallerRequest toCallerRequest(const MessageHead &head, std::string body)
{
    CallerRequest caller;
    caller.id_ = randomId();
    caller.method_ = head.method_;
    const std::size_t query = head.target_.find('?');
    caller.path_ = head.target_.substr(0, query);
    if (query != std::string::npos)
        caller.query_ = head.target_.substr(query + 1);
    caller.headers_ = toHeaders(head);
    caller.body_ = std::move(body);
    return caller;
}

MessageHead answerHead(int status, const std::string &contentType, const std::string &requestId)
{
    MessageHead head;
    head.status_ = status;
    head.add("X-Request-Id", requestId);
    if (!contentType.empty())
        head.add("Content-Type", contentType);
    return head;
}

OwnAnswer jsonAnswer(std::string body, const std::string &requestId)
{
    constexpr int kOk = 200;
    return ownAnswer(kOk, std::move(body), requestId);
}

OwnAnswer errorAnswer(const Error &error, const std::string &requestId, TimePoint now)
{
    const HttpError http = toHttpError(error, requestId, now);
    return httpErrorAnswer(http, http.status_, requestId);
}

OwnAnswer refusalAnswer(const callers::Refusal &refusal, TimePoint now)
{
    const ErrorCode code = errorCodeOf(refusal.code_).value_or(ErrorCode::BadRequest);
    Error error{code, Execution::NotRun, std::string(messageOf(refusal, code))};
    if (refusal.retryAfter_)
        error.retryAt_ = now + *refusal.retryAfter_;
    const std::string id = refusal.requestId_.empty() ? randomId() : refusal.requestId_;
    OwnAnswer answer = httpErrorAnswer(toHttpError(error, id, now), refusal.status_, id);
    if (refusal.closesConnection_)
        answer.head_.add("Connection", "close");
    return answer;
}

} // namespace foxtailturn
