#include "gateway/row_queue.h"

#include <string>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::microseconds;

constexpr microseconds kTimePerRow(7);

std::vector<StoreRow> rowsFrom(int first, int count)
{
    std::vector<StoreRow> rows;
    for (int i = first; i < first + count; ++i)
        rows.push_back({"t", "", std::to_string(i), "", 1});
    return rows;
}

// Handles rows that take kTimePerRow each, and keeps their keys.
struct Fixture
{
    asio::io_context context_;
    ManualClock clock_;
    DeferredWork work_{clock_};
    std::vector<std::string> keys_;
    int emptied_ = 0;
    RowQueue queue_{work_, clock_,
                    [this](const StoreRow &row) {
                        keys_.push_back(row.key_);
                        clock_.advance(kTimePerRow);
                    },
                    [this] { ++emptied_; }};

    // Has the loop's ready handlers run, and after them one slice.
    void runTurn()
    {
        while (context_.poll_one() > 0) { }
        work_.runSlice();
        context_.restart();
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
    int turns = 0;
    while (f.emptied_ == 0) {
        const std::size_t handled = f.keys_.size();
        bool hadTurn = false;
        asio::post(f.context_, [&] { hadTurn = f.keys_.size() == handled; });
        const TimePoint before = f.clock_.now();
        f.runTurn();
        CHECK(f.clock_.now() - before <= DeferredWork::kSliceTime + kTimePerRow);
        CHECK(hadTurn);
        ++turns;
    }
    CHECK(turns > 10);
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
    while (f.queue_.isWaiting())
        f.runTurn();
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
