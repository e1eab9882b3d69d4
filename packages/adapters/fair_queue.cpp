#include "adapters/fair_queue.h"

#include <algorithm>

namespace foxtailturn {

namespace {

constexpr auto kChat = static_cast<std::size_t>(Priority::Chat);
constexpr auto kBatch = static_cast<std::size_t>(Priority::Batch);

} // namespace

FairQueue::FairQueue(double groupingSlack)
    : groupingSlack_(groupingSlack)
{ }

void FairQueue::setWeight(const std::string &workspace, double weight)
{
    weights_[workspace] = weight;
}

double FairQueue::weight(const std::string &workspace) const
{
    const auto it = weights_.find(workspace);
    return it == weights_.end() ? 1 : it->second;
}

void FairQueue::push(const WorkRequest &request)
{
    const auto classIndex = static_cast<std::size_t>(request.priority_);
    ClassQueue &queue = classes_[classIndex];
    double &lastFinish = queue.lastFinish_[request.workspace_];
    const double start = std::max(queue.virtualTime_, lastFinish);
    lastFinish = start + request.cost_ / weight(request.workspace_);
    index_.emplace(request.id_, Place{classIndex, queue.waiting_.emplace(start, request)});
    deadlines_.emplace(request.deadline_, request.id_);
    ++waitingByAdapter_[request.adapter_];
}

std::optional<FairQueue::Tagged::iterator>
FairQueue::findRunnable(ClassQueue &queue, const Rank &rank, double groupingSlack)
{
    std::optional<Tagged::iterator> first;
    for (auto it = queue.waiting_.begin(); it != queue.waiting_.end(); ++it) {
        if (first && it->first > (*first)->first + groupingSlack)
            break;
        const RunRank itsRank = rank(it->second);
        if (itsRank == RunRank::InBatch)
            return it;
        if (itsRank == RunRank::Runnable && !first)
            first = it;
    }
    return first;
}

std::optional<WorkRequest> FairQueue::pop(const Rank &rank)
{
    std::array<std::size_t, 2> order = {kChat, kBatch};
    if (consecutiveChat_ >= kMaxConsecutiveChat)
        std::swap(order[0], order[1]);
    for (const std::size_t classIndex : order) {
        ClassQueue &queue = classes_[classIndex];
        const std::optional<Tagged::iterator> found = findRunnable(queue, rank, groupingSlack_);
        if (!found)
            continue;
        queue.virtualTime_ = std::max(queue.virtualTime_, (*found)->first);
        updateConsecutiveChat(classIndex);
        return take(Place{classIndex, *found});
    }
    return std::nullopt;
}

void FairQueue::updateConsecutiveChat(std::size_t takenClass)
{
    const bool batchPassed = takenClass == kChat && !classes_[kBatch].waiting_.empty();
    consecutiveChat_ = batchPassed ? consecutiveChat_ + 1 : 0;
}

WorkRequest FairQueue::take(Place place)
{
    ClassQueue &queue = classes_[place.class_];
    WorkRequest request = std::move(place.at_->second);
    queue.waiting_.erase(place.at_);
    if (queue.waiting_.empty())
        queue.lastFinish_.clear(); // the next busy period does not inherit old finish tags
    index_.erase(request.id_);
    deadlines_.erase({request.deadline_, request.id_});
    const auto count = waitingByAdapter_.find(request.adapter_);
    if (--count->second == 0)
        waitingByAdapter_.erase(count);
    return request;
}

std::optional<WorkRequest> FairQueue::remove(const std::string &id)
{
    const auto it = index_.find(id);
    if (it == index_.end())
        return std::nullopt;
    return take(it->second);
}

std::vector<WorkRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<WorkRequest> late;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const std::string id = deadlines_.begin()->second;
        late.push_back(take(index_.at(id)));
    }
    return late;
}

std::optional<std::string> FairQueue::overflowVictim() const
{
    std::map<std::string, double> work;
    forEach([&](const WorkRequest &request) {
        work[request.workspace_] += request.cost_ / weight(request.workspace_);
    });
    if (work.empty())
        return std::nullopt;
    const auto longest = std::max_element(
        work.begin(), work.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    std::optional<std::string> last;
    for (const std::size_t classIndex : {kChat, kBatch}) {
        for (const auto &[tag, request] : classes_[classIndex].waiting_) {
            if (request.workspace_ == longest->first)
                last = request.id_;
        }
    }
    return last;
}

void FairQueue::forEach(const std::function<void(const WorkRequest &)> &visit) const
{
    for (const ClassQueue &queue : classes_) {
        for (const auto &[tag, request] : queue.waiting_)
            visit(request);
    }
}

bool FairQueue::isAtHead(const AdapterId &adapter) const
{
    return std::any_of(classes_.begin(), classes_.end(), [&](const ClassQueue &queue) {
        return !queue.waiting_.empty() && queue.waiting_.begin()->second.adapter_ == adapter;
    });
}

std::size_t FairQueue::waitingFor(const AdapterId &adapter) const
{
    const auto it = waitingByAdapter_.find(adapter);
    return it == waitingByAdapter_.end() ? 0 : it->second;
}

std::map<std::string, std::size_t> FairQueue::waitingByWorkspace() const
{
    std::map<std::string, std::size_t> counts;
    forEach([&](const WorkRequest &request) { ++counts[request.workspace_]; });
    return counts;
}

TimePoint FairQueue::earliestDeadline() const
{
    return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
}

} // namespace foxtailturn
