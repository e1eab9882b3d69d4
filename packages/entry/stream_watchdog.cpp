#include "entry/stream_watchdog.h"

#include <utility>

namespace foxtailturn {

StreamWatch::StreamWatch(std::function<void()> onExpired)
    : onExpired_(std::move(onExpired))
{ }

void StreamWatch::setDeadline(TimePoint deadline)
{
    const std::lock_guard lock(mutex_);
    deadline_ = deadline;
}

void StreamWatch::close()
{
    const std::lock_guard lock(mutex_);
    onExpired_ = nullptr;
}

void StreamWatch::check(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (!onExpired_ || now < deadline_)
        return;
    deadline_ = TimePoint::max();
    onExpired_();
}

std::shared_ptr<StreamWatch> StreamWatchdog::watch(std::function<void()> onExpired)
{
    auto watch = std::make_shared<StreamWatch>(std::move(onExpired));
    const std::lock_guard lock(mutex_);
    watches_.push_back(watch);
    return watch;
}

void StreamWatchdog::check(TimePoint now)
{
    std::vector<std::shared_ptr<StreamWatch>> live;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(watches_, [](const auto &watch) { return watch.expired(); });
        for (const auto &watch : watches_) {
            if (auto strong = watch.lock())
                live.push_back(std::move(strong));
        }
    }
    for (const auto &watch : live)
        watch->check(now);
}

} // namespace foxtailturn
