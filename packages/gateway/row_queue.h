#pragma once

// Handles rows of the store a slice at a time, so that a large table does not hold up the event
// loop.
//
//     RowQueue versions(context, clock, [&](const StoreRow &row) { declare(row); },
//                       [&] { requestLoads(); });
//     versions.add(std::move(rows));

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>

#include "base/clock.h"
#include "base/store_rows.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class RowQueue
{
public:
    // Longest time for which rows are handled before other handlers of the event loop have a turn;
    // one row may exceed it.
    static constexpr Duration kSliceTime = std::chrono::milliseconds(2);

    // Calls onRow for each row, and onEmpty whenever all rows have been handled. The context and
    // the clock must outlive this object.
    RowQueue(asio::io_context &context, const Clock &clock,
             std::function<void(const StoreRow &)> onRow, std::function<void()> onEmpty);

    // Adds rows, which are handled in order, behind those that were added before. The first slice
    // is handled at once unless others are waiting. May be called by onRow or onEmpty.
    void add(std::vector<StoreRow> rows);

private:
    void handleSlice();
    void handleNextSliceSoon();

    asio::io_context &context_;
    const Clock &clock_;
    std::function<void(const StoreRow &)> onRow_;
    std::function<void()> onEmpty_;
    std::deque<std::vector<StoreRow>> batches_;
    std::size_t next_ = 0; // row of the first batch
    bool isHandling_ = false; // a slice, or one is about to be
    std::shared_ptr<int> lifetimeToken_ =
        std::make_shared<int>(0); // callbacks hold a weak reference
};

} // namespace foxtailturn::gateway
