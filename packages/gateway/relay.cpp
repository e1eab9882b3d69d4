#include "gateway/relay.h"

#include <algorithm>
#include <utility>

#include "gateway/gateway.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

// The target is given the deadline and may answer itself that it has passed. That answer may arrive
// this much later.
constexpr Duration kDeadlineGrace = milliseconds(120);
constexpr Duration kConnectTimeout = milliseconds(400); // enough for one lost SYN or SYN-ACK
constexpr Duration kMaxAdapterWait =
    milliseconds(2500); // longest wait for an adapter load, from the first placement
// Idle times after which a repeatable request is retried at another target.
constexpr Duration kMinIdleTime = milliseconds(250);
constexpr Duration kMaxPlainIdleTime = milliseconds(600);
constexpr Duration kStreamIdleTime =
    milliseconds(1200); // of a stream without recent reports of its engine
constexpr Duration kReportedStreamIdleTime =
    milliseconds(3200); // of a stream with recent reports of its engine
constexpr Duration kUnreadTime =
    milliseconds(50); // for the loop to read what a target has sent, before it is looked at again
constexpr Duration kMaxReportAge = milliseconds(800);
constexpr Duration kBaseRetryAfter = milliseconds(250);
constexpr Duration kMinRetryAfter = milliseconds(50);
constexpr Duration kMaxWaitForTarget = milliseconds(250); // that wants no requests now

} // namespace

Relay::Relay(Gateway &gateway, AdmittedRequest request, AnswerSink &answer)
    : gateway_(gateway)
    , request_(std::move(request))
    , answer_(answer)
    , timer_(gateway.context())
    , use_(gateway, request_)
    , state_({.isStream_ = request_.route_->kind_ == RouteKind::Stream,
              .isResumable_ =
                  request_.route_->kind_ == RouteKind::Stream && request_.route_->isRepeatable(),
              .canReadChunks_ = request_.head_.canReadChunks_,
              .lastEventId_ = request_.caller_.lastEventId_})
    , log_(gateway.log(), request_, state_)
{ }

Relay::~Relay()
{
    releaseTarget();
}

PlacementRequest Relay::placementRequest() const
{
    PlacementRequest placement;
    const auto service = request_.config_->services_.find(request_.service_);
    placement.isEngine_ = service != request_.config_->services_.end()
        && service->second.engine_.has_value() && !request_.caller_.model_.empty();
    placement.model_ = request_.caller_.model_;
    placement.adapter_ = request_.caller_.adapter_;
    placement.promptTokens_ = request_.caller_.promptTokens_;
    placement.prefix_ = request_.caller_.prefix_;
    placement.excluded_ = tried_;
    return placement;
}

void Relay::start()
{
    if (!request_.needsGrant_) {
        place();
        return;
    }
    isCharged_ = false;
    gateway_.requestGrant(request_, [weak = weak_from_this()](const Result<void> &granted) {
        const std::shared_ptr<Relay> self = weak.lock();
        if (self && !self->isEnded_)
            self->onGrant(granted);
    });
}

void Relay::onGrant(const Result<void> &granted)
{
    if (granted) {
        isCharged_ = true;
        place();
        return;
    }
    const TimePoint now = gateway_.now();
    const Duration wait = granted.error().retryAt_.value_or(now) - now;
    const int status = granted.error().code_ == ErrorCode::RateLimited ? 429 : 503;
    refuse(status, granted.error().code_, std::max<Duration>(wait, kMinRetryAfter));
}

void Relay::place()
{
    if (isEnded_)
        return;
    const TimePoint now = gateway_.now();
    placeAt_ = TimePoint::max();
    reviewAt_ = TimePoint::max();
    if (now >= request_.deadline_) {
        failRequest(ErrorCode::DeadlineExceeded);
        return;
    }
    // A busy event loop may handle the caller's close late. The request must not be sent to a
    // target after that close.
    if (answer_.hasCallerLeft()) {
        cancel();
        return;
    }
    // The copies of a request may have crashed targets while it waited. One that has begun to
    // answer is not the cause.
    if (state_.events() == 0 && gateway_.isQuarantined(request_.suspects_)) {
        failRequest(ErrorCode::Quarantined);
        return;
    }
    const PlacementChoice choice = gateway_.choose(request_.service_, placementRequest());
    if (choice.target_ == nullptr && choice.opensAt_) {
        waitForTarget(*choice.opensAt_);
        return;
    }
    if (choice.target_ == nullptr) {
        failRequest(ErrorCode::NoTarget);
        return;
    }
    if (choice.needsLoad_) {
        waitForLoad(choice);
        return;
    }
    endWait();
    if (runs_ == 0 && now + choice.expected_ >= request_.deadline_) {
        failRequest(ErrorCode::Overloaded);
        return;
    }
    log_.sent(choice, sends_ + 1, now);
    send(*choice.target_);
}

