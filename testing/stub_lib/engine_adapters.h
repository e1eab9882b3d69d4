#pragma once

// The adapter slots of an engine stand-in: loaded adapters with their count of uses.
//
//     AdapterSlots slots(8);
//     if (slots.beginLoad("a@1") == SlotOutcome::Done) slots.finishLoad("a@1", true);
//     if (slots.pin("a@1")) { ...; slots.unpin("a@1"); }

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailturn {

enum class SlotOutcome { Done, NotLoaded, AlreadyLoaded, NoFreeSlot, InUse };

// Thread-safe.
class AdapterSlots
{
public:
    explicit AdapterSlots(int slots)
        : slots_(slots)
    { }

    // Reserves a slot. Done, AlreadyLoaded (also while it is loading) or NoFreeSlot.
    SlotOutcome beginLoad(const std::string &name);

    // Ends a load begun above: the adapter is loaded or its slot is free again.
    void finishLoad(const std::string &name, bool isLoaded);

    // Done, NotLoaded or InUse.
    SlotOutcome unload(const std::string &name);

    // Counts a use of a loaded adapter. Returns false if it is not loaded.
    bool pin(const std::string &name);
    void unpin(const std::string &name);

    // Returns the loaded adapters' uses by name.
    [[nodiscard]] std::map<std::string, int> loaded() const;

private:
    struct Slot
    {
        bool isLoaded_ = false;
        int uses_ = 0;
    };

    const std::size_t slots_;
    mutable std::mutex mutex_;
    std::map<std::string, Slot> byName_;
};

} // namespace foxtailturn
