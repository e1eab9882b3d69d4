#pragma once

// Handles rows of the store a slice at a time, so that a large table does not hold up the event
// loop.
//
//     RowQueue versions(work, clock, [&](const StoreRow &row) { declare(row); },
//                       [&] { requestLoads(); });
//     versions.add(std::move(rows));

#include <deque>
#include <functional>
#include <vector>

#include "base/clock.h"
#include "base/store_rows.h"
#include "net/deferred_work.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class RowQueue final : public WorkSource
{
public:
    // Calls onRow for each row, and onEmpty whenever all rows have been handled. work and the clock
    // must outlive this object.
    RowQueue(DeferredWork &work, const Clock &clock, std::function<void(const StoreRow &)> onRow,
             std::function<void()> onEmpty);
    ~RowQueue() override;
    RowQueue(const RowQueue &) = delete;
    RowQueue &operator=(const RowQueue &) = delete;

    // Adds rows, which are handled in order, behind those that were added before. A first slice of
    // DeferredWork::kSliceTime is handled at once unless others are waiting. May be called by onRow
    // or onEmpty.
    void add(std::vector<StoreRow> rows);

    [[nodiscard]] bool isWaiting() const override { return !batches_.empty(); }
    [[nodiscard]] WorkKind kind() const override { return WorkKind::Records; }
    void step() override;

private:
    DeferredWork &work_;
    const Clock &clock_;
    std::function<void(const StoreRow &)> onRow_;
    std::function<void()> onEmpty_;
    std::deque<std::vector<StoreRow>> batches_;
    std::size_t next_ = 0; // row of the first batch
};

} // namespace foxtailturn::gateway
