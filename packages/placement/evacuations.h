#pragma once

// The data centres that the operator has evacuated, and which requests may still go to their
// targets.
//
//     Evacuations evacuations(notice);
//     changes = evacuations.applyChanges({{"dc-a", {era, version}}}, RowAge::Fresh, now);
//     if (evacuations.use("dc-a", {.rank_ = 1, .hash_ = hash}, now) == DataCentreUse::Open)
//         ...
//
// The rows of the store are the only state: one for each evacuated data centre, whose removal takes
// it back. Requests leave an evacuated data centre over a part of the notice, the least urgent ones
// first, as those that follow find adapters loaded elsewhere. All leave at once if the age of the
// row is unknown. After it was taken back they return over some seconds, the least urgent ones
// first, as its caches are empty.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/store_rows.h"

namespace foxtailturn::placement {

// The operator's row of an evacuation, or its removal.
struct EvacuationRow
{
    std::string dataCentre_;
    StorePosition position_;
    bool isRemoved_ = false;

    bool operator==(const EvacuationRow &) const = default;
};

// Fresh: the rows were written after an answer of the store that was received just before.
enum class RowAge { Fresh, Unknown };

// Avoided: for use if no other data centre has a target.
enum class DataCentreUse { Open, Avoided, Closed };

// What decides when a request moves. Requests of one hash move together.
struct MoveKey
{
    int rank_ = 0; // 0 is the most urgent
    std::uint64_t hash_ = 0;

    bool operator==(const MoveKey &) const = default;
};

struct EvacuationChange
{
    std::string dataCentre_;
    bool isEvacuated_ = false; // false: taken back
    bool isGradual_ = false; // requests leave step by step
    StorePosition position_;

    bool operator==(const EvacuationChange &) const = default;
};

// Not thread-safe.
class Evacuations
{
public:
    using Rows = std::vector<EvacuationRow>;
    using Changes = std::vector<EvacuationChange>;

    // Time in which requests return to a data centre that was taken back.
    static constexpr Duration kReturnTime = std::chrono::seconds(4);
    // Time after which a row that a copy of the store lacks counts as removed. The operator writes
    // its rows again within about two seconds of a restore.
    static constexpr Duration kCopyDoubt = std::chrono::seconds(6);

    // notice: time from the store's acknowledgement of a row to the last request that may reach a
    // target; zero: all requests leave at once.
    explicit Evacuations(Duration notice);

    // Apply rows of the operator's table: changed ones in their order, all of them, or all of a
    // store that has come back from a copy, which may lack newer rows. Return what has changed.
    Changes applyChanges(const Rows &rows, RowAge age, TimePoint now);
    Changes applySnapshot(const Rows &rows, StorePosition position, TimePoint now);
    Changes applyCopy(const Rows &rows, TimePoint now);

    // Takes back the data centres whose rows a copy has lacked for kCopyDoubt.
    Changes confirmCopy(TimePoint now);

    [[nodiscard]] bool isEvacuated(const std::string &dataCentre) const;
    [[nodiscard]] std::set<std::string> evacuated() const;

    [[nodiscard]] DataCentreUse use(const std::string &dataCentre, const MoveKey &key,
                                    TimePoint now) const;

    // Returns whether no request may be sent to the data centre's targets.
    [[nodiscard]] bool isClosed(const std::string &dataCentre, TimePoint now) const;

    // Return the data centres that are closed, or closed or avoided for a request.
    [[nodiscard]] std::set<std::string> closed(TimePoint now) const;
    [[nodiscard]] std::set<std::string> closedOrAvoided(const MoveKey &key, TimePoint now) const;

    // Returns the share of the requests of a rank that the data centre's targets get, from 0 to 1.
    [[nodiscard]] double share(const std::string &dataCentre, int rank, TimePoint now) const;

    // Returns when the data centre was last taken back; nullopt if it is evacuated or never was.
    [[nodiscard]] std::optional<TimePoint> takenBackAt(const std::string &dataCentre) const;

private:
    static constexpr std::size_t kRanks = 3; // less urgent ones count as the last
    using Shares = std::array<double, kRanks>;

    struct State
    {
        bool isEvacuated_ = false;
        TimePoint since_{};
        TimePoint closedFrom_{}; // of an evacuation
        Shares sharesBefore_{}; // when this state began
        std::optional<TimePoint> takenBackFrom_; // unless a row is written until then
    };

    void evacuate(const EvacuationRow &row, RowAge age, TimePoint now, Changes &changes);
    void takeBack(const std::string &dataCentre, StorePosition position, TimePoint now,
                  Changes &changes);
    [[nodiscard]] double share(const State &state, std::size_t rank, TimePoint now) const;
    [[nodiscard]] Shares shares(const State &state, TimePoint now) const;

    Duration leaveTime_;
    std::map<std::string, State> states_; // by data centre; of those that were ever evacuated
};

} // namespace foxtailturn::placement
