// The part of Relay that reads targets' answers.

#include "gateway/relay.h"

#include <algorithm>
#include <utility>

#include "gateway/gateway.h"
#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

constexpr int kFirstServerErrorStatus = 500;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// A target that ends because of a part of the prompt ends as it begins to answer. The first event
// may leave it before.
constexpr int kSoundEvents = 2;
constexpr Duration kMaxEndCheckDelay = std::chrono::milliseconds(100); // from the close
constexpr Duration kEndCheckTimeout = std::chrono::milliseconds(400); // a lost SYN or SYN-ACK

} // namespace

void Relay::onReplyHead(const MessageHead &head, const TargetReply &reply)
{
    progressAt_ = gateway_.now();
    reply_ = reply;
    replyFraming_ = head.framing_;
    if (reply.isLeaving_)
        gateway_.recordLeaving(reply.instance_.empty() ? use_.instance() : reply.instance_);
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
    const bool isFailure = head.status_ >= kFirstServerErrorStatus && !state_.isTold();
    if (isFailure && runs_ + 1 < request_.route_->maxAttempts_ && request_.route_->isRepeatable()
        && gateway_.tryRetry(request_.service_)) {
        beginDiscard();
        return;
    }
    replyHandling_ = ReplyHandling::PassOn;
    passOn(state_.onHead(head));
}

// Sends what a part of the answer has brought for the caller. Ends the attempt if it has failed.
void Relay::passOn(AnswerStep step)
{
    if (step.head_) {
        if (state_.framing() == BodyFraming::UntilClose)
            answer_.endWithConnection();
        if (answer_.closesAfterAnswer())
            step.head_->add("Connection", "close");
        answer_.sendAnswer(responseText(*step.head_));
    }
    recordEvents(step);
    if (!step.body_.empty()) {
        answer_.sendAnswer(std::move(step.body_));
        const memory::MemoryAccount &memory = gateway_.memory();
        if (connection_ && answer_.unsentBytes() > memory.bounds().answerPauseAt(memory.total()))
            connection_->pause();
    }
    if (step.verdict_ == AnswerVerdict::Failed)
        onExchangeFailure(*step.error_);
}

void Relay::recordEvents(const AnswerStep &step)
{
    if (step.seenEvents_ == 0)
        return;
    const TimePoint now = gateway_.now();
    progressAt_ = now;
    const int before = state_.attemptEvents() - step.seenEvents_;
    if (before < kSoundEvents && state_.attemptEvents() >= kSoundEvents) {
        std::vector<Suspect> parts = request_.suspects_;
        std::erase_if(
            parts, [](const Suspect &suspect) { return suspect.kind_ != SuspectKind::PromptPart; });
        gateway_.recordSound(parts);
    }
    if (step.events_ == 0)
        return;
    if (state_.events() == step.events_) {
        firstEventAt_ = now;
        gateway_.serving().recordFirstEvent(firstEventAt_ - request_.receivedAt_);
    } else {
        longestPause_ = std::max(longestPause_, now - lastEventAt_);
    }
    lastEventAt_ = now;
}

// Returns what may have crashed the target of the attempt under way.
std::vector<Suspect> Relay::suspects() const
{
    std::vector<Suspect> list = request_.suspects_;
    if (state_.attemptEvents() >= kSoundEvents)
        std::erase_if(
            list, [](const Suspect &suspect) { return suspect.kind_ == SuspectKind::PromptPart; });
    return list;
}

void Relay::recordRejection(const TargetReply &reply)
{
    Target *target = use_.target();
    // A 503 that says neither is the target's own answer to this request.
    if (target == nullptr || (!reply.isNotRun_ && !reply.retryAfter_))
        return;
    const TimePoint now = gateway_.now();
    const bool wasClosed = target->backoff_.isClosed(now);
    target->backoff_.recordRejection(now, reply.retryAfter_, gateway_.jitter());
    gateway_.serving().recordRejection(request_.service_);
    if (!wasClosed && target->backoff_.isClosed(now))
        gateway_.log().write(LogDetail::Full, "target_closed",
                             {{"target", use_.instance()},
                              {"for_us", (target->backoff_.closedUntil() - now).count()}});
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
    log_.answerGivenUp(use_.instance(), discardedBytes_);
    if (Target *target = use_.target())
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
    if (replyHandling_ == ReplyHandling::Discard)
        discard(data.size());
    if (replyHandling_ != ReplyHandling::PassOn)
        return;
    if (!state_.isStream())
        progressAt_ = gateway_.now();
    use_.recordFirstBytes(state_.isStream());
    const memory::MemoryAccount &memory = gateway_.memory();
    const bool isShort = memory.total() > memory.bounds().pauseAt_;
    AnswerStep step = state_.onBody(data, isShort ? 0 : read_limits::kMaxBufferedBytes);
    answerHold_.set(state_.heldBytes());
    passOn(std::move(step));
}

