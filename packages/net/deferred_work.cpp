#include "net/deferred_work.h"

#include <algorithm>

namespace foxtailturn {

DeferredWork::DeferredWork(const Clock &clock, LoopMeter *meter)
    : clock_(clock)
    , meter_(meter)
{ }

void DeferredWork::add(WorkSource &source)
{
    sources_.push_back(&source);
}

void DeferredWork::remove(WorkSource &source)
{
    std::erase(sources_, &source);
}

bool DeferredWork::isWaiting() const
{
    return std::any_of(sources_.begin(), sources_.end(),
                       [](const WorkSource *source) { return source->isWaiting(); });
}

void DeferredWork::runSlice()
{
    run(kSliceTime);
    heldUpSince_.reset();
}

void DeferredWork::runShare()
{
    if (!isWaiting()) {
        heldUpSince_.reset();
        return;
    }
    const TimePoint now = clock_.now();
    if (!heldUpSince_)
        heldUpSince_ = now;
    if (now - *heldUpSince_ < kBusyInterval)
        return;
    run(kBusySliceTime);
    heldUpSince_ = clock_.now();
}

void DeferredWork::run(Duration time)
{
    const TimePoint end = clock_.now() + time;
    for (WorkSource *source : sources_) {
        if (!source->isWaiting())
            continue;
        const LoopMeter::Scope scope(meter_, source->kind());
        while (source->isWaiting()) {
            source->step();
            if (clock_.now() >= end)
                break;
        }
    }
}

} // namespace foxtailturn
