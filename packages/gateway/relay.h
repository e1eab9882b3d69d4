#pragma once

// The life of one request at an entry: placed, sent, perhaps sent again, answered.
//
//     auto relay = std::make_shared<Relay>(gateway, std::move(request), answer);
//     relay->start();
//     relay->cancel();     // the caller has left
//
// What may be repeated follows from the route: a request that may have run is sent again only if
// its route is repeatable, and a broken stream goes on at another target behind the last whole
// event that the caller has. A refusal (429, 503) is given only while the request certainly did not
// run; afterwards the answer is 502 or 504, or the connection is broken off.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio.hpp>

#include "gateway/codec.h"
#include "gateway/event_splitter.h"
#include "gateway/placement.h"
#include "gateway/target_connection.h"

namespace foxtailturn::gateway {

class Gateway;

// Takes the answer for a caller.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual void sendAnswer(std::string bytes) = 0;

    // The answer is whole.
    virtual void endAnswer() = 0;

    // The answer can not be completed: the connection must not look as if it were.
    virtual void breakAnswer() = 0;

    // Returns whether the connection closes after this answer.
    [[nodiscard]] virtual bool closesAfterAnswer() const = 0;

    [[nodiscard]] virtual std::size_t unsentBytes() const = 0;

    // Returns whether the caller has closed its connection by now.
    [[nodiscard]] virtual bool hasCallerLeft() = 0;
};

// A request that was admitted.
struct AdmittedRequest
{
    MessageHead head_;
    std::string body_;
    CallerRequest caller_;
    std::shared_ptr<const ServingConfig> config_;
    const Route *route_ = nullptr; // in config_
    std::string service_;
    std::string workspace_;
    int priority_ = 0;
    std::int64_t charge_ = 0; // taken from the workspace's quota
    bool needsGrant_ = false; // not taken yet: the entry's own share was short
    std::string fingerprint_;
    TimePoint receivedAt_{};
    TimePoint deadline_{};
};

// Not thread-safe. Held by the caller's connection until the answer has ended.
class Relay final : public std::enable_shared_from_this<Relay>, ExchangeSink
{
public:
    // gateway and answer must outlive the relay, or cancel() is called first.
    Relay(Gateway &gateway, AdmittedRequest request, AnswerSink &answer);
    ~Relay() override;
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void start();

    // The caller has left: the target's work is broken off.
    void cancel();

    // Tries again to place a request that waits, for example after a load. Does nothing otherwise.
    void retryPlacement();

    // The caller has taken what was sent to it.
    void onAnswerDrained();

    [[nodiscard]] const AdmittedRequest &request() const { return request_; }
    [[nodiscard]] bool isWaiting() const { return isWaiting_ && !isEnded_; }

private:
    enum class ReplyUse {
        None, // no answer yet
        Forward, // goes to the caller
        Hold, // collected, so that a torn answer can be replaced
        Drop, // not run or worth another attempt
    };

    void onGrant(const Result<void> &granted);
    void place();
    void send(Target &target);
    void leaveTarget();
    void armTimer();
    void onTimer();
    [[nodiscard]] Duration silenceLimit() const;
    [[nodiscard]] bool mayRepeat(std::string_view why);
    void again(std::string_view why);
    void failAttempt(const Error &error);
    void refuse(int status, ErrorCode code, std::optional<Duration> retryAfter);
    void giveUp(ErrorCode code);
    void end();

    void onReplyHead(const MessageHead &head, const TargetReply &reply) override;
    void onReplyBody(std::string_view data) override;
    void onReplyEnd() override;
    void onExchangeFailure(const Error &error) override;

    void beginForwarding(const MessageHead &head, std::optional<std::size_t> length);
    void forwardEvents(std::string_view data);
    void forward(std::string_view data);
    void firstEvent();
    [[nodiscard]] PlacementRequest placementRequest() const;

    Gateway &gateway_;
    AdmittedRequest request_;
    AnswerSink &answer_;
    asio::steady_timer timer_;

    std::shared_ptr<TargetConnection> connection_;
    std::string instance_; // target of the attempt under way
    std::vector<std::string> tried_; // instances that this request was sent to
    int runs_ = 0; // attempts that may have run
    int sends_ = 0;
    TimePoint sentAt_{};
    TimePoint progressAt_{}; // last bytes from the target
    TimePoint waitUntil_{}; // for an adapter
    bool wasAlone_ = false; // the target had no other prompt of ours
    std::int64_t uncachedTokens_ = 0;

    ReplyUse use_ = ReplyUse::None;
    MessageHead replyHead_;
    TargetReply reply_;
    std::string held_;
    EventSplitter splitter_;
    std::string lastEventId_;
    int events_ = 0; // forwarded
    bool isForwarding_ = false; // the caller has the head
    bool isChunked_ = false; // towards the caller
    bool isStreamReply_ = false;
    bool hasFirstEvent_ = false;
    bool isWaiting_ = false;
    bool isCharged_ = true; // the quota holds the request's charge
    bool isEnded_ = false;
    TimePoint firstEventAt_{};
    TimePoint lastEventAt_{};
    Duration longestPause_ = Duration::zero(); // between two events so far
};

} // namespace foxtailturn::gateway
