// The part of Relay that reads targets' answers and passes them on.

#include "gateway/relay.h"

#include <algorithm>

#include "gateway/gateway.h"
#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

constexpr std::size_t kPauseThreshold =
    262'144; // unsent bytes above which reading from the target pauses
constexpr int kFirstServerErrorStatus = 500;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// A target that ends because of a part of the prompt ends as it begins to answer. The first event
// may leave it before.
constexpr int kSoundEvents = 2;

} // namespace

void Relay::onReplyHead(const MessageHead &head, const TargetReply &reply)
{
    progressAt_ = gateway_.now();
    reply_ = reply;
    replyFraming_ = head.framing_;
    if (reply.isLeaving_)
        gateway_.recordLeaving(reply.instance_.empty() ? instance_ : reply.instance_);
    if (head.status_ == kUnavailable || (reply.isNotRun_ && head.status_ == kTooManyRequests))
        recordRejection(reply);
    if (reply.isNotRun_) {
        beginDiscard();
        return;
    }
    const bool isSuccess = head.status_ >= 200 && head.status_ < 300;
    const bool isFromTarget =
        reply.isSigned_ && (!isSuccess || head.find("Content-Encoding") == nullptr);
    if (!isFromTarget) {
        // Not the target's own answer, so its status says nothing about the request, which may
        // have run.
        onExchangeFailure(
            Error{ErrorCode::TargetFailed, Execution::OutcomeUnknown,
                  "the response lacks the target's signature or has a Content-Encoding"});
        return;
    }
    isStreamReply_ = isSuccess && request_.route_->kind_ == RouteKind::Stream;
    if (isForwarding_ && !isStreamReply_) {
        onExchangeFailure(
            Error{ErrorCode::TargetFailed, Execution::OutcomeUnknown,
                  "the target answered the resumed stream with a status other than 2xx"});
        return;
    }
    const bool isFailure = head.status_ >= kFirstServerErrorStatus && !isForwarding_;
    if (isFailure && runs_ + 1 < request_.route_->maxAttempts_ && request_.route_->isRepeatable()
        && gateway_.tryRetry(request_.service_)) {
        beginDiscard();
        return;
    }
    if (isForwarding_) {
        replyHandling_ = ReplyHandling::Forward;
        return;
    }
    replyHead_ = head;
    replyHandling_ = isStreamReply_ ? ReplyHandling::Forward : ReplyHandling::Buffer;
    if (replyHandling_ == ReplyHandling::Forward)
        beginForwarding(AnswerBody::Stream);
}

// Sends the head of the answer. Of a whole body, all bytes are in bufferedBody_.
void Relay::beginForwarding(AnswerBody body)
{
    framing_ = callerFraming(replyFraming_, body, request_.head_.canReadChunks_);
    if (framing_ == BodyFraming::UntilClose)
        answer_.endWithConnection();
    MessageHead out;
    out.status_ = replyHead_.status_;
    out.fields_ = forwardableFields(replyHead_);
    if (answer_.closesAfterAnswer())
        out.add("Connection", "close");
    if (framing_ == BodyFraming::Chunks)
        out.add("Transfer-Encoding", "chunked");
    if (framing_ == BodyFraming::Length)
        out.add("Content-Length",
                std::to_string(body == AnswerBody::Whole ? bufferedBody_.size()
                                                         : replyHead_.contentLength_.value_or(0)));
    constexpr int kNoContent = 204; // has no length (RFC 9110, section 8.6)
    if (framing_ == BodyFraming::None && replyHead_.contentLength_
        && replyHead_.status_ != kNoContent)
        out.add("Content-Length", std::to_string(*replyHead_.contentLength_));
    isForwarding_ = true;
    isForwardingStream_ = body == AnswerBody::Stream;
    answer_.sendAnswer(responseText(out));
}

void Relay::recordFirstEvent()
{
    if (hasFirstEvent_)
        return;
    hasFirstEvent_ = true;
    Target *target = gateway_.targets().find(instance_);
    if (target != nullptr) {
        --target->pendingCount_;
        target->pendingPrompt_ -= uncachedTokens_;
        gateway_.targets().succeeded(*target);
    }
    Placement &placement = gateway_.placement(request_.service_);
    const TimePoint now = gateway_.now();
    if (wasOnlyPrefill_ && isStreamReply_)
        placement.recordPrefillTime(uncachedTokens_, now - sentAt_);
    if (!request_.caller_.prefix_.empty())
        placement.recordCachedPrefix(instance_, placementRequest(), now);
}

