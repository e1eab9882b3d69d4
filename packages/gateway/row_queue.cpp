#include "gateway/row_queue.h"

#include <utility>

#include <asio/post.hpp>

namespace foxtailturn::gateway {

RowQueue::RowQueue(asio::io_context &context, const Clock &clock,
                   std::function<void(const StoreRow &)> onRow, std::function<void()> onEmpty)
    : context_(context)
    , clock_(clock)
    , onRow_(std::move(onRow))
    , onEmpty_(std::move(onEmpty))
{ }

void RowQueue::add(std::vector<StoreRow> rows)
{
    batches_.push_back(std::move(rows));
    if (!isHandling_)
        handleSlice();
}

void RowQueue::handleSlice()
{
    isHandling_ = true;
    const TimePoint end = clock_.now() + kSliceTime;
    while (!batches_.empty()) {
        if (next_ == batches_.front().size()) {
            batches_.pop_front();
            next_ = 0;
        } else if (clock_.now() >= end) {
            handleNextSliceSoon();
            return;
        } else {
            onRow_(batches_.front()[next_++]);
        }
    }
    isHandling_ = false;
    onEmpty_();
}

void RowQueue::handleNextSliceSoon()
{
    asio::post(context_, [this, alive = std::weak_ptr<int>(lifetimeToken_)] {
        if (!alive.expired())
            handleSlice();
    });
}

} // namespace foxtailturn::gateway
