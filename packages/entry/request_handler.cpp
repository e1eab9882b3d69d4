#include "entry/request_handler.h"

#include <utility>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"
#include "entry/caller_http.h"
#include "entry/error_response.h"

namespace foxtailturn {

namespace {

const Logger kLog("entry");

constexpr std::string_view kModelsPath = "/v1/models";

bool isHeadOnly(LiveRequest &live)
{
    return live.context().request_.method_ == "HEAD";
}

void sendOwn(const OwnAnswer &answer, AnswerChannel &channel, bool isHeadOnly)
{
    channel.sendHead(answer.head_);
    if (isHeadOnly || channel.send(answer.body_))
        channel.finish();
    else
        channel.breakOff();
}

// Returns whether the request may go on. Work that may be repeated ends when its caller leaves.
Result<void> checkCaller(LiveRequest &live, AnswerChannel &channel)
{
    if (channel.hasCallerLeft() && live.context().route_->repeatable_)
        return tl::unexpected(LiveRequest::callerDisconnected());
    return live.check();
}

BodyFraming framingFor(bool canReadChunks)
{
    return canReadChunks ? BodyFraming::Chunks : BodyFraming::UntilClose;
}

MessageHead headOf(LiveRequest &live, const StreamHead &stream)
{
    MessageHead head = answerHead(stream.status_, stream.contentType_, live.context().request_.id_);
    if (!stream.servedBy_.empty())
        head.add("X-Served-By", stream.servedBy_);
    if (stream.replayed_)
        head.add("X-Idempotent-Replay", "true");
    return head;
}

} // namespace

RequestHandler::RequestHandler(RequestHandlerParts parts)
    : parts_(std::move(parts))
{ }

void RequestHandler::run(const MessageHead &head, std::string body, AnswerChannel &channel)
{
    try {
        handle(head, std::move(body), channel);
    } catch (const std::exception &error) {
        kLog.error(concat("request failed: ", error.what()));
        if (channel.hasBegun())
            channel.breakOff();
        else
            sendOwn(errorAnswer({ErrorCode::Internal, Execution::OutcomeUnknown, "internal error"},
                                randomId(), parts_.clock_.now()),
                    channel, head.method_ == "HEAD");
    }
}

void RequestHandler::countRefusal()
{
    ++requests_;
    ++refused_;
}

void RequestHandler::handle(const MessageHead &head, std::string body, AnswerChannel &channel)
{
    ++requests_;
    LiveRequest live(parts_.clock_, parts_.observer_, parts_.retryGuard_, parts_.configuration_,
                     open_);
    RequestContext &context = live.context();
    context.request_ = toCallerRequest(head, std::move(body));
    context.configuration_ = parts_.configuration_();
    const Result<void> admitted = check(context);
    if (!admitted)
        return sendError(live, admitted.error(), channel);
    if (context.request_.path_ == kModelsPath && context.request_.method_ == "GET")
        return listModels(live, channel);
    const Result<void> passed = parts_.chain_.apply(context);
    if (!passed)
        return sendError(live, passed.error(), channel);
    if (context.streaming_)
        sendStream(live, head.canReadChunks_, channel);
    else
        sendAnswer(live, head.canReadChunks_, channel);
}

Result<void> RequestHandler::check(const RequestContext &context) const
{
    if (draining_)
        return notRun(ErrorCode::ShuttingDown, "entry is shutting down");
    if (!context.configuration_)
        return notRun(ErrorCode::StaleConfiguration, "entry has no configuration yet");
    if (context.request_.headers_.count("content-encoding") > 0)
        return notRun(ErrorCode::BadRequest, "content codings are not supported");
    return {};
}

void RequestHandler::sendError(LiveRequest &live, const Error &error, AnswerChannel &channel)
{
    ++(error.execution_ == Execution::NotRun ? refused_ : failed_);
    sendOwn(errorAnswer(error, live.context().request_.id_, parts_.clock_.now()), channel,
            isHeadOnly(live));
    live.fail(error);
}

void RequestHandler::listModels(LiveRequest &live, AnswerChannel &channel)
{
    const RequestContext &context = live.context();
    const Result<KeyMatch> match =
        context.configuration_->findKey(extractCallerKey(context.request_.headers_).secret_);
    if (!match)
        return sendError(live, match.error(), channel);
    Json data = Json::array();
    for (const AdapterVersion *adapter : context.configuration_->modelsOf(match->workspace_->id_))
        data.push_back({{"id", concat(adapter->adapter_, "@", adapter->version_)},
                        {"object", "model"},
                        {"root", adapter->baseModel_}});
    sendOwn(jsonAnswer(Json{{"object", "list"}, {"data", data}}.dump(), context.request_.id_),
            channel, false);
    live.complete(0);
}

void RequestHandler::sendAnswer(LiveRequest &live, bool canReadChunks, AnswerChannel &channel)
{
    Result<FetchedAnswer> answer = parts_.forwarder_.fetch(
        live.context(), [&live, &channel] { return checkCaller(live, channel); });
    if (!answer)
        return sendError(live, answer.error(), channel);
    live.recordFirstByte();
    MessageHead head = headOf(live, answer->head_);
    if (answer->rest_)
        return sendLongAnswer(live, std::move(head), *std::move(answer), canReadChunks, channel);
    head.add("Content-Length", std::to_string(answer->body_.size()));
    channel.sendHead(std::move(head));
    if (isHeadOnly(live) || channel.send(std::move(answer->body_)))
        channel.finish();
    else
        channel.breakOff();
    live.complete(answer->usedTokens_);
}

void RequestHandler::sendLongAnswer(LiveRequest &live, MessageHead head, FetchedAnswer answer,
                                    bool canReadChunks, AnswerChannel &channel)
{
    head.framing_ = framingFor(canReadChunks);
    channel.sendHead(std::move(head));
    if (!isHeadOnly(live) && channel.send(std::move(answer.body_)))
        while (forwardEvent(live, *answer.rest_, channel)) { }
    else
        channel.breakOff();
    live.fail(LiveRequest::callerDisconnected()); // unless it has ended
}

void RequestHandler::sendStream(LiveRequest &live, bool canReadChunks, AnswerChannel &channel)
{
    Result<AnswerStream> answer = parts_.forwarder_.open(
        live.context(), [&live, &channel] { return checkCaller(live, channel); });
    if (!answer)
        return sendError(live, answer.error(), channel);
    MessageHead head = headOf(live, answer->head_);
    head.framing_ = framingFor(canReadChunks);
    channel.sendHead(std::move(head));
    while (forwardEvent(live, *answer, channel)) { }
    live.fail(LiveRequest::callerDisconnected()); // unless it has ended
}

bool RequestHandler::forwardEvent(LiveRequest &live, AnswerStream &answer, AnswerChannel &channel)
{
    StreamEvent event = answer.stream_->next();
    if (event.kind_ == StreamEvent::Kind::End) {
        live.complete(event.usedTokens_);
        channel.finish();
        return false;
    }
    if (event.kind_ == StreamEvent::Kind::Failure) {
        parts_.forwarder_.reportFailure(live.context(), answer.placement_->target().name_,
                                        *event.failure_);
        abortAnswer(live, *event.failure_, channel);
        return false;
    }
    const Result<void> allowed = live.check();
    if (!allowed) {
        abortAnswer(live, allowed.error(), channel);
        return false;
    }
    if (event.kind_ != StreamEvent::Kind::Data)
        return !channel.hasCallerLeft();
    live.recordFirstByte();
    if (channel.send(std::move(event.data_)))
        return true;
    channel.breakOff();
    return false;
}

void RequestHandler::abortAnswer(LiveRequest &live, const Error &error, AnswerChannel &channel)
{
    ++failed_;
    if (live.context().streaming_) {
        const HttpError http = toHttpError(error, live.context().request_.id_, parts_.clock_.now());
        // A caller that has left needs no reason.
        (void)channel.send(concat("event: error\ndata: ", http.body_, "\n\n"));
    }
    channel.breakOff();
    live.fail(error);
}

} // namespace foxtailturn
