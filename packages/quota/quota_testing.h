#pragma once

// An in-memory store and a fleet of entries with one workspace, for tests of QuotaParts.

#include <memory>
#include <string>
#include <vector>

#include "quota/quota_parts.h"

namespace foxtailturn::quota::testing {

// A store with conditional writes. delay() keeps a write for applyLate(), restore() loses the last
// writes.
class FakeStore
{
public:
    [[nodiscard]] StoreRows rows() const
    {
        StoreRows list;
        for (const auto &[key, row] : rows_)
            list.rows_.push_back(row);
        list.position_ = {era_, version_};
        return list;
    }

    bool apply(const StoreWrite &write)
    {
        ++writes_;
        for (const StoreRow &expected : write.expected_) {
            const auto it = rows_.find(expected.key_);
            if ((it == rows_.end() ? 0 : it->second.version_) != expected.version_) {
                ++conflicts_;
                return false;
            }
        }
        history_.push_back({rows_, version_});
        ++version_;
        for (StoreRow row : write.puts_) {
            row.version_ = version_;
            rows_[row.key_] = row;
        }
        for (const StoreRow &row : write.removes_)
            rows_.erase(row.key_);
        return true;
    }

    void put(const std::string &key, const std::string &value)
    {
        history_.push_back({rows_, version_});
        rows_[key] = {kFleetTable, kFleetPartition, key, value, ++version_};
    }

    void restore(std::size_t writes)
    {
        history_.resize(history_.size() - std::min(writes, history_.size()) + 1);
        rows_ = history_.back().rows_;
        version_ = history_.back().version_;
        history_.pop_back();
        ++era_;
    }

    void delay(const StoreWrite &write) { late_.push_back(write); }

    void applyLate()
    {
        for (const StoreWrite &write : late_)
            apply(write);
        late_.clear();
    }

    [[nodiscard]] std::int64_t version() const { return version_; }
    [[nodiscard]] int writes() const { return writes_; }
    [[nodiscard]] int conflicts() const { return conflicts_; }

private:
    struct Copy
    {
        std::map<std::string, StoreRow> rows_;
        std::int64_t version_ = 0;
    };

    std::map<std::string, StoreRow> rows_;
    std::vector<Copy> history_; // before each write
    std::vector<StoreWrite> late_;
    std::int64_t version_ = 0;
    std::int64_t era_ = 1;
    int writes_ = 0;
    int conflicts_ = 0;
};

// Entries "e0", "e1", ... and workspace "w". All reach each other unless an entry is down.
class Fleet
{
public:
    explicit Fleet(int count, TokenQuota quota = {100'000, 100'000, true, 200},
                   std::int64_t tolerance = 0)
        : quota_(quota)
        , tolerance_(tolerance)
    {
        for (int i = 0; i < count; ++i)
            entries_.push_back(start(i));
    }

    [[nodiscard]] static std::string nameOf(std::size_t index)
    {
        return "e" + std::to_string(index);
    }

    [[nodiscard]] std::unique_ptr<QuotaParts> start(std::size_t index) const
    {
        auto entry =
            std::make_unique<QuotaParts>(EntryIdentity{nameOf(index), 200}, clock_, tolerance_);
        entry->configure({{"w", quota_}});
        return entry;
    }

    // The entry's process is killed; a new one may be started in its place.
    void kill(std::size_t index) { entries_[index].reset(); }
    void restart(std::size_t index) { entries_[index] = start(index); }

    [[nodiscard]] bool isUp(std::size_t index) const { return entries_[index] != nullptr; }

    QuotaParts &entry(std::size_t index) { return *entries_[index]; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    // Tells the entry the store's time, as an answer that was on its way for this long.
    void observeStoreClock(QuotaParts &entry, Duration delay = Duration::zero()) const
    {
        constexpr std::int64_t kOffsetMs = 1'000'000; // from the entries' clocks
        const TimePoint now = clock_.now();
        const auto storeTime =
            std::chrono::floor<std::chrono::milliseconds>((now - delay).time_since_epoch());
        entry.observeStoreClock(kOffsetMs + storeTime.count(), now - 2 * delay, now);
    }

    // Reads the rows, writes what is due and tells the entry who answers.
    void sync(std::size_t index)
    {
        QuotaParts *entry = entries_[index].get();
        if (entry == nullptr)
            return;
        observeStoreClock(*entry);
        entry->update(store_.rows());
        if (const std::optional<StoreWrite> write = entry->plan()) {
            const bool isApplied = store_.apply(*write);
            entry->finishWrite(isApplied ? WriteOutcome::Applied : WriteOutcome::Conflict,
                               store_.version());
        }
        for (const std::string &owner : entry->allOtherOwners())
            entry->setOwnerAnswering(owner, find(owner) != nullptr);
    }

    void syncAll(int count, Duration step = std::chrono::milliseconds(500))
    {
        for (int i = 0; i < count; ++i) {
            for (std::size_t index = 0; index < entries_.size(); ++index)
                sync(index);
            clock_.advance(step);
        }
    }

    [[nodiscard]] QuotaParts *find(const std::string &name)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (name == nameOf(i))
                return entries_[i].get();
        }
        return nullptr;
    }

    // Charges a request at an entry, which asks the other owners if its own parts do not cover it.
    [[nodiscard]] bool charge(std::size_t index, std::int64_t tokens)
    {
        QuotaParts *entry = entries_[index].get();
        if (entry == nullptr)
            return false;
        if (entry->admit("w", tokens))
            return true;
        for (const std::string &owner : entry->otherOwners("w")) {
            QuotaParts *other = find(owner);
            if (other != nullptr && other->grant("w", tokens))
                return true;
        }
        return false;
    }

    // Returns the units that all entries may charge together.
    [[nodiscard]] std::int64_t units() const
    {
        std::int64_t sum = 0;
        for (const auto &entry : entries_)
            sum += entry ? entry->unitsOf("w") : 0;
        return sum;
    }

    ManualClock clock_;
    FakeStore store_;

private:
    TokenQuota quota_;
    std::int64_t tolerance_;
    std::vector<std::unique_ptr<QuotaParts>> entries_;
};

} // namespace foxtailturn::quota::testing
