#pragma once

// Results of a load run.
//
//     LoadReport report;
//     report.add("key-1", result);
//     report.merge(other);
//     report.toJson()

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"

namespace foxtailturn {

enum class LoadOutcome { Complete, Refused, Wrong, Cut, Failed };

// What one request came to.
struct LoadResult
{
    LoadOutcome outcome_ = LoadOutcome::Failed;
    std::string code_ = {}; // "code/execution" of a refusal or error
    double firstTokenMs_ = 0; // from the planned start
    std::vector<double> gapsMs_ = {}; // between tokens
    int tokens_ = 0;
    bool isLate_ = false; // open loop: all streams were busy at the planned start

    bool operator==(const LoadResult &) const = default;
};

// Not thread-safe; each thread has its own.
class LoadReport
{
public:
    // Adds a result; group is the name under which it is also reported alone.
    void add(const std::string &group, const LoadResult &result);

    void merge(const LoadReport &other);

    [[nodiscard]] std::uint64_t wrongAnswers() const { return total_.wrong_; }

    // Returns counts, and p50, p95, p99 and largest latencies in ms, in total and by group.
    // seconds is the time of the run.
    [[nodiscard]] Json toJson(double seconds) const;

private:
    struct Group
    {
        void add(const LoadResult &result);
        void merge(const Group &other);
        [[nodiscard]] Json toJson(double seconds) const;

        std::uint64_t requests_ = 0;
        std::uint64_t complete_ = 0;
        std::uint64_t wrong_ = 0;
        std::uint64_t cut_ = 0;
        std::uint64_t failed_ = 0;
        std::uint64_t late_ = 0;
        std::uint64_t tokens_ = 0;
        std::map<std::string, std::uint64_t> refusals_;
        std::map<std::string, std::uint64_t> failures_;
        std::vector<double> firstTokensMs_;
        std::vector<double> gapsMs_;
    };

    Group total_;
    std::map<std::string, Group> groups_;
};

} // namespace foxtailturn
