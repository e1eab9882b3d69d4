#pragma once

// Charges that other entries are asked to grant from the quota pools they keep.
//
//     GrantDesk desk(clock, [&](const std::string &keeper, const GrantRequest &r) { ... });
//     desk.ask("entry-2@10.0.0.8", "w1", 2'000, [](const Result<void> &granted) { ... });
//     desk.answer(message);    // from the keeper
//     desk.resend(keeper);     // a connection was made
//     desk.expire();           // at nextExpiry()
//
// A grant whose answer is lost or late is not used: the keeper has counted the charge, so a
// workspace may get less than its rate but never more.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "gateway/agent_messages.h"

namespace foxtailturn::gateway {

// Not thread-safe. Handlers run from answer() and expire().
class GrantDesk
{
public:
    // A caller waits for a grant this long; a round trip between entries takes some milliseconds.
    static constexpr Duration kGrantTime = std::chrono::milliseconds(200);

    // Called once with the outcome. Error: RateLimited, with the time of the next attempt.
    using GrantHandler = std::function<void(const Result<void> &granted)>;
    using Sender = std::function<void(const std::string &keeper, const GrantRequest &request)>;

    // The clock must outlive this object. send may lose a request.
    GrantDesk(const Clock &clock, Sender send);

    // Asks keeper for a charge in tokens.
    void ask(const std::string &keeper, const std::string &workspace, std::int64_t charge,
             GrantHandler handler);

    // Takes a keeper's answer; one that was not asked for, or comes late, is ignored.
    void answer(const GrantAnswer &answer);

    // Sends again what the keeper has not answered. A request that it gets twice is counted twice
    // there, which is on the safe side.
    void resend(const std::string &keeper);

    // Refuses the requests whose time is over. Returns the keepers that did not answer them.
    std::set<std::string> expire();

    // Returns when expire() is due next; nullopt while nothing is under way.
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

private:
    struct Pending
    {
        std::string keeper_;
        GrantRequest request_;
        TimePoint until_{};
        GrantHandler handler_;
    };

    const Clock &clock_;
    Sender send_;
    std::map<std::int64_t, Pending> pending_; // by number of the request, oldest first
    std::int64_t nextNumber_ = 1;
};

} // namespace foxtailturn::gateway
