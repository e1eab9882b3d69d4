#pragma once

// Finds crashes of targets from lost connections, and the requests that were under way then.
//
//     CrashDetector detector;
//     // a connection was lost during a request:
//     if (detector.recordLoss(target, request, now))
//         connect(target);                                        // a new connection
//     // the new connection, or that of any other request, was refused:
//     std::optional<Crash> crash = detector.recordUnreachable("engine-7", now);
//     // it was accepted:
//     while (detector.recordReachable("engine-7", now))
//         connect(target);
//
// A lost connection alone says little: a target resets single connections, and so do devices on the
// path. A target that accepts no connection right after that has crashed. An entry of a large fleet
// has mostly one request at a target, so one lost connection is enough.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "retry/suspect_record.h"

namespace foxtailturn {

// A start of a target.
struct TargetStart
{
    std::string target_; // instance id
    std::string crashId_; // id of its crash, the same in all processes

    bool operator==(const TargetStart &) const = default;
};

// A crash of a target.
struct Crash
{
    std::string id_;
    std::vector<Suspect> suspects_; // what was under way, in order and each once

    bool operator==(const Crash &) const = default;
};

// Not thread-safe.
class CrashDetector
{
public:
    // Losses are kept this long for a connection that is refused later.
    static constexpr Duration kRetention = std::chrono::seconds(2);
    static constexpr std::size_t kMaxLosses = 256; // of one target

    // Records that the connection of a request was lost, which may have crashed the target by
    // itself or by a part of its prompt: the suspects. Returns whether the target has to be checked
    // by a new connection, that is, whether no check of it is under way.
    [[nodiscard]] bool recordLoss(const TargetStart &start, const std::vector<Suspect> &suspects,
                                  TimePoint now);

    // Records that the target accepted no connection, which ends a check that is under way. Returns
    // the crash if connections were lost not long ago.
    [[nodiscard]] std::optional<Crash> recordUnreachable(const std::string &target, TimePoint now);

    // Records that a check found the target reachable: the connections that were lost before the
    // check are no crash. Returns whether another check is needed, for those lost since, which
    // begins at now.
    [[nodiscard]] bool recordReachable(const std::string &target, TimePoint now);

    // Returns the number of targets with recent losses.
    [[nodiscard]] std::size_t targetCount() const { return losses_.size(); }

private:
    struct Loss
    {
        std::string crashId_;
        std::vector<Suspect> suspects_;
        TimePoint expiresAt_;
        bool isBeforeCheck_ = true; // the check that is under way began after it
    };

    struct Losses
    {
        std::vector<Loss> list_;
        bool isChecking_ = false;
    };

    std::map<std::string, Losses> losses_; // by target
};

} // namespace foxtailturn