void Relay::onReplyEnd()
{
    const std::shared_ptr<Relay> self = shared_from_this();
    const std::shared_ptr<TargetConnection> connection = // already released to the pool or closed
        std::exchange(connection_, nullptr);
    gateway_.serving().recordAnswerEnd(framingName(replyFraming_));
    if (replyHandling_ == ReplyHandling::Discard && reply_.isNotRun_) {
        const bool isOther = reply_.isOtherInstance_;
        if (Target *target = use_.target(); target != nullptr && isOther) {
            gateway_.targets().forgetLoadRequest(
                *target, adapterName(request_.caller_.model_, request_.caller_.adapter_));
            if (!reply_.instance_.empty() && reply_.instance_ != use_.instance())
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
    if (replyHandling_ == ReplyHandling::Discard) {
        ++runs_;
        releaseTarget();
        retryAttempt("the target answered with a server error");
        return;
    }
    if (replyFraming_ == BodyFraming::UntilClose)
        checkEnd(*connection);
    else
        finishReply();
}

// Learns whether the target that has closed its connection still runs. If its process has ended,
// its system has closed the connection, and says nothing about the end of the answer. A process
// that was started since may answer at the same address, so the check counts only soon after the
// close.
void Relay::checkEnd(const TargetConnection &closed)
{
    const TimePoint now = gateway_.now();
    if (state_.brokenOff() || gateway_.pool().hasOpenIdle(closed.address(), closed.closedSince())) {
        finishReply();
        return;
    }
    const Target *target = use_.target();
    if (target == nullptr || target->isSuperseded_) {
        failEnd("another instance has taken the target's place since its answer began");
        return;
    }
    if (now - closed.closedSince() > kMaxEndCheckDelay) {
        failEnd("the close of the answer was handled too late to tell it from a crash");
        return;
    }
    isCheckingEnd_ = true;
    const TimePoint deadline = std::min(now + kEndCheckTimeout, request_.deadline_);
    gateway_.pool().check(closed.address(), deadline,
                          [weak = weak_from_this()](Reachability reachability) {
                              const std::shared_ptr<Relay> self = weak.lock();
                              if (self && self->isCheckingEnd_)
                                  self->onEndChecked(reachability);
                          });
}

void Relay::onEndChecked(Reachability reachability)
{
    if (reachability != Reachability::Refused) {
        finishReply();
        return;
    }
    isCheckingEnd_ = false;
    failAttempt(Error{ErrorCode::ConnectionLost, Execution::OutcomeUnknown,
                      "the target ended and did not state the end of its answer"});
}

// Ends an attempt whose answer may be incomplete. That nothing tells so is not the target's fault.
void Relay::failEnd(std::string_view why)
{
    isCheckingEnd_ = false;
    gateway_.serving().recordAnswerEnd("unknown");
    log_.attemptFailed(
        use_.instance(),
        Error{ErrorCode::ConnectionLost, Execution::OutcomeUnknown, std::string(why)});
    ++runs_;
    releaseTarget();
    if (mayRetry(why))
        retryAttempt(why);
    else
        failRequest(ErrorCode::TargetFailed);
}

// Decides about an answer whose body has ended.
void Relay::finishReply()
{
    isCheckingEnd_ = false;
    AnswerStep step = state_.onEnd();
    answerHold_.set(0);
    const AnswerVerdict verdict = step.verdict_;
    if (verdict == AnswerVerdict::Failed) {
        failAttempt(*step.error_);
        return;
    }
    ++runs_;
    use_.recordFirstBytes(state_.isStream());
    if (replyFraming_ == BodyFraming::UntilClose)
        log_.endNotStated(use_.instance(), verdict);
    releaseTarget();
    if (state_.status() < kFirstServerErrorStatus) // an error may come before a run
        gateway_.recordSound(request_.suspects_);
    passOn(std::move(step));
    if (verdict == AnswerVerdict::EndNotStated)
        askForMore();
    else
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

} // namespace foxtailturn::gateway
