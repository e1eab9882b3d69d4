#pragma once

// Structured log: one JSON object a line on standard output, one line for each decision.
//
//     EventLog log("entry-1", wallClock, [](std::string_view bytes) { return writeStdout(bytes);
//     }); log.write(LogDetail::Full, "refused", {{"request", id}, {"code", "rate_limited"}});
//     log.flush();   // from a timer
//
// Writing never blocks: lines wait in a bounded queue until the sink takes them. Ordinary lines are
// capped per kind and second; a summary line tells how many were left out. Lines with full detail
// (refusals, failures, changes of belief) have a larger cap. Never log keys, bodies or prompts.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/wall_clock.h"

namespace foxtailturn {

enum class LogDetail {
    Sampled, // ordinary work: capped at kSampledPerSecond lines of a kind
    Full, // failures and changes of belief: capped at kFullPerSecond
};

// Returns the number of bytes that standard output takes without blocking, after writing them.
// Thread-safe.
[[nodiscard]] std::size_t writeStandardOutput(std::string_view bytes);

// Not thread-safe: belongs to one event loop.
class EventLog
{
public:
    using Sink = std::function<std::size_t(std::string_view)>;

    // Lines of one kind a second. A calm entry decides about 12 requests a second.
    static constexpr int kSampledPerSecond = 20;
    static constexpr int kFullPerSecond = 100;
    // Bytes that may wait for a reader; further lines are dropped and counted.
    static constexpr std::size_t kMostQueuedBytes = 262'144;

    // The clock must outlive the log.
    EventLog(std::string process, const WallClock &clock, Sink sink);

    // Writes one line. fields must be an object.
    void write(LogDetail detail, std::string_view kind, nlohmann::json fields);

    // Returns whether a line of this kind would be written now, so that costly fields are built
    // only for lines that are. A refused line is counted as left out.
    [[nodiscard]] bool admits(LogDetail detail, std::string_view kind);

    // Hands queued lines to the sink and writes summaries of lines left out. Call about once a
    // second and at the end.
    void flush();

    // Returns the number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    struct KindCount
    {
        std::int64_t second_ = 0;
        int written_ = 0;
        std::uint64_t leftOut_ = 0;
    };

    void append(std::string_view line);
    void drain();

    std::string process_;
    const WallClock &clock_;
    Sink sink_;
    std::map<std::string, KindCount, std::less<>> kinds_;
    std::string queue_;
    std::uint64_t dropped_ = 0;
};

} // namespace foxtailturn