// All targets want no requests for now. A wait that is short against the route's objective is
// better for the caller than a rejection.
void Relay::waitForTarget(TimePoint opensAt)
{
    const TimePoint now = gateway_.now();
    const Duration wait = opensAt - now;
    const bool isShort = wait <= std::min(request_.route_->objective_ / 2, kMaxWaitForTarget);
    if (!isShort || opensAt >= request_.deadline_) {
        if (runs_ > 0) {
            failRequest(ErrorCode::Overloaded);
            return;
        }
        const Duration spread = std::max(kBaseRetryAfter, wait / 4);
        refuse(503, ErrorCode::Overloaded,
               wait + std::chrono::duration_cast<Duration>(spread * gateway_.jitter()));
        return;
    }
    placeAt_ = opensAt;
    waitFor({.service_ = request_.service_, .adapter_ = {}, .address_ = {}});
}

void Relay::waitForLoad(const PlacementChoice &choice)
{
    const TimePoint now = gateway_.now();
    if (waitUntil_ == TimePoint{})
        waitUntil_ = now + kMaxAdapterWait;
    if (now >= waitUntil_) {
        failRequest(ErrorCode::AdapterLoadFailed);
        return;
    }
    const CallerRequest &caller = request_.caller_;
    gateway_.requestLoad(*choice.target_, caller.model_, caller.adapter_);
    loadingInstance_ = choice.target_->record_.instance_;
    reviewAt_ = now + WaitingRequests::kReviewInterval;
    // No event tells that a busy target with the adapter has become the better one.
    placeAt_ = choice.isHostPassedOver_ ? std::min(reviewAt_, waitUntil_) : waitUntil_;
    waitFor({.service_ = request_.service_,
             .adapter_ = adapterName(caller.model_, caller.adapter_),
             .address_ = choice.target_->record_.address_});
}

void Relay::waitFor(const WaitCondition &condition)
{
    isWaiting_ = true;
    gateway_.waiting().add(shared_from_this(), condition);
    armTimer();
}

void Relay::endWait()
{
    if (std::exchange(isWaiting_, false))
        gateway_.waiting().remove(*this);
}

// Costs the same in a fleet of any size: most waits end with the report of the load.
void Relay::reviewWait()
{
    const std::string name = adapterName(request_.caller_.model_, request_.caller_.adapter_);
    if (!gateway_.isLoadUnderWay(loadingInstance_, name)
        || gateway_.isQuarantined(request_.suspects_) || answer_.hasCallerLeft()) {
        place();
        return;
    }
    reviewAt_ = gateway_.now() + WaitingRequests::kReviewInterval;
    armTimer();
}

void Relay::send(Target &target)
{
    const TimePoint now = gateway_.now();
    PlacementRequest placement = placementRequest();
    if (placement.isEngine_ && !placement.adapter_.empty())
        gateway_.serving().recordPlacement(waitUntil_ == TimePoint{});
    use_.begin(target, std::move(placement));
    tried_.push_back(use_.instance());
    ++sends_;
    progressAt_ = TimePoint::max();
    replyHandling_ = ReplyHandling::None;
    discardedBytes_ = 0;
    state_.beginAttempt();
    if (sends_ == 1)
        gateway_.serving().recordQueueTime(now - request_.receivedAt_);
    const TimePoint connectDeadline = std::min(now + kConnectTimeout, request_.deadline_);
    // A retry opens a new connection: all idle ones may be affected by the same network fault.
    connection_ = sends_ > 1 ? gateway_.pool().open(target.record_.address_, connectDeadline)
                             : gateway_.pool().acquire(target.record_.address_, connectDeadline);
    armTimer(); // for the connection
    const std::shared_ptr<TargetConnection> connection = connection_; // the writer may release it
    connection->exchange([this] { return requestText(); }, request_.caller_.id_,
                         request_.head_.method_ == "HEAD", *this);
}

// Returns the request with the time that is left now, or ends it if its time is over or its caller
// has left while it waited for the connection.
std::optional<std::string> Relay::requestText()
{
    const std::shared_ptr<Relay> self = shared_from_this();
    const TimePoint now = gateway_.now();
    if (now >= request_.deadline_) {
        failRequest(ErrorCode::DeadlineExceeded);
        return std::nullopt;
    }
    if (answer_.hasCallerLeft()) {
        cancel();
        return std::nullopt;
    }
    TargetCall call;
    call.timeLeft_ = request_.deadline_ - now;
    call.instance_ = use_.instance();
    call.workspace_ = request_.workspace_;
    call.lastEventId_ = state_.resumeId();
    call.priority_ = std::min(request_.priority_, 9);
    std::string text = gateway_.codec().targetHead(request_.head_, call, request_.body_.size());
    text += request_.body_;
    progressAt_ = now;
    armTimer();
    return text;
}

