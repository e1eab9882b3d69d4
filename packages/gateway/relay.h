#pragma once

// Handles one admitted request: chooses a target, forwards the request, retries it where that is
// allowed, and sends the answer.
//
//     auto relay = std::make_shared<Relay>(gateway, std::move(request), answer);
//     relay->start();
//     relay->cancel();     // the caller has left
//
// The route decides what may be retried: a request that may have run is sent again only if its
// route is repeatable, and an interrupted stream is resumed at another target after the last
// complete event that was forwarded. 429 and 503 are sent only if the request certainly did not
// run; otherwise the answer is 502 or 504, or it is broken off if it has begun.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio.hpp>

#include "callers/caller_service.h"
#include "gateway/admitted_request.h"
#include "gateway/answer_state.h"
#include "gateway/placement.h"
#include "gateway/request_log.h"
#include "gateway/target_connection.h"
#include "gateway/target_use.h"
#include "gateway/waiting_requests.h"
#include "placement/permit_desk.h"

namespace foxtailturn::gateway {

class Gateway;
using callers::AnswerSink;

// Not thread-safe. Owned by the caller's connection until the answer has ended.
class Relay final : public std::enable_shared_from_this<Relay>,
                    public callers::Exchange,
                    public WaitingRequest,
                    ExchangeSink
{
public:
    // gateway and answer must outlive the relay unless cancel() is called first.
    Relay(Gateway &gateway, AdmittedRequest request, AnswerSink &answer);
    ~Relay() override;
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void start() override;

    // Cancels the request because the caller has closed its connection. The target connection is
    // reset, so that the target drops its work.
    void cancel() override;

    // Ends the request because the process is about to stop: with an answer, or by breaking it off
    // if a forwarded answer has begun. The target drops its work.
    void shutDown() override;

    void retryPlacement() override;

    // Called when all bytes of the answer so far were sent. Resumes reading from the target.
    void onAnswerDrained() override;

    [[nodiscard]] const AdmittedRequest &request() const { return request_; }
    [[nodiscard]] bool isWaiting() const { return isWaiting_ && !isEnded_; }

private:
    static constexpr int kMaxSends = 5; // at most maxAttempts_ of them may have run

    enum class ReplyHandling {
        None, // no answer yet
        PassOn, // AnswerState decides what the caller gets of it, and when
        Discard, // ignored: the target did not run the request, or it is retried
    };

    void onGrant(const Result<void> &granted);
    void place();
    void waitForTarget(TimePoint opensAt);
    void askPermit(Target &target);
    void onPermit(const std::string &instance, const placement::PermitOutcome &outcome);
    [[nodiscard]] bool maySendNow() const;
    void placeAgain();
    void waitForLoad(const PlacementChoice &choice);
    void waitFor(const WaitCondition &condition);
    void endWait();
    void reviewWait();
    void send(Target &target);
    [[nodiscard]] std::optional<RequestBytes> requestText();
    void withdraw();
    void releaseTarget();
    void abandonAttempt();
    void armTimer();
    void onTimer();
    [[nodiscard]] Duration idleLimit() const;
    [[nodiscard]] TimePoint idleUntil() const;
    void onIdle(TimePoint now);
    [[nodiscard]] bool mayGoOnElsewhere() const;
    [[nodiscard]] bool mayRetry(std::string_view why);
    void retryAttempt(std::string_view why);
    void failAttempt(const Error &error);
    void refuse(int status, ErrorCode code, std::optional<Duration> retryAfter);
    void failRequest(ErrorCode code);
    void end();

    void onExchangeFailure(const Error &error) override;
    [[nodiscard]] PlacementRequest placementRequest() const;
    [[nodiscard]] RequestCounts counts() const;

    // In relay_reply.cpp.
    void onReplyHead(const MessageHead &head, const TargetReply &reply) override;
    void onReplyBody(std::string_view data) override;
    void onReplyEnd() override;

    void checkEnd(const TargetConnection &closed);
    void failEnd(std::string_view why);
    void onEndChecked(Reachability reachability);
    void finishReply();
    void passOn(AnswerStep step);
    void askForMore();
    void recordRejection(const TargetReply &reply);
    void beginDiscard();
    void discard(std::size_t bytes);
    void finishDiscard();
    void recordEvents(const AnswerStep &step);
    [[nodiscard]] std::vector<Suspect> suspects() const;

    Gateway &gateway_;
    AdmittedRequest request_;
    memory::MemoryHold requestHold_;
    memory::MemoryHold answerHold_; // what state_ keeps of the answer
    AnswerSink &answer_;
    asio::steady_timer timer_;

    std::shared_ptr<TargetConnection> connection_;
    TargetUse use_; // by the attempt under way
    std::vector<std::string> tried_; // instances that the request was sent to
    int runs_ = 0; // attempts that may have run
    int sends_ = 0;
    TimePoint progressAt_{}; // when the request was written or the answer last went on; an event,
                             // for a stream; max before it is written
    TimePoint waitUntil_{}; // latest end of the wait for an adapter load
    TimePoint placeAt_ = TimePoint::max(); // when a waiting request is placed again at the latest
    TimePoint reviewAt_ = TimePoint::max(); // when a wait for a load is looked at again
    std::string loadingInstance_; // that the request waits for
    int permitRequests_ = 0; // for cold targets
    bool isAskingPermit_ = false;
    TimePoint permitUntil_ = TimePoint::max(); // of the attempt under way; max without a permit

    ReplyHandling replyHandling_ = ReplyHandling::None;
    TargetReply reply_;
    BodyFraming replyFraming_ = BodyFraming::None;
    std::size_t discardedBytes_ = 0;
    TimePoint discardUntil_{}; // the rest of a discarded answer is not read after this
    AnswerState state_;
    RequestLog log_;
    std::optional<PositionGap> gap_; // why the stream was not resumed
    bool isWaiting_ = false;
    bool isCheckingEnd_ = false; // the answer is there but for the word of its end
    bool isCharged_ = true; // the charge was taken from the quota
    bool isEnded_ = false;
    TimePoint firstEventAt_{};
    TimePoint lastEventAt_{};
    Duration longestPause_ = Duration::zero(); // between two events
};

} // namespace foxtailturn::gateway
