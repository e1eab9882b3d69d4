#pragma once

// Load on an entry or directly on an engine stand-in, bounded in requests and time.
//
//     const LoadReport report = runLoad({.host_ = "127.0.0.1", .port_ = port,
//                                        .models_ = {{"a@1", "a@1"}}, .streams_ = 10});
//
// Closed loop (rate_ = 0): each stream starts its next request when the last has ended. Open loop:
// requests start at fixed intervals whatever the answers, and latencies count from the planned
// start, so that a stalled server can't hide requests that it kept from starting.

#include <string>
#include <vector>

#include "stub_lib/load_report.h"

namespace foxtailturn {

struct LoadModel
{
    std::string name_; // as the request names it
    std::string adapter_; // "adapter@version" that must answer

    bool operator==(const LoadModel &) const = default;
};

struct LoadOptions
{
    std::string host_ = "127.0.0.1";
    int port_ = 0;
    std::vector<std::string> keys_ = {}; // API keys, by turns; empty: none is sent
    std::vector<LoadModel> models_ = {};
    double skew_ = 0; // popularity of the n-th model is 1/n^skew
    int streams_ = 1; // requests at once, at most
    double rate_ = 0; // requests a second; 0: closed loop
    double seconds_ = 10; // no request starts later
    int requests_ = 1'000'000; // no more requests start
    int maxTokens_ = 16;
    int promptWords_ = 20;
    bool isStream_ = true;
    bool isChat_ = true;
    int timeoutMs_ = 30'000; // longest silence of an answer

    bool operator==(const LoadOptions &) const = default;
};

// Runs the load and returns its results, grouped by the index of the key ("key 0"). Precondition:
// models_ is not empty.
[[nodiscard]] LoadReport runLoad(const LoadOptions &options);

} // namespace foxtailturn
