#pragma once

// Collects the replies to several calls until enough have arrived or a timeout expires.
//
//     auto replies = std::make_shared<ReplyCollector<NetReport>>();
//     callPeer(..., [replies](const auto &reply) { replies->add(...); });
//     std::vector<NetReport> reports = replies->waitFor(3, timeout);

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace foxtailturn {

// Thread-safe. Owned jointly by the waiting thread and the callbacks, since a callback may run
// after the wait has ended.
template <typename T>
class ReplyCollector
{
public:
    // Adds a reply. Thread-safe.
    void add(T value)
    {
        const std::lock_guard lock(mutex_);
        values_.push_back(std::move(value));
        changed_.notify_all();
    }

    // Waits until there are `count` replies or the timeout expires, and returns the replies so far.
    // Thread-safe.
    std::vector<T> waitFor(std::size_t count, Duration timeout)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, timeout, [&] { return values_.size() >= count; });
        return values_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<T> values_;
};

} // namespace foxtailturn
