#include "gateway/waiting_requests.h"

namespace foxtailturn::gateway {

namespace {

template <typename Index>
void removeFrom(Index &index, const typename Index::key_type &key, std::uint64_t number)
{
    const auto it = index.find(key);
    if (it == index.end())
        return;
    it->second.erase(number);
    if (it->second.empty())
        index.erase(it);
}

template <typename Index>
WaitingRequests::Selection selectionOf(const Index &index, const typename Index::key_type &key)
{
    const auto it = index.find(key);
    return it == index.end() ? WaitingRequests::Selection() : it->second;
}

} // namespace

void WaitingRequests::add(const Pointer &request, const WaitCondition &condition)
{
    const auto [it, isNew] = entries_.try_emplace(request.get());
    Entry &entry = it->second;
    if (!isNew && entry.condition_ == condition)
        return;
    if (isNew) {
        entry.number_ = ++lastNumber_;
        requests_.emplace(entry.number_, request);
    } else {
        removeFromIndices(entry);
    }
    entry.condition_ = condition;
    addToIndices(request, entry);
}

void WaitingRequests::remove(const WaitingRequest &request)
{
    const auto it = entries_.find(&request);
    if (it == entries_.end())
        return;
    const std::uint64_t number = it->second.number_;
    removeFromIndices(it->second);
    entries_.erase(it);
    requests_.erase(number);
}

void WaitingRequests::addToIndices(const Pointer &request, const Entry &entry)
{
    const WaitCondition &condition = entry.condition_;
    byAdapter_[{condition.service_, condition.adapter_}].emplace(entry.number_, request);
    if (!condition.adapter_.empty())
        byLoad_[{condition.address_, condition.adapter_}].emplace(entry.number_, request);
}

void WaitingRequests::removeFromIndices(const Entry &entry)
{
    const WaitCondition &condition = entry.condition_;
    removeFrom(byAdapter_, {condition.service_, condition.adapter_}, entry.number_);
    removeFrom(byLoad_, {condition.address_, condition.adapter_}, entry.number_);
}

WaitingRequests::Selection WaitingRequests::forAdapter(const std::string &service,
                                                       const std::string &name) const
{
    return name.empty() ? Selection() : selectionOf(byAdapter_, {service, name});
}

WaitingRequests::Selection WaitingRequests::forLoad(const std::string &address,
                                                    const std::string &name) const
{
    return selectionOf(byLoad_, {address, name});
}

WaitingRequests::Selection WaitingRequests::forTarget(const std::string &address) const
{
    Selection selection;
    for (auto it = byLoad_.lower_bound({address, ""});
         it != byLoad_.end() && it->first.first == address; ++it)
        selection.insert(it->second.begin(), it->second.end());
    return selection;
}

WaitingRequests::Selection WaitingRequests::forService(const std::string &service) const
{
    return selectionOf(byAdapter_, {service, ""});
}

} // namespace foxtailturn::gateway
