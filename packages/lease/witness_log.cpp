#include "lease/witness_log.h"

#include <utility>

namespace foxtailturn {

WitnessLog::WitnessLog(std::string self, const Clock &clock)
    : incarnation_(std::move(self))
    , clock_(clock)
    , startedAt_(clock.now())
{ }

WitnessAnswer WitnessLog::onContact(const WitnessContact &contact)
{
    WitnessAnswer answer{contact.holder_, contact.witness_, contact.round_, false};
    if (contact.witness_ != incarnation_)
        return answer;
    const std::lock_guard lock(mutex_);
    Entry &entry = entries_[contact.holder_];
    if (entry.fenced_)
        return answer;
    entry.lastContactAt_ = clock_.now();
    answer.accepted_ = true;
    return answer;
}

FenceAnswer WitnessLog::onFence(const FenceRequest &request)
{
    FenceAnswer answer{request.holder_, request.witness_, false};
    if (request.witness_ != incarnation_)
        return answer;
    const std::lock_guard lock(mutex_);
    // Contacts made before the log started are unknown, so a new entry counts from its start.
    Entry &entry = entries_.try_emplace(request.holder_, Entry{startedAt_}).first->second;
    const Duration idleTime = clock_.now() - entry.lastContactAt_;
    if (idleTime >= Duration(request.idleMicros_))
        entry.fenced_ = true;
    answer.fenced_ = entry.fenced_;
    return answer;
}

} // namespace foxtailturn
