#pragma once

// Tracks one request from its arrival to its end: checks whether it may continue, settles its token
// reservation and reports its result to the observer once.
//
//     LiveRequest live(clock, observer, guard, configuration, openRequests);
//     Result<void> allowed = live.check();   // error KeyWithdrawn once the key is withdrawn
//     live.complete(usedTokens);             // or live.fail(error)

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
    // openRequests is incremented for the lifetime of this object. All references must outlive it.
    LiveRequest(const Clock &clock, RequestObserver &observer, RetryGuard &guard,
                std::function<std::shared_ptr<const Configuration>()> configuration,
                std::atomic<std::uint64_t> &openRequests);
    ~LiveRequest();
    LiveRequest(const LiveRequest &) = delete;
    LiveRequest &operator=(const LiveRequest &) = delete;

    [[nodiscard]] RequestContext &context() { return context_; }

    // Returns whether the request may continue. Errors, both OutcomeUnknown: KeyWithdrawn once the
    // key is no longer active in the current configuration; DeadlineExceeded.
    [[nodiscard]] Result<void> check();

    // Reports the time to the first byte to the observer; later calls have no effect.
    void recordFirstByte();

    // Ends the request after a complete answer or a failure. Only the first call of either method
    // has an effect.
    void complete(std::uint64_t usedTokens);
    void fail(const Error &error);

    // Returns the error of a request whose caller closed the connection.
    [[nodiscard]] static Error callerDisconnected();

private:
    const Clock *clock_;
    RequestObserver *observer_;
    RetryGuard *guard_;
    std::function<std::shared_ptr<const Configuration>()> configuration_;
    std::atomic<std::uint64_t> *openRequests_;
    RequestContext context_;
    TimePoint arrivedAt_;
    // The last configuration in which the key was active.
    std::shared_ptr<const Configuration> checkedConfiguration_;
    bool firstByteRecorded_ = false;
    bool ended_ = false;
};

} // namespace foxtailturn
