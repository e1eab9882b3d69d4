#pragma once

// Event queue in virtual time and a table service with random faults, for the fault tests and the
// benchmark; not installed.

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "limiter/token_bucket.h"
#include "storage/memory_platform.h"

namespace foxtailturn {

// Probabilities per message or write, and the range of message delays.
struct FaultRates
{
    double loss_ = 0;
    double duplicate_ = 0;
    double lostWriteAnswer_ = 0;
    double droppedWrite_ = 0;
    double delayedWrite_ = 0; // answer lost, applied up to 3 s later
    Duration minDelay_ = std::chrono::microseconds(500);
    Duration maxDelay_ = std::chrono::microseconds(1500);
};

// Runs events in order of their virtual time; events of the same time run in order of insertion.
class EventQueue
{
public:
    ManualClock clock_;

    void after(Duration delay, std::function<void()> action);
    void run(Duration time);

private:
    struct Event
    {
        TimePoint at_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;
        bool operator>(const Event &other) const
        {
            return std::pair(at_, sequence_) > std::pair(other.at_, other.sequence_);
        }
    };

    std::uint64_t lastSequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

// Tokens that one workspace spent. A request counts from the time of its reservation, at first with
// the tokens charged and, once it has ended, with the tokens used.
class SpendLog
{
public:
    // Adds a reservation and returns its index.
    std::size_t add(TimePoint at, std::int64_t tokens);

    void setUsed(std::size_t index, std::int64_t tokens) { spends_[index].tokens_ = tokens; }

    // Returns the maximum over all intervals of tokens spent minus (rate x time + burst), in
    // micro-tokens.
    [[nodiscard]] MicroTokens excess(WorkspaceLimit limit) const;

private:
    struct Spend
    {
        TimePoint at_;
        std::int64_t tokens_ = 0;
    };

    std::vector<Spend> spends_;
};

// A MemoryTable whose writes are randomly dropped, delayed or applied without an answer.
class FaultyTable final : public TableService
{
public:
    FaultyTable(EventQueue &events, std::mt19937_64 &random, const FaultRates &faults);

    Result<std::optional<Row>> read(const std::string &key, TimePoint deadline) override;
    Result<RowVersion> write(const std::string &key, const std::string &value, RowVersion expected,
                             TimePoint deadline) override;
    Result<void> remove(const std::string &key, RowVersion expected, TimePoint deadline) override;
    Result<std::vector<Row>> scan(const std::string &prefix, TimePoint deadline) override;

    MemoryTable table_;
    bool isDown_ = false;

private:
    EventQueue &events_;
    std::mt19937_64 &random_;
    const FaultRates &faults_;
};

} // namespace foxtailturn
