#include "stub_lib/engine_batch.h"

namespace foxtailturn {

void Batch::enter(int priority)
{
    std::unique_lock lock(mutex_);
    const auto self = std::pair(priority, arrivals_++);
    waiting_.insert(self);
    changed_.wait(lock, [&] { return running_ < size_ && *waiting_.begin() == self; });
    waiting_.erase(self);
    ++running_;
    changed_.notify_all();
}

void Batch::leave()
{
    const std::lock_guard lock(mutex_);
    --running_;
    changed_.notify_all();
}

int Batch::running() const
{
    const std::lock_guard lock(mutex_);
    return running_;
}

int Batch::waiting() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(waiting_.size());
}

} // namespace foxtailturn
