#pragma once

// Decides whether a failed attempt may be repeated, and which requests are held back because they
// may crash targets.

#include "base/error.h"
#include "entry/request_context.h"

namespace foxtailturn {

// Thread-safe.
class RetryGuard
{
public:
    virtual ~RetryGuard() = default;

    // Returns whether another attempt may follow; counts against the workspace's retry budget
    // when it may. attempts: number of attempts so far. Thread-safe.
    [[nodiscard]] virtual bool mayRetry(const RequestContext &context, const Error &error,
                                        std::uint32_t attempts)
        = 0;

    // Tells that a target crashed while it ran the request. Thread-safe.
    virtual void targetCrashed(const RequestContext &context, const std::string &crashId) = 0;

    // Tells that the request ran to its end. Thread-safe.
    virtual void succeeded(const RequestContext &context) = 0;
};

} // namespace foxtailturn