void Relay::recordEvent()
{
    if (++attemptEvents_ != kSoundEvents)
        return;
    std::vector<Suspect> parts = request_.suspects_;
    std::erase_if(parts,
                  [](const Suspect &suspect) { return suspect.kind_ != SuspectKind::PromptPart; });
    gateway_.recordSound(parts);
}

// Returns what may have crashed the target of the attempt under way.
std::vector<Suspect> Relay::suspects() const
{
    std::vector<Suspect> list = request_.suspects_;
    if (attemptEvents_ >= kSoundEvents)
        std::erase_if(
            list, [](const Suspect &suspect) { return suspect.kind_ == SuspectKind::PromptPart; });
    return list;
}

void Relay::recordRejection(const TargetReply &reply)
{
    Target *target = gateway_.targets().find(instance_);
    // A 503 that says neither is the target's own answer to this request.
    if (target == nullptr || (!reply.isNotRun_ && !reply.retryAfter_))
        return;
    const TimePoint now = gateway_.now();
    const bool wasClosed = target->backoff_.isClosed(now);
    target->backoff_.recordRejection(now, reply.retryAfter_, gateway_.jitter());
    gateway_.serving().recordRejection(request_.service_);
    if (!wasClosed && target->backoff_.isClosed(now))
        gateway_.log().write(
            LogDetail::Full, "target_closed",
            {{"target", instance_}, {"for_us", (target->backoff_.closedUntil() - now).count()}});
}

void Relay::beginDiscard()
{
    replyHandling_ = ReplyHandling::Discard;
    discardUntil_ = gateway_.now() + read_limits::kMaxDiscardTime;
    armTimer();
}

// Gives the rest of a discarded answer up; the head has told all that matters.
void Relay::finishDiscard()
{
    gateway_.serving().recordFailedAttempt("answer_given_up");
    gateway_.log().write(
        LogDetail::Full, "answer_given_up",
        {{"request", request_.caller_.id_}, {"target", instance_}, {"bytes", discardedBytes_}});
    if (Target *target = gateway_.targets().find(instance_))
        gateway_.targets().failed(*target, gateway_.now());
    connection_->abandon();
    onReplyEnd();
}

void Relay::discard(std::size_t bytes)
{
    discardedBytes_ += bytes;
    if (discardedBytes_ > read_limits::kMaxDiscardedBytes)
        finishDiscard();
}

void Relay::onReplyBody(std::string_view data)
{
    if (!isStreamReply_)
        progressAt_ = gateway_.now();
    replyBytes_ += data.size();
    switch (replyHandling_) {
    case ReplyHandling::None:
        return;
    case ReplyHandling::Discard:
        discard(data.size());
        return;
    case ReplyHandling::Buffer:
        recordFirstEvent();
        bufferedBody_ += data;
        if (bufferedBody_.size() > read_limits::kMaxBufferedBytes) {
            beginForwarding(AnswerBody::Plain);
            replyHandling_ = ReplyHandling::Forward;
            forward(bufferedBody_);
            bufferedBody_.clear();
        }
        return;
    case ReplyHandling::Forward:
        recordFirstEvent();
        if (isStreamReply_)
            forwardEvents(data);
        else
            forward(data);
        return;
    }
}

void Relay::forwardEvents(std::string_view data)
{
    std::string text;
    bytesSinceEvent_ += data.size();
    for (const StreamEvent &event : splitter_.feed(data)) {
        const std::optional<std::int64_t> number = eventNumber(event.id_);
        const std::optional<std::int64_t> last = eventNumber(lastEventId_);
        if (number && last && *number <= *last)
            continue; // already forwarded
        if (event.isComment()) {
            text += event.text_;
            continue;
        }
        progressAt_ = gateway_.now();
        bytesSinceEvent_ = 0;
        if (!event.id_.empty())
            lastEventId_ = event.id_;
        if (events_ == 0) {
            firstEventAt_ = gateway_.now();
            gateway_.serving().recordFirstEvent(firstEventAt_ - request_.receivedAt_);
        } else {
            longestPause_ = std::max(longestPause_, progressAt_ - lastEventAt_);
        }
        lastEventAt_ = progressAt_;
        ++events_;
        recordEvent();
        text += event.text_;
    }
    forward(text);
    bytesSinceEvent_ = std::max(bytesSinceEvent_, splitter_.remainder().size());
    if (bytesSinceEvent_ > read_limits::kMaxBytesBetweenEvents)
        onExchangeFailure(Error{ErrorCode::PayloadTooLarge, Execution::OutcomeUnknown,
                                "too many bytes of the stream without an event"});
}

