#include "gateway/report_queue.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

SidecarReport reportWith(int running)
{
    SidecarReport report;
    report.engine_.running_ = running;
    report.engine_.sequence_ = running;
    return report;
}

std::string lineOf(std::string encoded)
{
    encoded.pop_back(); // the line feed
    return encoded;
}

std::string full(int running)
{
    return lineOf(encode(reportWith(running)));
}

std::string update(int from, int to)
{
    return lineOf(encodeUpdate(reportWith(from), reportWith(to)));
}

std::string refusal(const std::string &name)
{
    return lineOf(encode(LoadRefusal{name}));
}

struct Fixture
{
    ManualClock clock_;
    DeferredWork work_{clock_};
    std::vector<std::string> events_;
    int steps_ = 0;
    Duration longestWait_{};
    TimePoint arrivedAt_{}; // of the last report
    ReportQueue queue_{
        work_,
        clock_,
        {.onReport_ =
             [this](const std::string &engine, const SidecarReport &report, TimePoint arrivedAt) {
                 arrivedAt_ = arrivedAt;
                 events_.push_back(engine + " runs " + std::to_string(report.engine_.running_));
             },
         .onMessage_ =
             [this](const std::string &engine, const AgentMessage &message) {
                 events_.push_back(
                     engine + (message.refusal_ ? " refuses " + message.refusal_->name_ : " ?"));
             },
         .onHandled_ =
             [this](const std::string &engine, Duration wait) {
                 events_.push_back(engine + " done");
                 longestWait_ = std::max(longestWait_, wait);
             },
         .onUnreadable_ =
             [this](const std::string &engine) { events_.push_back(engine + " unreadable"); }}};

    void handleAll()
    {
        for (; queue_.isWaiting(); ++steps_)
            queue_.step();
    }
};

using Events = std::vector<std::string>;

} // namespace

// Guards against work for each report when only the last state matters.
TEST_CASE("reports of one engine that wait are handed on as one state")
{
    struct Case
    {
        const char *name_;
        std::vector<std::string> lines_;
        Events events_;
    };
    const Case cases[] = {
        {"one", {full(1)}, {"e runs 1", "e done"}},
        {"a newer full report", {full(1), update(1, 2), full(3)}, {"e runs 3", "e done"}},
        {"updates", {full(1), update(1, 2), update(2, 5)}, {"e runs 5", "e done"}},
        {"other messages stay",
         {refusal("m/a"), full(1), refusal("m/b"), full(2)},
         {"e refuses m/a", "e refuses m/b", "e runs 2", "e done"}},
        {"rubbish", {"", "}{", "[1,2]", R"({"update":7})"}, {"e ?", "e ?", "e done"}},
        {"rubbish around", {"}{", full(4), "x"}, {"e ?", "e ?", "e runs 4", "e done"}},
        {"a full report that is none", {full(1), R"({"report":7})"}, {"e unreadable"}},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        Fixture f;
        f.queue_.add("e", c.lines_);
        CHECK(f.events_.empty()); // nothing is decoded by who reads
        f.handleAll();
        CHECK(f.events_ == c.events_);
    }
}