void Relay::releaseTarget()
{
    if (use_.instance().empty())
        return;
    use_.end();
    if (connection_) {
        connection_->abandon();
        connection_.reset();
    }
}

// Ends the attempt under way, if there is one. It may have run, unless the target has said
// otherwise or was sent nothing.
void Relay::abandonAttempt()
{
    const bool isRejected = replyHandling_ == ReplyHandling::Discard && reply_.isNotRun_;
    if (connection_ && connection_->hasSent() && !isRejected)
        ++runs_;
    releaseTarget();
}

Duration Relay::idleLimit() const
{
    const Route &route = *request_.route_;
    if (!route.isRepeatable())
        return Duration::max();
    if (route.kind_ == RouteKind::Idempotent)
        return std::clamp<Duration>(route.objective_ * 2, kMinIdleTime, kMaxPlainIdleTime);
    const Target *target = use_.target();
    const bool hasRecentReport =
        target != nullptr && gateway_.now() - target->reportedAt_ < kMaxReportAge;
    return hasRecentReport ? kReportedStreamIdleTime : kStreamIdleTime;
}

// Returns when the target counts as silent. A connection attempt has a time limit of its own.
TimePoint Relay::idleUntil() const
{
    const Duration idle = idleLimit();
    if (!connection_ || idle == Duration::max() || progressAt_ == TimePoint::max())
        return TimePoint::max();
    return progressAt_ + idle;
}

void Relay::armTimer()
{
    TimePoint expiry = request_.deadline_ + kDeadlineGrace;
    if (isWaiting_)
        expiry = std::min({request_.deadline_, placeAt_, reviewAt_});
    expiry = std::min(expiry, idleUntil());
    if (connection_ && replyHandling_ == ReplyHandling::Discard)
        expiry = std::min(expiry, discardUntil_);
    timer_.expires_after(std::max(expiry - gateway_.now(), Duration::zero()));
    timer_.async_wait([weak = weak_from_this()](const asio::error_code &why) {
        const std::shared_ptr<Relay> self = weak.lock();
        if (!why && self && !self->isEnded_)
            self->onTimer();
    });
}

void Relay::onTimer()
{
    const TimePoint now = gateway_.now();
    if (isCheckingEnd_ && now >= request_.deadline_) {
        failEnd("the target was not checked before the deadline");
        return;
    }
    if (now >= request_.deadline_ + kDeadlineGrace) {
        abandonAttempt();
        failRequest(ErrorCode::DeadlineExceeded);
        return;
    }
    if (isWaiting_) {
        if (now >= reviewAt_ && now < std::min(request_.deadline_, placeAt_))
            reviewWait();
        else
            place();
        return;
    }
    if (connection_ && replyHandling_ == ReplyHandling::Discard && now >= discardUntil_) {
        finishDiscard();
        return;
    }
    if (now >= idleUntil())
        onIdle(now);
    else
        armTimer();
}

// The target has not gone on for the idle time, unless the entry has not read what it has sent.
void Relay::onIdle(TimePoint now)
{
    if (connection_->hasUnread()) {
        progressAt_ = now - idleLimit() + kUnreadTime;
        armTimer();
        return;
    }
    const bool isLastAttempt = runs_ + 1 >= request_.route_->maxAttempts_;
    if (isLastAttempt || !mayGoOnElsewhere() || !gateway_.tryRetry(request_.service_)) {
        progressAt_ = now; // no retry is allowed: keep waiting until the deadline
        armTimer();
        return;
    }
    if (Target *target = use_.target())
        gateway_.targets().failed(*target, now);
    // If a device on the network path has lost its connection state, all connections stop
    // delivering data, not just this one.
    gateway_.pool().closeAllIdle();
    ++runs_;
    releaseTarget();
    retryAttempt("no data from the target within the idle timeout");
}

void Relay::cancel()
{
    if (isEnded_)
        return;
    isEnded_ = true;
    isCheckingEnd_ = false;
    timer_.cancel();
    gateway_.waiting().remove(*this);
    if (sends_ == 0 && isCharged_)
        gateway_.quotas().refund(request_.workspace_, request_.charge_);
    releaseTarget();
    gateway_.countAnswer(&request_, 0, "caller_left");
    log_.callerLeft(counts());
}

void Relay::shutDown()
{
    const std::shared_ptr<Relay> self = shared_from_this();
    if (isCheckingEnd_)
        finishReply();
    if (isEnded_)
        return;
    abandonAttempt();
    failRequest(ErrorCode::ShuttingDown);
}

void Relay::retryPlacement()
{
    if (isWaiting())
        place();
}

void Relay::onAnswerDrained()
{
    if (connection_)
        connection_->resume();
}

void Relay::retryAttempt(std::string_view why)
{
    log_.goesOn(why, counts());
    place();
}

