#pragma once

// Tells the story of one request from the logs of several processes.
//
//     LogReader reader;
//     reader.read("entry-1.log", text);
//     const Explanation explanation = reader.explain("9c41d07be2a35f68");
//     std::cout << explanation.cause_;
//
// Lines are EventLog's JSON; text before the object, for example a collector's prefix, is skipped.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"

namespace foxtailturn {

// A line that belongs to the story.
struct StoryLine
{
    std::int64_t timeUs_ = 0; // wall clock of its process, which may differ between VMs
    std::string process_;
    std::string kind_;
    bool isContext_ = false; // about a target of the request, not about the request itself
    Json fields_;

    bool operator==(const StoryLine &) const = default;
};

struct Explanation
{
    std::vector<StoryLine> lines_; // in order of time
    // How each attempt's answer was framed and ended, and what the caller was told, in order.
    std::vector<std::string> answers_;
    // The configuration that admitted the request; empty if the logs do not tell it.
    std::string configuration_;
    std::string cause_; // one sentence; empty if the logs do not know the request

    bool operator==(const Explanation &) const = default;
};

// Not thread-safe.
class LogReader
{
public:
    // Takes the text of one log. source names it in problems().
    void read(const std::string &source, std::string_view text);

    // Returns the story of a request, with what was noted about its targets around that time.
    [[nodiscard]] Explanation explain(const std::string &requestId) const;

    // Returns what may be missing: lines that could not be read, a file that ends within a line,
    // lines that a process left out.
    [[nodiscard]] const std::vector<std::string> &problems() const { return problems_; }

private:
    std::vector<StoryLine> lines_;
    std::vector<std::string> problems_;
};

} // namespace foxtailturn
