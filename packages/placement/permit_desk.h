#pragma once

// An entry's requests for permits that wait for the answers of sidecars.
//
//     PermitDesk desk(send);                        // a PermitDesk::Sender
//     desk.request(engine, request, now, handler);
//     desk.onAnswer(answer, now);
//     desk.onLinkLost(engine, now);
//
// A permit is valid for kPermitLife from its request, so an answer that comes late or that a busy
// or suspended entry reads late grants nothing.

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "placement/permit.h"

namespace foxtailturn::placement {

// The outcome of a request: a permit, or when the next one may be requested.
struct PermitOutcome
{
    std::optional<TimePoint> validUntil_;
    TimePoint retryAt_{};

    bool operator==(const PermitOutcome &) const = default;
};

// Not thread-safe. Handlers run from onAnswer(), onLinkLost() and expire().
class PermitDesk
{
public:
    using Handler = std::function<void(const PermitOutcome &outcome)>;
    using Sender = std::function<void(const std::string &engine, const PermitRequest &request)>;

    // How long a request waits for its answer.
    static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(150);
    // Until the next request to a sidecar that didn't answer.
    static constexpr Duration kSilentRetry = std::chrono::milliseconds(200);

    static constexpr Duration kMaxRetry = std::chrono::seconds(2);

    // send may drop a request.
    explicit PermitDesk(Sender send)
        : send_(std::move(send))
    { }

    // Requests a permit from the sidecar of the engine at this address. The number is set here.
    void request(const std::string &engine, PermitRequest request, TimePoint now, Handler handler);

    // Handles an answer; one without a pending request is ignored.
    void onAnswer(const PermitAnswer &answer, TimePoint now);

    // Ends the requests to an engine whose connection is lost, and those without an answer in time.
    void onLinkLost(const std::string &engine, TimePoint now);
    void expire(TimePoint now);

    // Returns when the oldest request ends without an answer; max without requests.
    [[nodiscard]] TimePoint nextExpiry() const;

private:
    struct Pending
    {
        std::string engine_;
        TimePoint requestedAt_{};
        Handler handler_;
    };

    void end(std::map<std::int64_t, Pending>::iterator pending, const PermitOutcome &outcome);

    Sender send_;
    std::int64_t nextNumber_ = 1;
    std::map<std::int64_t, Pending> pending_; // by number, so the oldest first
};

} // namespace foxtailturn::placement