// Returns whether another target may be sent the request although one may have run it.
bool Relay::mayGoOnElsewhere() const
{
    return request_.route_->isRepeatable() && state_.mayGoOn();
}

bool Relay::mayRetry(std::string_view why)
{
    gap_ = state_.gap();
    const bool isAllowed = mayGoOnElsewhere() && runs_ < request_.route_->maxAttempts_
        && sends_ < kMaxSends && gateway_.now() < request_.deadline_;
    if (!isAllowed)
        return false;
    if (gateway_.tryRetry(request_.service_))
        return true;
    log_.retryBudgetExhausted(why);
    return false;
}

RequestCounts Relay::counts() const
{
    return {sends_, runs_, gateway_.now() - request_.receivedAt_};
}

void Relay::refuse(int status, ErrorCode code, std::optional<Duration> retryAfter)
{
    if (isEnded_)
        return;
    isEnded_ = true;
    timer_.cancel();
    gateway_.waiting().remove(*this);
    releaseTarget();
    if (runs_ == 0 && isCharged_)
        gateway_.quotas().refund(request_.workspace_, request_.charge_);
    gateway_.countAnswer(&request_, status, errorName(code));
    nlohmann::json fields = nlohmann::json::object();
    if (retryAfter)
        fields["retry_after_us"] = retryAfter->count();
    if (code == ErrorCode::RateLimited) {
        fields["workspace"] = request_.workspace_;
        fields["charge"] = request_.charge_;
        fields["units"] = gateway_.quotas().unitsOf(request_.workspace_);
        fields["owners"] = gateway_.quotas().ownersOf(request_.workspace_);
    }
    if (gap_) {
        fields["not_resumed"] = positionGapName(*gap_);
        gateway_.serving().recordNotResumed(positionGapName(*gap_));
    }
    log_.refused(status, code, counts(), std::move(fields));
    const AnswerBreak how = state_.breakOff();
    if (how != AnswerBreak::Refuse) {
        answer_.abortAnswer(how);
        return;
    }
    Refusal refusal{status, request_.caller_.id_, std::string(errorName(code)), retryAfter,
                    answer_.closesAfterAnswer()};
    answer_.sendAnswer(gateway_.codec().refusal(refusal));
    answer_.endAnswer();
}

void Relay::failRequest(ErrorCode code)
{
    const bool isLate = code == ErrorCode::DeadlineExceeded;
    const bool isShutdown = code == ErrorCode::ShuttingDown;
    if (runs_ > 0) {
        refuse(isLate ? 504 : 502, isLate || isShutdown ? code : ErrorCode::TargetFailed,
               std::nullopt);
        return;
    }
    const Duration base = code == ErrorCode::Quarantined ? Gateway::kQuarantineRetry
        : isShutdown                                     ? Gateway::kShutdownRetry
                                                         : kBaseRetryAfter;
    const Duration spread = std::chrono::duration_cast<Duration>(base * gateway_.jitter());
    refuse(503, code, base + spread);
}

void Relay::end()
{
    isEnded_ = true;
    timer_.cancel();
    gateway_.countAnswer(&request_, state_.status(), "target");
    if (state_.events() > 1)
        gateway_.serving().pause(longestPause_);
    log_.answered(tried_.empty() ? "" : tried_.back(), counts(),
                  state_.events() > 0 ? std::optional(firstEventAt_ - request_.receivedAt_)
                                      : std::nullopt);
    answer_.endAnswer();
}

void Relay::onExchangeFailure(const Error &error)
{
    const std::shared_ptr<Relay> self = shared_from_this();
    if (isEnded_)
        return;
    failAttempt(error);
}

void Relay::failAttempt(const Error &error)
{
    const std::string instance = use_.instance();
    if (replyHandling_ != ReplyHandling::None)
        gateway_.serving().recordAnswerEnd("broken");
    gateway_.serving().recordFailedAttempt(errorName(error.code_));
    const bool mayHaveRun = error.execution_ == Execution::OutcomeUnknown;
    if (Target *target = gateway_.targets().find(instance))
        gateway_.targets().failed(*target, gateway_.now());
    releaseTarget();
    log_.attemptFailed(instance, error);
    if (!mayHaveRun) {
        gateway_.recordUnreachable(instance);
        if (sends_ < kMaxSends)
            retryAttempt("connecting to the target failed");
        else
            failRequest(ErrorCode::NoTarget);
        return;
    }
    ++runs_;
    if (error.code_ == ErrorCode::ConnectionLost)
        gateway_.recordConnectionLoss(instance, suspects());
    if (mayRetry(error.message_))
        retryAttempt("the attempt failed with an unknown outcome");
    else
        failRequest(ErrorCode::TargetFailed);
}

} // namespace foxtailturn::gateway
