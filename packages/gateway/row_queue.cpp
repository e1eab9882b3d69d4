#include "gateway/row_queue.h"

namespace foxtailturn::gateway {

RowQueue::RowQueue(DeferredWork &work, const Clock &clock,
                   std::function<void(const StoreRow &)> onRow, std::function<void()> onEmpty)
    : work_(work)
    , clock_(clock)
    , onRow_(std::move(onRow))
    , onEmpty_(std::move(onEmpty))
{
    work_.add(*this);
}

RowQueue::~RowQueue()
{
    work_.remove(*this);
}

void RowQueue::add(std::vector<StoreRow> rows)
{
    const bool isFirst = batches_.empty();
    batches_.push_back(std::move(rows));
    if (!isFirst)
        return;
    const TimePoint end = clock_.now() + DeferredWork::kSliceTime;
    while (isWaiting() && clock_.now() < end)
        step();
}

void RowQueue::step()
{
    // The batch stays until its last row is handled, so that rows that a handler adds wait.
    const std::vector<StoreRow> &batch = batches_.front();
    if (next_ < batch.size())
        onRow_(batch[next_++]);
    if (next_ < batches_.front().size())
        return;
    batches_.pop_front();
    next_ = 0;
    if (batches_.empty())
        onEmpty_();
}

} // namespace foxtailturn::gateway
