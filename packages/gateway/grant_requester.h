#pragma once

// Requests grants from other entries that own parts of a quota, one charge at a time.
//
//     GrantRequester requester(clock, send);   // a GrantRequester::Sender
//     requester.requestGrant("entry-2@10.0.0.8", "w1", 2'000, onGranted);
//     requester.onAnswer(message, receivedAt); // from the owner
//     requester.resend(owner);                 // after a reconnect
//     requester.expire(readySince);            // at the time of nextExpiry()
//
// A grant whose answer is lost or late is not used although the owner has charged it, so a
// workspace may get less than its rate but never more. An answer is late if it came after the
// request's deadline. One that came in time but that a busy event loop reads later is used up to
// kMaxGrantAge after the request.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "gateway/agent_messages.h"

namespace foxtailturn::gateway {

// Not thread-safe. Handlers run from onAnswer() and expire().
class GrantRequester
{
public:
    // Time limit of a grant request, during which a caller waits. A round trip between entries
    // takes a few milliseconds.
    static constexpr Duration kGrantTimeout = std::chrono::milliseconds(200);

    // A grant that is used later would add to what the workspace gets from a refilled quota.
    static constexpr Duration kMaxGrantAge = std::chrono::seconds(1);
    // Interval at which a request is looked at again whose answer may have come unread.
    static constexpr Duration kRecheckInterval = std::chrono::milliseconds(5);

    // Called once with the outcome. Errors, with the earliest time of a retry: RateLimited;
    // LeaseExpired if the entry owns no part of the quota or does not answer in time.
    using GrantHandler = std::function<void(const Result<void> &granted)>;
    using Sender = std::function<void(const std::string &owner, const GrantRequest &request)>;

    // The clock must outlive this object. send may drop a request.
    GrantRequester(const Clock &clock, Sender send);

    // Requests a grant of charge, in tokens, from the owner.
    void requestGrant(const std::string &owner, const std::string &workspace, std::int64_t charge,
                      GrantHandler handler);

    // Handles an owner's answer, which came at receivedAt or later. Answers that match no pending
    // request, are late or too old are ignored.
    void onAnswer(const GrantAnswer &answer, TimePoint receivedAt);

    // Sends the owner's unanswered requests again. A request that it receives twice is charged
    // twice there, which errs on the safe side.
    void resend(const std::string &owner);

    // Fails the requests past their deadline, unless the answer may have come in time and be
    // unread: all that came before readySince has been read. Past kMaxGrantAge a request fails in
    // any case. Returns the owners that are known not to have answered in time.
    std::set<std::string> expire(TimePoint readySince);

    // Returns when expire() is due; nullopt while no request is pending.
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

private:
    struct Pending
    {
        std::string owner_;
        GrantRequest request_;
        TimePoint deadline_{};
        TimePoint expireAt_{}; // next look at it by expire()
        GrantHandler handler_;
    };

    static TimePoint usableUntil(const Pending &pending)
    {
        return pending.deadline_ - kGrantTimeout + kMaxGrantAge;
    }

    const Clock &clock_;
    Sender send_;
    std::map<std::int64_t, Pending> pending_; // by request number, oldest first
    std::int64_t nextNumber_ = 1;
};

} // namespace foxtailturn::gateway
