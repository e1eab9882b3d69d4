#include "net/loop_meter.h"

#include <algorithm>
#include <string>
#include <utility>

namespace foxtailturn {

std::string_view workKindName(WorkKind kind)
{
    constexpr std::array<std::string_view, kWorkKinds> kNames = {
        "callers", "targets", "reports", "records", "peers", "store", "log", "upkeep"};
    return kNames.at(static_cast<std::size_t>(kind));
}

LoopMeter::LoopMeter(const Clock &clock, MetricRegistry &metrics)
    : clock_(clock)
    , lag_(clock.now())
    , intervalBegan_(clock.now())
{
    for (std::size_t i = 0; i < kWorkKinds; ++i) {
        const Labels labels{{"kind", std::string(workKindName(static_cast<WorkKind>(i)))}};
        kinds_[i].busyMicros_ = &metrics.counter("foxtailturn_loop_busy_microseconds_total",
                                                 "time of the event loop by kind of work", labels);
        kinds_[i].lag_ = &metrics.latency("foxtailturn_wait_seconds",
                                          "longest time for which work may have waited", labels);
    }
}

bool LoopMeter::beginTurn()
{
    const TimePoint now = clock_.now();
    lag_.beginTurn(now);
    return lag_.needsPoll(now);
}

TimePoint LoopMeter::readySince() const
{
    return current_ ? readySince_ : clock_.now();
}

std::optional<WorkKind> LoopMeter::enter(WorkKind kind)
{
    const TimePoint now = clock_.now();
    if (current_) {
        charge(now);
    } else {
        readySince_ = lag_.readySince(now);
        if (kind != WorkKind::Reports) // whose queue records how long they wait
            recordWait(kind, now - readySince_);
        longestLag_ = std::max(longestLag_, now - readySince_);
    }
    chargedUntil_ = now;
    return std::exchange(current_, kind);
}

void LoopMeter::leave(std::optional<WorkKind> outer)
{
    charge(clock_.now());
    current_ = outer;
}

void LoopMeter::charge(TimePoint now)
{
    Kind &kind = kindOf(*current_);
    const Duration spent = now - chargedUntil_;
    kind.spent_ += spent;
    kind.busyMicros_->add(static_cast<std::uint64_t>(std::max<Duration::rep>(spent.count(), 0)));
    chargedUntil_ = now;
}

void LoopMeter::recordWait(WorkKind kind, Duration wait)
{
    kindOf(kind).lag_->record(wait);
}

std::optional<LoopBehind> LoopMeter::takeBehind()
{
    const TimePoint now = clock_.now();
    if (now - intervalBegan_ < kReportInterval)
        return std::nullopt;
    const auto busiest =
        std::max_element(kinds_.begin(), kinds_.end(),
                         [](const Kind &a, const Kind &b) { return a.spent_ < b.spent_; });
    const LoopBehind behind{longestLag_, static_cast<WorkKind>(busiest - kinds_.begin()),
                            busiest->spent_, now - intervalBegan_};
    for (Kind &kind : kinds_)
        kind.spent_ = Duration::zero();
    longestLag_ = Duration::zero();
    intervalBegan_ = now;
    if (behind.lag_ < kBehind)
        return std::nullopt;
    return behind;
}

} // namespace foxtailturn
