#include "limiter/test_faults.h"

#include <algorithm>

namespace foxtailturn {

namespace {

constexpr Duration kMaxWriteDelay = std::chrono::seconds(3);

tl::unexpected<Error> unavailable(Execution execution)
{
    return tl::unexpected(Error{ErrorCode::StoreUnavailable, execution, "table is down"});
}

} // namespace

void EventQueue::after(Duration delay, std::function<void()> action)
{
    events_.push({clock_.now() + delay, ++lastSequence_, std::move(action)});
}

void EventQueue::run(Duration time)
{
    const TimePoint end = clock_.now() + time;
    while (!events_.empty() && events_.top().at_ <= end) {
        const Event event = events_.top();
        events_.pop();
        clock_.advance(event.at_ - clock_.now());
        event.action_();
    }
    clock_.advance(end - clock_.now());
}

std::size_t SpendLog::add(TimePoint at, std::int64_t tokens)
{
    spends_.push_back({at, tokens});
    return spends_.size() - 1;
}

MicroTokens SpendLog::excess(WorkspaceLimit limit) const
{
    // debt: the maximum of tokens spent minus rate x time over all intervals that end at this
    // spend.
    MicroTokens debt = 0;
    MicroTokens largest = 0;
    TimePoint last;
    for (const Spend &spend : spends_) {
        const MicroTokens paid = limit.rate_ * (spend.at_ - last).count();
        debt = std::max<MicroTokens>(0, debt - paid) + spend.tokens_ * kMicroTokensPerToken;
        largest = std::max(largest, debt);
        last = spend.at_;
    }
    return largest - limit.burst_ * kMicroTokensPerToken;
}

FaultyTable::FaultyTable(EventQueue &events, std::mt19937_64 &random, const FaultRates &faults)
    : events_(events)
    , random_(random)
    , faults_(faults)
{ }

Result<std::optional<Row>> FaultyTable::read(const std::string &key, TimePoint deadline)
{
    if (isDown_)
        return unavailable(Execution::NotRun);
    return table_.read(key, deadline);
}

Result<RowVersion> FaultyTable::write(const std::string &key, const std::string &value,
                                      RowVersion expected, TimePoint deadline)
{
    if (isDown_)
        return unavailable(Execution::NotRun);
    double draw = std::uniform_real_distribution<>(0, 1)(random_);
    if ((draw -= faults_.droppedWrite_) < 0)
        return unavailable(Execution::OutcomeUnknown);
    if ((draw -= faults_.delayedWrite_) < 0) {
        const auto delay = Duration(random_() % kMaxWriteDelay.count());
        events_.after(delay, [=, this] { (void)table_.write(key, value, expected, deadline); });
        return unavailable(Execution::OutcomeUnknown);
    }
    Result<RowVersion> version = table_.write(key, value, expected, deadline);
    if ((draw -= faults_.lostWriteAnswer_) < 0)
        return unavailable(Execution::OutcomeUnknown);
    return version;
}

Result<void> FaultyTable::remove(const std::string &key, RowVersion expected, TimePoint deadline)
{
    if (isDown_)
        return unavailable(Execution::NotRun);
    return table_.remove(key, expected, deadline);
}

Result<std::vector<Row>> FaultyTable::scan(const std::string &prefix, TimePoint deadline)
{
    if (isDown_)
        return unavailable(Execution::NotRun);
    return table_.scan(prefix, deadline);
}

} // namespace foxtailturn
