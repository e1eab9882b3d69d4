#include "retry/isolation_gate.h"

namespace foxtailturn {

namespace {

tl::unexpected<Error> reservedError()
{
    return notRun(ErrorCode::Overloaded, "the target is reserved for a single request");
}

} // namespace

IsolationGate::IsolationGate(const Clock &clock)
    : clock_(clock)
{ }

bool IsolationGate::isReserved() const
{
    return isExclusive_ || clock_.now() < reservedUntil_;
}

Result<void> IsolationGate::enter()
{
    const std::lock_guard lock(mutex_);
    if (isReserved())
        return reservedError();
    ++running_;
    return {};
}

Result<bool> IsolationGate::enterAlone(const std::string &attemptId, TimePoint reserveUntil)
{
    const std::lock_guard lock(mutex_);
    if (isExclusive_ || (isReserved() && reservedBy_ != attemptId))
        return reservedError();
    reservedBy_ = attemptId;
    reservedUntil_ = reserveUntil;
    if (running_ > 0)
        return false;
    running_ = 1;
    isExclusive_ = true;
    reservedUntil_ = {};
    return true;
}

void IsolationGate::cancel(const std::string &attemptId)
{
    const std::lock_guard lock(mutex_);
    if (!isExclusive_ && reservedBy_ == attemptId)
        reservedUntil_ = {};
}

void IsolationGate::leave()
{
    const std::lock_guard lock(mutex_);
    --running_;
    isExclusive_ = false;
}

void IsolationGate::reset()
{
    const std::lock_guard lock(mutex_);
    running_ = 0;
    isExclusive_ = false;
    reservedUntil_ = {};
}

} // namespace foxtailturn