// Guards against memory and time that grow with the full reports that wait.
TEST_CASE("a full report discards those before it unread")
{
    Fixture f;
    for (int i = 0; i < 10'000; ++i)
        f.queue_.add("e", {full(i), update(i, i + 1)});
    f.handleAll();
    CHECK(f.events_ == Events{"e runs 10000", "e done"});
    CHECK(f.steps_ <= 4);
}

TEST_CASE("the state is kept between reads, and discarded with the connection")
{
    Fixture f;
    f.queue_.add("e", {full(7)});
    f.handleAll();
    f.queue_.add("e", {R"({"update":{"queued":2}})"});
    f.handleAll();
    CHECK(f.events_ == Events{"e runs 7", "e done", "e runs 7", "e done"});
    f.queue_.add("e", {full(8)});
    f.queue_.erase("e");
    CHECK_FALSE(f.queue_.isWaiting());
    f.queue_.add("e", {R"({"update":{"queued":2}})"});
    f.handleAll();
    CHECK(f.events_.back() == "e done");
    CHECK(f.events_[4] == "e runs 0");
}

// Guards against engines whose reports wait behind those of one that floods.
TEST_CASE("engines take turns of a bounded number of lines")
{
    Fixture f;
    std::vector<std::string> flood{full(0)};
    for (int i = 0; i < 1'000; ++i)
        flood.push_back(update(i, i + 1));
    f.queue_.add("a", flood);
    f.queue_.add("b", {full(5)});
    f.queue_.add("c", std::vector<std::string>(1'000, "{"));
    f.queue_.add("d", {full(6)});
    for (int i = 0; i < 2 * ReportQueue::kMaxLinesPerTurn + 8; ++i)
        f.queue_.step();
    std::erase(f.events_, "c ?");
    CHECK(f.events_ == Events{"b runs 5", "b done", "d runs 6", "d done"});
    f.handleAll();
    CHECK(std::find(f.events_.begin(), f.events_.end(), "a runs 1000") != f.events_.end());
    CHECK(std::count(f.events_.begin(), f.events_.end(), "a done") == 1);
}

// Guards against knowledge whose age nobody sees.
TEST_CASE("the wait is counted from the first line of a turn")
{
    Fixture f;
    f.queue_.add("e", {full(1)});
    f.clock_.advance(std::chrono::milliseconds(700));
    f.queue_.add("e", {full(2)});
    f.clock_.advance(std::chrono::milliseconds(200));
    f.handleAll();
    CHECK(f.longestWait_ == std::chrono::milliseconds(900));
}

// Guards against reports that look fresh because the entry is behind.
TEST_CASE("a report is dated by the time from which its bytes may have been ready")
{
    using std::chrono::milliseconds;
    Fixture f;
    const TimePoint start = f.clock_.now();
    f.clock_.advance(milliseconds(700));
    f.queue_.add("e", {full(1)}, start + milliseconds(100)); // the loop was behind
    f.clock_.advance(milliseconds(500));
    f.handleAll();
    CHECK(f.arrivedAt_ == start + milliseconds(100));
    CHECK(f.longestWait_ == milliseconds(1100));
    // Lines that were read as soon as the first ones were handled may have come just after those.
    f.queue_.add("e", {update(1, 2)}, start + milliseconds(1200));
    f.handleAll();
    CHECK(f.arrivedAt_ == start + milliseconds(700));
    // With nothing ready in between, they have come since.
    f.clock_.advance(milliseconds(400));
    f.queue_.add("e", {update(2, 3)}, start + milliseconds(1600));
    f.handleAll();
    CHECK(f.arrivedAt_ == start + milliseconds(1600));
}

// Guards against handlers that drop the connection whose message they handle.
TEST_CASE("an engine may be erased by the handlers of its messages")
{
    ManualClock clock;
    DeferredWork work(clock);
    ReportQueue *queue = nullptr;
    int handled = 0;
    const auto erase = [&queue](const std::string &engine) { queue->erase(engine); };
    ReportQueue made(
        work, clock,
        {.onReport_ = [&](const std::string &engine, const SidecarReport &,
                          TimePoint) { erase(engine); },
         .onMessage_ = [&](const std::string &engine, const AgentMessage &) { erase(engine); },
         .onHandled_ = [&handled](const std::string &, Duration) { ++handled; },
         .onUnreadable_ = erase});
    queue = &made;
    for (const std::vector<std::string> &lines :
         {Events{full(1)}, Events{"x", full(1)}, Events{R"({"report":7})", refusal("m")}}) {
        made.add("e", lines);
        while (made.isWaiting())
            made.step();
    }
    CHECK(handled == 1);
}

} // namespace foxtailturn::gateway
