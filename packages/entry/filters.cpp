#include "entry/filters.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/json_members.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr std::string_view kEnginePathPrefix = "/v1/";
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::int64_t kMaxChoices = 16;
constexpr const char *kMaxTokensField = "max_tokens";
constexpr const char *kMaxCompletionTokensField = "max_completion_tokens";
// Requests to plain services use no model tokens; charging one token each limits their rate.
constexpr std::uint64_t kTokensPerServiceRequest = 1;

std::string withQuery(const std::string &path, const std::string &query)
{
    return query.empty() ? path : path + "?" + query;
}

std::string fingerprintOf(const RequestContext &context)
{
    const std::string workspace = context.workspace_ == nullptr ? "" : context.workspace_->id_;
    return sha256Hex(concat(workspace, "\n", context.route_->id_, "\n", context.targetPath_, "\n",
                            context.targetBody_));
}

// Reads an optional integer from 1 to max; returns fallback if the field is missing or null.
Result<std::int64_t> readCount(const JsonMembers &body, const char *name, std::int64_t fallback,
                               std::int64_t max)
{
    const Json *value = body.find(name);
    if (value == nullptr || value->is_null())
        return fallback;
    if (!value->is_number_integer() || value->get<std::int64_t>() < 1
        || value->get<std::int64_t>() > max)
        return notRun(ErrorCode::BadRequest, concat(name, " must be from 1 to ", max));
    return value->get<std::int64_t>();
}

// Returns the token limit of one choice and adds max_tokens to the body if it is missing. An engine
// may honour either field, so the larger value is used, and max_tokens is always sent.
Result<std::int64_t> limitChoiceTokens(JsonMembers &body, const Route &route)
{
    std::int64_t limit = 0;
    for (const char *field : {kMaxTokensField, kMaxCompletionTokensField}) {
        const Result<std::int64_t> tokens = readCount(body, field, 0, route.maxTokens_);
        if (!tokens)
            return tokens;
        limit = std::max(limit, *tokens);
    }
    if (limit == 0)
        limit = route.maxTokens_;
    const Json *maxTokens = body.find(kMaxTokensField);
    if (maxTokens == nullptr || maxTokens->is_null())
        body.set(kMaxTokensField, limit);
    return limit;
}

// Returns the token limit of all choices together and adds max_tokens to the body if it is missing.
Result<std::uint64_t> limitAnswerTokens(JsonMembers &body, const Route &route)
{
    const Result<std::int64_t> tokens = limitChoiceTokens(body, route);
    const Result<std::int64_t> choices = readCount(body, "n", 1, kMaxChoices);
    const Result<std::int64_t> bestOf = readCount(body, "best_of", 1, kMaxChoices);
    for (const Result<std::int64_t> *field : {&tokens, &choices, &bestOf}) {
        if (!*field)
            return tl::unexpected(field->error());
    }
    return static_cast<std::uint64_t>(*tokens * std::max(*choices, *bestOf));
}

} // namespace

RouteFilter::RouteFilter(const Clock &clock)
    : clock_(&clock)
{ }

Result<void> RouteFilter::apply(RequestContext &context) const
{
    const CallerRequest &request = context.request_;
    const Result<const Route *> route =
        context.configuration_->resolveRoute(request.method_, request.path_);
    if (!route)
        return tl::unexpected(route.error());
    context.route_ = *route;
    context.deadline_ = clock_->now() + std::chrono::milliseconds((*route)->deadlineMs_);
    return {};
}

KeyFilter::KeyFilter(const Clock &clock, std::function<TimePoint()> confirmedUntil)
    : clock_(&clock)
    , confirmedUntil_(std::move(confirmedUntil))
{ }

Result<void> KeyFilter::apply(RequestContext &context) const
{
    const CallerRequest &request = context.request_;
    const CallerKey callerKey = extractCallerKey(request.headers_);
    if (!context.route_->open_) {
        if (callerKey.secret_.empty())
            return notRun(ErrorCode::Unauthenticated, "request has no API key");
        if (clock_->now() >= confirmedUntil_())
            return notRun(ErrorCode::StaleConfiguration,
                          "configuration could not be confirmed lately");
        const Result<KeyMatch> match = context.configuration_->findKey(callerKey.secret_);
        if (!match)
            return tl::unexpected(match.error());
        context.key_ = match->key_;
        context.workspace_ = match->workspace_;
    }
    if (bodyContainsSecret(request.body_, callerKey.secret_)
        || containsSecret(request.path_, callerKey.secret_))
        return notRun(ErrorCode::BadRequest, "API key must not stand in the path or the body");
    context.targetPath_ =
        withQuery(request.path_, queryWithoutKey(request.query_, callerKey.secret_));
    context.targetBody_ = std::move(context.request_.body_);
    return {};
}

