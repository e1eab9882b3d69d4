#pragma once

// The batch of an engine stand-in: bounded running requests, the rest wait by priority, then age.
//
//     Batch batch(16);
//     const Batch::Place place(batch, priority); // waits; leaves the batch at its end

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace foxtailturn {

// Thread-safe.
class Batch
{
public:
    explicit Batch(int size)
        : size_(size)
    { }

    // A place in the batch for as long as it exists. Lower priorities go first.
    class Place
    {
    public:
        Place(Batch &batch, int priority)
            : batch_(batch)
        {
            batch_.enter(priority);
        }
        ~Place() { batch_.leave(); }
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

    private:
        Batch &batch_;
    };

    [[nodiscard]] int running() const;
    [[nodiscard]] int waiting() const;

private:
    void enter(int priority);
    void leave();

    const int size_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::pair<int, std::uint64_t>> waiting_;
    std::uint64_t arrivals_ = 0;
    int running_ = 0;
};

} // namespace foxtailturn
