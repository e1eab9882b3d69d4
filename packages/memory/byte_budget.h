#pragma once

// Bounds the bytes that the threads of a process hold at the same time.
//
//     ByteBudget budget(32'000'000);
//     const std::unique_ptr<ByteShare> share = budget.tryTake(body.size());
//     if (!share)
//         return refuse();    // otherwise given back when the share is destroyed

#include <cstddef>
#include <memory>
#include <mutex>

namespace foxtailturn::memory {

class ByteBudget;

// Bytes of a budget. May be destroyed by any thread.
class ByteShare
{
public:
    ~ByteShare();
    ByteShare(const ByteShare &) = delete;
    ByteShare &operator=(const ByteShare &) = delete;

private:
    friend class ByteBudget;

    ByteShare(ByteBudget &budget, std::size_t bytes)
        : budget_(budget)
        , bytes_(bytes)
    { }

    ByteBudget &budget_;
    std::size_t bytes_;
};

// Thread-safe. Must outlive its shares.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t max)
        : max_(max)
    { }

    // Takes bytes if they are free, or if nothing is taken: a single holder may have any number.
    // Returns null otherwise.
    [[nodiscard]] std::unique_ptr<ByteShare> tryTake(std::size_t bytes);

    [[nodiscard]] std::size_t taken() const;

private:
    friend class ByteShare;

    void giveBack(std::size_t bytes);

    std::size_t max_;
    mutable std::mutex mutex_;
    std::size_t taken_ = 0;
};

} // namespace foxtailturn::memory
