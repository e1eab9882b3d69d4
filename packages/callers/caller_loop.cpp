#include "callers/caller_loop.h"

#include <future>

#include <asio/post.hpp>

#include "net/event_loop.h"

namespace foxtailturn::callers {

CallerLoop::CallerLoop(const Clock &clock, const memory::MemoryBounds &bounds)
    : memory_(memory::MemoryAccount::create(bounds))
    , meter_(clock, metrics_)
    , deferredWork_(clock, &meter_)
    , keepsRunning_(asio::make_work_guard(context_))
{ }

CallerLoop::~CallerLoop()
{
    stop();
}

Result<void> CallerLoop::start(CallerService &service, const std::string &address,
                               std::size_t maxConnections)
{
    listener_ = std::make_unique<CallerListener>(service, meter_);
    listener_->limitConnections(maxConnections);
    Result<void> listening = listener_->listen(address);
    if (!listening)
        return listening;
    thread_ = std::thread([this] { runLoop(context_, deferredWork_, meter_); });
    return {};
}

void CallerLoop::drain()
{
    asio::post(context_, [this] { listener_->drain(); });
}

bool CallerLoop::hasUnsentAnswers()
{
    std::promise<bool> answer;
    asio::post(context_, [this, &answer] { answer.set_value(listener_->hasUnsentAnswers()); });
    return answer.get_future().get();
}

void CallerLoop::stop()
{
    if (!thread_.joinable())
        return;
    asio::post(context_, [this] {
        listener_->stopAccepting();
        listener_->endRequests();
        listener_->closeIdle();
        context_.stop();
    });
    thread_.join();
}

} // namespace foxtailturn::callers
