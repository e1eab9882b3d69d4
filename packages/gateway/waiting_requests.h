#pragma once

// The requests that wait for an adapter load or for a target, found by what can help them.
//
//     WaitingRequests waiting;
//     waiting.add(request, {.service_ = "models", .adapter_ = "m/a1", .address_ = "10.0.0.1:80"});
//     WaitingRequests::Selection helped = waiting.forAdapter("models", "m/a1");
//     for (const auto &[number, request] : helped)
//         request->retryPlacement();
//     waiting.remove(request);
//
// An event looks only at those it can help. What no event tells, such as a load that fails, is for
// the requests themselves: each looks after its target again within kReviewInterval.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/clock.h"

namespace foxtailturn::gateway {

class WaitingRequest
{
public:
    virtual ~WaitingRequest() = default;

    // Places the request again. Does nothing if it does not wait any more.
    virtual void retryPlacement() = 0;
};

// What a request waits for.
struct WaitCondition
{
    std::string service_;
    std::string adapter_; // name of the adapter that is loaded; empty: any target of the service
    std::string address_; // of the target that loads it

    bool operator==(const WaitCondition &) const = default;
};

// Not thread-safe. Selections hold requests in the order of their arrival.
class WaitingRequests
{
public:
    // Longest time in which a request notices that its target can't load the adapter any more.
    static constexpr Duration kReviewInterval = std::chrono::milliseconds(250);

    using Pointer = std::shared_ptr<WaitingRequest>;
    using Selection = std::map<std::uint64_t, Pointer>; // by number of arrival

    // Adds a request, or changes the condition of one that waits already, which keeps its number.
    void add(const Pointer &request, const WaitCondition &condition);

    // Does nothing if the request does not wait.
    void remove(const WaitingRequest &request);

    // Returns those that wait for the adapter of this name at any target of the service.
    [[nodiscard]] Selection forAdapter(const std::string &service, const std::string &name) const;

    // Returns those that wait for a load by the target at the address: of one adapter, or of any.
    [[nodiscard]] Selection forLoad(const std::string &address, const std::string &name) const;
    [[nodiscard]] Selection forTarget(const std::string &address) const;

    // Returns those that wait for any target of the service.
    [[nodiscard]] Selection forService(const std::string &service) const;

    [[nodiscard]] const Selection &all() const { return requests_; }
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

private:
    using Index = std::map<std::pair<std::string, std::string>, Selection>;

    struct Entry
    {
        std::uint64_t number_ = 0;
        WaitCondition condition_;
    };

    void addToIndices(const Pointer &request, const Entry &entry);
    void removeFromIndices(const Entry &entry);

    std::uint64_t lastNumber_ = 0;
    std::unordered_map<const WaitingRequest *, Entry> entries_;
    Selection requests_;
    Index byAdapter_; // by service and adapter; an empty one for those that wait for any target
    Index byLoad_; // by address and adapter
};

} // namespace foxtailturn::gateway