void Relay::forward(std::string_view data)
{
    if (data.empty())
        return;
    const bool isChunked = framing_ == BodyFraming::Chunks;
    answer_.sendAnswer(isChunked ? chunkText(data) : std::string(data));
    if (answer_.unsentBytes() > kPauseThreshold && connection_)
        connection_->pause();
}

void Relay::onReplyEnd()
{
    const std::shared_ptr<Relay> self = shared_from_this();
    connection_.reset(); // already released to the pool or closed
    gateway_.serving().recordAnswerEnd(framingName(replyFraming_));
    if (replyHandling_ == ReplyHandling::Discard && reply_.isNotRun_) {
        const bool isOther = reply_.isOtherInstance_;
        if (Target *target = gateway_.targets().find(instance_); target != nullptr && isOther) {
            target->requestedLoads_.erase(
                adapterName(request_.caller_.model_, request_.caller_.adapter_));
            if (!reply_.instance_.empty() && reply_.instance_ != instance_)
                gateway_.targets().markSuperseded(*target);
        }
        releaseTarget();
        if (sends_ < kMaxSends && gateway_.now() < request_.deadline_
            && gateway_.tryRetry(request_.service_))
            retryAttempt(isOther ? "the instance or adapter version at the target is another one"
                                 : "the target rejected the request without running it");
        else
            failRequest(isOther ? ErrorCode::WrongAdapter : ErrorCode::Overloaded);
        return;
    }
    if (replyHandling_ != ReplyHandling::Discard && isTornStream()) {
        failAttempt(Error{replyFraming_ == BodyFraming::UntilClose ? ErrorCode::ConnectionLost
                                                                   : ErrorCode::TargetFailed,
                          Execution::OutcomeUnknown, "the stream ended inside an event"});
        return;
    }
    ++runs_;
    if (replyHandling_ == ReplyHandling::Discard) {
        releaseTarget();
        retryAttempt("the target answered with a server error");
        return;
    }
    recordFirstEvent();
    if (replyHandling_ == ReplyHandling::Buffer)
        beginForwarding(AnswerBody::Whole);
    if (replyFraming_ == BodyFraming::UntilClose)
        logUnstatedEnd();
    releaseTarget();
    if (replyHead_.status_ < kFirstServerErrorStatus) // an error may come before a run
        gateway_.recordSound(request_.suspects_);
    if (!mayEnd(framing_, replyFraming_)) {
        askForMore();
        return;
    }
    if (replyHandling_ == ReplyHandling::Buffer)
        forward(bufferedBody_);
    else if (framing_ == BodyFraming::Chunks)
        answer_.sendAnswer(std::string(kLastChunk));
    end();
}

// Learns from another target whether the stream goes on behind its last event. Its caller waits for
// a last chunk, and the last target has not stated that the stream has ended.
void Relay::askForMore()
{
    constexpr std::string_view kWhy = "the target did not state the end of the stream";
    if (mayRetry(kWhy))
        retryAttempt(kWhy);
    else
        failRequest(ErrorCode::TargetFailed);
}

void Relay::logUnstatedEnd()
{
    const bool isTold = mayEnd(framing_, replyFraming_);
    gateway_.log().write(LogDetail::Full, "end_not_stated",
                         {{"request", request_.caller_.id_},
                          {"target", instance_},
                          {"end", framingName(replyFraming_)},
                          {"bytes", replyBytes_},
                          {"events", attemptEvents_},
                          {"told", isTold ? framingName(framing_) : "nothing"}});
}

// Returns whether the stream that has just ended was broken off. The end of the connection says
// nothing of a body without length, so at least one event must have come whole.
bool Relay::isTornStream() const
{
    return isStreamReply_
        && (splitter_.isInsideEvent()
            || (replyFraming_ == BodyFraming::UntilClose && attemptEvents_ == 0));
}

} // namespace foxtailturn::gateway
