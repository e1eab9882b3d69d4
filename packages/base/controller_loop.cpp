#include "base/controller_loop.h"

#include <thread>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace foxtailturn {

struct ControllerLoop::State
{
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_ =
        asio::make_work_guard(context_);
    std::vector<std::thread> threads_;
};

namespace {

// One controller with its timer. Keeps itself alive through the pending handler.
class Periodic : public std::enable_shared_from_this<Periodic>
{
public:
    Periodic(asio::io_context &context, Duration interval, std::function<void()> tick)
        : timer_(context)
        , interval_(interval)
        , tick_(std::move(tick))
    { }

    void run()
    {
        tick_();
        timer_.expires_after(interval_);
        timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error)
                self->run();
        });
    }

private:
    asio::steady_timer timer_;
    Duration interval_;
    std::function<void()> tick_;
};

} // namespace

ControllerLoop::ControllerLoop(int threads)
    : state_(std::make_shared<State>())
{
    for (int i = 0; i < threads; ++i)
        state_->threads_.emplace_back([state = state_.get()] { state->context_.run(); });
}

ControllerLoop::~ControllerLoop()
{
    stop();
}

void ControllerLoop::every(Duration interval, std::function<void()> tick)
{
    auto periodic = std::make_shared<Periodic>(state_->context_, interval, std::move(tick));
    asio::post(state_->context_, [periodic] { periodic->run(); });
}

void ControllerLoop::post(std::function<void()> task)
{
    asio::post(state_->context_, std::move(task));
}

void ControllerLoop::stop()
{
    state_->context_.stop();
    for (std::thread &thread : state_->threads_) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace foxtailturn
