#pragma once

// Counts the bytes that a process holds for others: callers, targets and peers.
//
//     const auto account = MemoryAccount::create(MemoryBounds::forMachine(bytes));
//     MemoryHold hold(*account, MemoryKind::UnfinishedRequest);
//     hold.set(body.size());         // given back when the hold is destroyed
//     if (account->total() > account->bounds().max_)
//         shed();

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

#include "memory/memory_bounds.h"

namespace foxtailturn::memory {

enum class MemoryKind {
    UnfinishedRequest, // head and body that are being read
    Request, // kept until its answer has ended, for a repeat
    TargetAnswer, // kept until its end
    UnsentAnswer, // not taken by the caller yet
};

constexpr std::array kMemoryKinds = {MemoryKind::UnfinishedRequest, MemoryKind::Request,
                                     MemoryKind::TargetAnswer, MemoryKind::UnsentAnswer};

// Returns the name of a kind in metrics, for example "unsent_answer". Thread-safe.
[[nodiscard]] std::string_view memoryKindName(MemoryKind kind);

// Not thread-safe: belongs to one event loop.
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount>
{
public:
    [[nodiscard]] static std::shared_ptr<MemoryAccount> create(const MemoryBounds &bounds)
    {
        return std::shared_ptr<MemoryAccount>(new MemoryAccount(bounds));
    }

    [[nodiscard]] const MemoryBounds &bounds() const { return bounds_; }
    [[nodiscard]] std::size_t total() const { return total_; }
    [[nodiscard]] std::size_t held(MemoryKind kind) const
    {
        return held_[static_cast<std::size_t>(kind)];
    }

private:
    friend class MemoryHold;

    explicit MemoryAccount(const MemoryBounds &bounds)
        : bounds_(bounds)
    { }
    void change(MemoryKind kind, std::size_t before, std::size_t after);

    MemoryBounds bounds_;
    std::array<std::size_t, kMemoryKinds.size()> held_{};
    std::size_t total_ = 0;
};

// Bytes that one object holds. Keeps the account alive, as an event loop may destroy connections
// after their owner. Not thread-safe.
class MemoryHold
{
public:
    MemoryHold(MemoryAccount &account, MemoryKind kind, std::size_t bytes = 0)
        : account_(account.shared_from_this())
        , kind_(kind)
    {
        set(bytes);
    }
    ~MemoryHold() { set(0); }
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

    void set(std::size_t bytes)
    {
        account_->change(kind_, bytes_, bytes);
        bytes_ = bytes;
    }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    std::shared_ptr<MemoryAccount> account_;
    MemoryKind kind_;
    std::size_t bytes_ = 0;
};

} // namespace foxtailturn::memory
