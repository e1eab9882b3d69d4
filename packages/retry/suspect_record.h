#pragma once

// Replicated state of a suspect: a request that was in flight when a target crashed, or a part of
// its prompt. Processes exchange whole records; merge() is idempotent, commutative and associative,
// so reports may be delayed, duplicated or reordered.
//
//     SuspectRecord known{fingerprint};
//     known.merge(reportFromPeer);
//     known.standing();

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "base/error.h"
#include "base/json.h"
#include "base/wall_clock.h"

namespace foxtailturn {

// Returns the fingerprint of a request: a digest of workspace, route and body. Thread-safe.
[[nodiscard]] std::string requestFingerprint(std::string_view workspace, std::string_view route,
                                             std::string_view body);

enum class SuspectKind {
    Request, // quarantined after kCrashesToQuarantine crashes
    PromptPart, // a part of a prompt that requests share; quarantined by isCauseOfCrashes()
};

struct Suspect
{
    std::string fingerprint_;
    SuspectKind kind_ = SuspectKind::Request;

    bool operator==(const Suspect &) const = default;
    bool operator<(const Suspect &other) const
    {
        return std::tie(kind_, fingerprint_) < std::tie(other.kind_, other.fingerprint_);
    }
};

enum class Standing {
    Clear, // runs like any other request
    Suspect, // runs alone on its target, one copy at a time
    Quarantined, // is refused
};

// A crash of a target while the request was in flight there.
struct CrashMark
{
    UtcTime forgetAt_; // the crash expires; a standing lasts until the last uncleared crash expires
    bool isCleared_ = false; // the request ran to completion after the crash

    bool operator==(const CrashMark &) const = default;
};

enum class RunState { Waiting, Running, Ended };

// State of one process's (the holder's) run of the suspect. Only the holder changes it. Values are
// ordered by sequence, then state, then expiry; merge() keeps the larger one.
struct RunMark
{
    std::uint64_t sequence_ = 0; // increases with each run of the holder
    RunState state_ = RunState::Waiting;
    UtcTime until_; // the mark expires at this time, in case the holder dies

    bool operator==(const RunMark &) const = default;
};

// Value type. A report to a peer is a whole record.
struct SuspectRecord
{
    // Number of uncleared crashes from which on a request is quarantined.
    static constexpr int kCrashesToQuarantine = 2;

    std::string fingerprint_;
    std::map<std::string, CrashMark> crashes_ = {}; // by crash id
    std::map<std::string, RunMark> runs_ = {}; // by holder
    SuspectKind kind_ = SuspectKind::Request;

    // Merges the crashes and runs of the other record. Precondition: same fingerprint and kind.
    void merge(const SuspectRecord &other);

    // Returns the standing according to the number of uncleared crashes, including expired ones. A
    // part is a suspect at most, since its standing depends on other crashes too.
    [[nodiscard]] Standing standing() const;

    // Returns the latest expiry of an uncleared crash; nullopt if there is none.
    [[nodiscard]] std::optional<UtcTime> latestUnclearedExpiry() const;

    // Returns whether all crashes and run marks of the record have expired.
    [[nodiscard]] bool isExpired(UtcTime now) const;

    // Returns a hash of the whole record, which is the same in all processes. Thread-safe.
    [[nodiscard]] std::uint64_t digest() const;

    // Returns the record as JSON for peers and table rows. Thread-safe.
    [[nodiscard]] std::string toJson() const;

    // Parses the output of toJson(). Error: Internal (NotRun). Thread-safe.
    [[nodiscard]] static Result<SuspectRecord> ofJson(std::string_view text);

    // The same as a value within a larger JSON text. Error: Internal (NotRun). Thread-safe.
    [[nodiscard]] Json toValue() const;
    [[nodiscard]] static Result<SuspectRecord> ofValue(const Json &json);

    bool operator==(const SuspectRecord &) const = default;
};

} // namespace foxtailturn
