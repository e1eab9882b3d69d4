#pragma once

// One request from its arrival to its end: still allowed?, settled once, observed once.
//
//     auto live = std::make_shared<LiveRequest>(clock, observer, configuration, openCount);
//     Result<void> allowed = live->check();    // KeyWithdrawn once the key is withdrawn
//     live->end(usedTokens);                   // or live->fail(error)

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "entry/request_context.h"

namespace foxtailturn {

class RequestObserver;
class RetryGuard;

// Used by one thread at a time.
class LiveRequest
{
public:
    // Counts itself in openCount while it lives. All references must outlive this object.
    LiveRequest(const Clock &clock, RequestObserver &observer, RetryGuard &guard,
                std::function<std::shared_ptr<const Configuration>()> configuration,
                std::atomic<std::uint64_t> &openCount);
    ~LiveRequest();
    LiveRequest(const LiveRequest &) = delete;
    LiveRequest &operator=(const LiveRequest &) = delete;

    [[nodiscard]] RequestContext &context() { return context_; }

    // Returns whether the request may go on. Errors, both OutcomeUnknown: KeyWithdrawn once the
    // configuration in force holds the key as withdrawn; DeadlineExceeded.
    [[nodiscard]] Result<void> check();

    // Records the time to the first byte, once.
    void firstByte();

    // Ends the request after a whole answer, or after a failure; the first call counts.
    void end(std::uint64_t usedTokens);
    void fail(const Error &error);

    // Returns the failure of a request whose caller closed the connection.
    [[nodiscard]] static Error callerGone();

private:
    const Clock *clock_;
    RequestObserver *observer_;
    RetryGuard *guard_;
    std::function<std::shared_ptr<const Configuration>()> configuration_;
    std::atomic<std::uint64_t> *openCount_;
    RequestContext context_;
    TimePoint arrivedAt_;
    std::shared_ptr<const Configuration> checked_; // the configuration that allowed the key last
    bool hasFirstByte_ = false;
    bool ended_ = false;
};

} // namespace foxtailturn
