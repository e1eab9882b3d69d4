#pragma once

// What is known of one request that was in flight when a target crashed. Processes exchange whole
// records; merge() is idempotent, commutative and associative, so reports may arrive late, twice
// and in any order.
//
//     SuspectRecord known{fingerprint};
//     known.merge(reportFromPeer);
//     known.standing();

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/wall_clock.h"

namespace foxtailturn {

// Returns the fingerprint of a request: a digest of workspace, route and body. Thread-safe.
[[nodiscard]] std::string requestFingerprint(std::string_view workspace, std::string_view route,
                                             std::string_view body);

enum class Standing {
    Clear, // runs like any other request
    Suspect, // runs with the target to itself, one copy at a time
    Quarantined, // is refused
};

// A crash of a target while the request was in flight there.
struct CrashMark
{
    UtcTime forgetAt_; // the crash is forgotten, or the quarantine ends, at this time
    bool isCleared_ = false; // the request ran to its end afterwards

    bool operator==(const CrashMark &) const = default;
};

enum class RunState { Waiting, Running, Ended };

// Right of a process to run the suspect. Only the holder changes it; a later value is larger by
// sequence, then by state, then by deadline.
struct RunMark
{
    std::uint64_t sequence_ = 0; // larger in each run of the holder
    RunState state_ = RunState::Waiting;
    UtcTime until_; // the mark is void from this time, should the holder die

    bool operator==(const RunMark &) const = default;
};

// Value type. Reports of a record carry all of it.
struct SuspectRecord
{
    // Crashes, not cleared, at which a request is quarantined.
    static constexpr int kQuarantineCrashes = 2;

    std::string fingerprint_;
    std::map<std::string, CrashMark> crashes_ = {}; // by crash id
    std::map<std::string, RunMark> runs_ = {}; // by holder

    // Adds what the other record knows. Precondition: same fingerprint.
    void merge(const SuspectRecord &other);

    // Returns the standing by the crashes that are not cleared.
    [[nodiscard]] Standing standing() const;

    // Returns when the last crash that is not cleared is forgotten; nullopt if there is none.
    [[nodiscard]] std::optional<UtcTime> suspectUntil() const;

    // Returns whether nothing in the record holds any more.
    [[nodiscard]] bool isForgotten(UtcTime now) const;

    // Returns the record as JSON for peers and table rows. Thread-safe.
    [[nodiscard]] std::string toJson() const;

    // Reads what toJson() wrote. Error: Internal (NotRun). Thread-safe.
    [[nodiscard]] static Result<SuspectRecord> ofJson(std::string_view text);

    bool operator==(const SuspectRecord &) const = default;
};

} // namespace foxtailturn
