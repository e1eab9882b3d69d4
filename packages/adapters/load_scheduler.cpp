#include "adapters/load_scheduler.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <vector>

namespace foxtailturn {

namespace {

// An adapter that waiting requests need.
struct Candidate
{
    AdapterId adapter_;
    bool chatWaits_ = false;
    double charge_ =
        std::numeric_limits<double>::infinity(); // lowest charge of the waiting workspaces
    std::size_t waiting_ = 0;
};

bool precedes(const Candidate &a, const Candidate &b)
{
    if (a.charge_ != b.charge_)
        return a.charge_ < b.charge_;
    return a.waiting_ > b.waiting_;
}

} // namespace

double LoadScheduler::charge(const std::string &workspace) const
{
    const auto it = charges_.find(workspace);
    return it == charges_.end() ? virtualTime_ : std::max(virtualTime_, it->second);
}

std::optional<AdapterId>
LoadScheduler::choose(const FairQueue &queue,
                      const std::function<bool(const AdapterId &)> &mayLoad) const
{
    std::vector<Candidate> candidates; // in fair order of their first request
    std::unordered_map<AdapterId, std::size_t, AdapterIdHash> places;
    queue.forEach([&](const WorkRequest &request) {
        if (request.adapter_.empty() || !mayLoad(request.adapter_))
            return;
        const auto [it, isNew] = places.emplace(request.adapter_, candidates.size());
        if (isNew)
            candidates.push_back(Candidate{.adapter_ = request.adapter_});
        Candidate &candidate = candidates[it->second];
        candidate.chatWaits_ |= request.priority_ == Priority::Chat;
        candidate.charge_ = std::min(candidate.charge_, charge(request.workspace_));
        ++candidate.waiting_;
    });
    const bool batchIsNext = consecutiveChat_ >= kMaxConsecutiveChat;
    const Candidate *best = nullptr;
    for (const Candidate &candidate : candidates) {
        const bool first = candidate.chatWaits_ != batchIsNext;
        const bool bestFirst = best != nullptr && best->chatWaits_ != batchIsNext;
        if (best == nullptr || (first && !bestFirst)
            || (first == bestFirst && precedes(candidate, *best)))
            best = &candidate;
    }
    return best == nullptr ? std::nullopt : std::optional(best->adapter_);
}

void LoadScheduler::loadStarted(const AdapterId &adapter, const FairQueue &queue)
{
    std::set<std::string> waitingWorkspaces;
    bool chatWaits = false;
    bool otherBatchWaits = false;
    queue.forEach([&](const WorkRequest &request) {
        if (request.adapter_ == adapter) {
            waitingWorkspaces.insert(request.workspace_);
            chatWaits |= request.priority_ == Priority::Chat;
        } else {
            otherBatchWaits |= request.priority_ == Priority::Batch;
        }
    });
    double least = std::numeric_limits<double>::infinity();
    for (const std::string &workspace : waitingWorkspaces)
        least = std::min(least, charge(workspace));
    const double share =
        waitingWorkspaces.empty() ? 0 : 1.0 / static_cast<double>(waitingWorkspaces.size());
    for (const std::string &workspace : waitingWorkspaces)
        charges_[workspace] = charge(workspace) + share / queue.weight(workspace);
    if (!waitingWorkspaces.empty())
        virtualTime_ = std::max(virtualTime_, least);
    consecutiveChat_ = chatWaits && otherBatchWaits ? consecutiveChat_ + 1 : 0;
}

} // namespace foxtailturn
