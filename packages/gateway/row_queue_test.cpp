#include "gateway/row_queue.h"

#include <string>

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
    std::vector<std::string> keys_;
    int emptied_ = 0;
    RowQueue queue_{context_, clock_,
                    [this](const StoreRow &row) {
                        keys_.push_back(row.key_);
                        clock_.advance(kTimePerRow);
                    },
                    [this] { ++emptied_; }};
};

} // namespace

// Guards against an event loop that is held up for as long as a table is large.
TEST_CASE("a large table is handled in slices, between which other handlers have their turn")
{
    Fixture f;
    const TimePoint start = f.clock_.now();
    f.queue_.add(rowsFrom(0, 10'000));
    CHECK(f.clock_.now() - start <= RowQueue::kSliceTime + kTimePerRow);
    CHECK(f.emptied_ == 0);
    int turns = 0;
    while (f.emptied_ == 0) {
        bool hadTurn = false;
        asio::post(f.context_, [&hadTurn] { hadTurn = true; });
        const TimePoint before = f.clock_.now();
        REQUIRE(f.context_.run_one() == 1);
        CHECK(f.clock_.now() - before <= RowQueue::kSliceTime + kTimePerRow);
        f.context_.run_one();
        CHECK(hadTurn);
        f.context_.restart();
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
    f.context_.run();
    REQUIRE(f.keys_.size() == 1'003);
    for (std::size_t i = 0; i < f.keys_.size(); ++i)
        CHECK(f.keys_[i] == std::to_string(i));
    CHECK(f.emptied_ == 2);
}

// Guards against a slice of a queue that is gone.
TEST_CASE("a queue may end before its rows are handled")
{
    asio::io_context context;
    ManualClock clock;
    int handled = 0;
    {
        RowQueue queue(
            context, clock,
            [&](const StoreRow &) {
                ++handled;
                clock.advance(RowQueue::kSliceTime);
            },
            [] {});
        queue.add(rowsFrom(0, 3));
    }
    context.run();
    CHECK(handled == 1);
}

} // namespace foxtailturn::gateway
