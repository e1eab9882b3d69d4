#include "gateway/row_queue.h"

#include <algorithm>
#include <functional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <doctest/doctest.h>

#include "net/event_loop.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::microseconds;

constexpr microseconds kTimePerRow(7);
constexpr microseconds kTimePerHandler(1000);

std::vector<StoreRow> rowsFrom(int first, int count)
{
    std::vector<StoreRow> rows;
    for (int i = first; i < first + count; ++i)
        rows.push_back({"t", "", std::to_string(i), "", 1});
    return rows;
}

// Handles rows that take kTimePerRow each on an event loop, and keeps their keys.
struct Fixture
{
    asio::io_context context_;
    ManualClock clock_;
    MetricRegistry metrics_;
    LoopMeter meter_{clock_, metrics_};
    DeferredWork work_{clock_, &meter_};
    std::vector<std::string> keys_;
    int emptied_ = 0;
    RowQueue queue_{work_, clock_,
                    [this](const StoreRow &row) {
                        keys_.push_back(row.key_);
                        clock_.advance(kTimePerRow);
                    },
                    [this] { ++emptied_; }};

    // Runs the loop, with a handler that is always ready, until the rows are handled. Returns the
    // numbers of rows that were handled between its runs.
    std::vector<std::size_t> runBusy()
    {
        std::vector<std::size_t> handled;
        std::size_t before = keys_.size();
        const auto guard = asio::make_work_guard(context_);
        std::function<void()> again = [&] {
            handled.push_back(keys_.size() - before);
            before = keys_.size();
            clock_.advance(kTimePerHandler);
            if (queue_.isWaiting())
                asio::post(context_, again);
            else
                context_.stop();
        };
        asio::post(context_, again);
        runLoop(context_, work_, meter_);
        context_.restart();
        return handled;
    }
};

} // namespace

// Guards against an event loop that is held up for as long as a table is large.
TEST_CASE("a large table is handled in slices, between which other handlers have their turn")
{
    Fixture f;
    const TimePoint start = f.clock_.now();
    f.queue_.add(rowsFrom(0, 10'000));
    CHECK(f.clock_.now() - start <= DeferredWork::kSliceTime + kTimePerRow);
    CHECK(f.emptied_ == 0);
    // Each slice is followed by a run of the handler, and follows others.
    constexpr auto kRowsPerSlice =
        static_cast<std::size_t>(DeferredWork::kSliceTime / kTimePerRow) + 1;
    const std::vector<std::size_t> handled = f.runBusy();
    CHECK(*std::max_element(handled.begin(), handled.end()) <= kRowsPerSlice);
    const auto slices =
        std::count_if(handled.begin(), handled.end(), [](std::size_t rows) { return rows > 0; });
    CHECK(slices > 10);
    CHECK(handled.size() > 10 * static_cast<std::size_t>(slices));
    CHECK(f.keys_.size() == 10'000);
    CHECK(f.emptied_ == 1);
}

// Guards against changes that overtake the rows of a read, and against a delay of small changes.
TEST_CASE("rows are handled in the order in which they were added, a few of them at once")
{
    Fixture f;
    f.queue_.add(rowsFrom(0, 2));
    CHECK(f.keys_ == std::vector<std::string>{"0", "1"});
    CHECK(f.emptied_ == 1);
    f.queue_.add(rowsFrom(2, 1'000));
    f.queue_.add(rowsFrom(1'002, 1));
    f.queue_.add({});
    (void)f.runBusy();
    REQUIRE(f.keys_.size() == 1'003);
    for (std::size_t i = 0; i < f.keys_.size(); ++i)
        CHECK(f.keys_[i] == std::to_string(i));
    CHECK(f.emptied_ == 2);
}

// Guards against a slice of a queue that is gone.
TEST_CASE("a queue may end before its rows are handled")
{
    ManualClock clock;
    DeferredWork work(clock);
    int handled = 0;
    {
        RowQueue queue(
            work, clock,
            [&](const StoreRow &) {
                ++handled;
                clock.advance(DeferredWork::kSliceTime);
            },
            [] {});
        queue.add(rowsFrom(0, 3));
    }
    work.runSlice();
    CHECK(handled == 1);
}

} // namespace foxtailturn::gateway
