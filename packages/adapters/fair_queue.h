#pragma once

// Waiting requests in fair order by workspace, chat before batch.
//
//     FairQueue queue;
//     queue.setWeight("atelier", 2);
//     queue.push(request);
//     for (const WorkRequest &late : queue.takeExpired(now)) ... // refuse as not_run
//     std::optional<WorkRequest> next = queue.pop(rank);
//
// Order: start-time fair queuing in each class. Each workspace gets a share of the started work,
// measured in cost_, in proportion to its weight, so a flood of requests delays only its own
// workspace. Chat goes before batch, but after kMaxConsecutiveChat chat requests in a row a
// runnable batch request goes next. A runnable batch request at the head of its class thus starts
// after at most that many chat requests.

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "adapters/work_request.h"

namespace foxtailturn {

constexpr int kMaxConsecutiveChat = 8;

// Whether a request may start now. InBatch: it may, and its adapter is already used by a running
// request, so it may overtake other runnable requests by a bounded amount of work.
enum class RunRank { NotRunnable, Runnable, InBatch };

// Not thread-safe.
class FairQueue
{
public:
    // groupingSlack: virtual time (cost divided by weight) by which an InBatch request may overtake
    // the first runnable one.
    explicit FairQueue(double groupingSlack = 0);

    // Sets the weight of a workspace's later requests, more than 0; 1 unless set.
    void setWeight(const std::string &workspace, double weight);
    [[nodiscard]] double weight(const std::string &workspace) const;

    // Adds a request. Precondition: no request with its id waits.
    void push(const WorkRequest &request);

    // Removes and returns the next request, in the order above, that rank does not call
    // NotRunnable.
    [[nodiscard]] std::optional<WorkRequest>
    pop(const std::function<RunRank(const WorkRequest &)> &rank);

    // Removes and returns the request with this id; nullopt if it does not wait.
    std::optional<WorkRequest> remove(const std::string &id);

    // Removes and returns all requests whose deadline is at or before now.
    [[nodiscard]] std::vector<WorkRequest> takeExpired(TimePoint now);

    // Returns the id of the request to refuse when too many wait: the last one, batch before chat,
    // of the workspace with the most waiting work relative to its weight. nullopt if the queue is
    // empty.
    [[nodiscard]] std::optional<std::string> overflowVictim() const;

    // Calls visit for each waiting request in fair order, chat first.
    void forEach(const std::function<void(const WorkRequest &)> &visit) const;

    // Returns whether the first request in fair order of a class waits for the adapter.
    [[nodiscard]] bool isAtHead(const AdapterId &adapter) const;

    [[nodiscard]] bool contains(const std::string &id) const { return index_.contains(id); }
    [[nodiscard]] std::size_t size() const { return index_.size(); }
    [[nodiscard]] std::size_t waitingFor(const AdapterId &adapter) const;
    [[nodiscard]] std::map<std::string, std::size_t> waitingByWorkspace() const;

    // Returns the earliest deadline; TimePoint::max() if the queue is empty.
    [[nodiscard]] TimePoint earliestDeadline() const;

private:
    using Tagged = std::multimap<double, WorkRequest>; // by start tag; equal tags keep their order
    struct ClassQueue
    {
        Tagged waiting_;
        double virtualTime_ = 0;
        std::unordered_map<std::string, double> lastFinish_; // by workspace
    };
    struct Place
    {
        std::size_t class_;
        Tagged::iterator at_;
    };
    using Rank = std::function<RunRank(const WorkRequest &)>;

    [[nodiscard]] static std::optional<Tagged::iterator>
    findRunnable(ClassQueue &queue, const Rank &rank, double groupingSlack);
    WorkRequest take(Place place);
    void updateConsecutiveChat(std::size_t takenClass);

    double groupingSlack_;
    std::array<ClassQueue, 2> classes_; // by Priority
    std::unordered_map<std::string, Place> index_; // by request id
    std::set<std::pair<TimePoint, std::string>> deadlines_;
    std::unordered_map<AdapterId, std::size_t, AdapterIdHash> waitingByAdapter_;
    std::unordered_map<std::string, double> weights_;
    int consecutiveChat_ = 0;
};

} // namespace foxtailturn