Result<void> ModelFilter::apply(RequestContext &context) const
{
    context.maxTokens_ = kTokensPerServiceRequest;
    if (context.route_->kind_ == RouteKind::Model) {
        if (context.workspace_ == nullptr)
            return notRun(ErrorCode::Unauthenticated, "model routes need an API key");
        JsonMembers body({"model", kMaxTokensField, kMaxCompletionTokensField, "n", "best_of",
                          "stream", "stream_options"});
        const bool isObject = body.read(context.targetBody_);
        const std::size_t bodyBytes = context.targetBody_.size();
        const Json *model = body.find("model");
        if (!isObject || model == nullptr || !model->is_string())
            return notRun(ErrorCode::BadRequest, "body must be JSON with a field model");
        const Result<const AdapterVersion *> adapter = context.configuration_->resolveModel(
            context.workspace_->id_, model->get<std::string>());
        if (!adapter)
            return tl::unexpected(adapter.error());
        context.adapter_ = *adapter;
        const Result<std::uint64_t> answerTokens = limitAnswerTokens(body, *context.route_);
        if (!answerTokens)
            return tl::unexpected(answerTokens.error());
        const Json *stream = body.find("stream");
        if (stream != nullptr && !stream->is_boolean())
            return notRun(ErrorCode::BadRequest, "stream must be true or false");
        context.streaming_ = stream != nullptr && stream->get<bool>();
        body.set("model", concat((*adapter)->adapter_, "@", (*adapter)->version_));
        // The engine reports token usage at the end of a stream only on request. The reservation
        // is settled with the reported number.
        if (context.streaming_)
            body.set("stream_options", {{"include_usage", true}});
        context.targetBody_ = body.text();
        // Serializing resolves JSON escapes, which may have hidden the key from KeyFilter.
        if (containsSecret(context.targetBody_,
                           extractCallerKey(context.request_.headers_).secret_))
            return notRun(ErrorCode::BadRequest, "API key must not stand in the body");
        const std::size_t start = context.targetPath_.find(kEnginePathPrefix);
        if (start != std::string::npos)
            context.targetPath_.erase(0, start);
        // A token is at least one byte of text, so the body's size bounds the prompt's tokens.
        context.maxTokens_ = bodyBytes + *answerTokens;
    }
    context.fingerprint_ = fingerprintOf(context);
    return {};
}

Result<void> IdempotencyFilter::apply(RequestContext &context) const
{
    const HeaderMap &headers = context.request_.headers_;
    const auto header = headers.find("idempotency-key");
    if (header != headers.end())
        context.idempotencyKey_ = header->second;
    if (context.idempotencyKey_.size() > kMaxIdempotencyKeyBytes)
        return notRun(ErrorCode::BadRequest, "Idempotency-Key is longer than 255 bytes");
    if (containsSecret(context.idempotencyKey_, extractCallerKey(headers).secret_))
        return notRun(ErrorCode::BadRequest, "API key must not stand in the Idempotency-Key");
    if (!context.route_->repeatable_ && context.idempotencyKey_.empty())
        return notRun(ErrorCode::IdempotencyKeyMissing,
                      "this route needs an Idempotency-Key header");
    return {};
}

SuspectFilter::SuspectFilter(RetryGuard &guard)
    : guard_(&guard)
{ }

Result<void> SuspectFilter::apply(RequestContext &context) const
{
    return guard_->admit(context);
}

LimitFilter::LimitFilter(TokenLimiter &limiter)
    : limiter_(&limiter)
{ }

Result<void> LimitFilter::apply(RequestContext &context) const
{
    if (context.workspace_ == nullptr)
        return {};
    Result<std::unique_ptr<TokenReservation>> reservation =
        limiter_->reserve(context.workspace_->id_, context.maxTokens_, context.deadline_);
    if (!reservation)
        return tl::unexpected(reservation.error());
    context.reservation_ = *std::move(reservation);
    return {};
}

} // namespace foxtailturn
