#pragma once

// Checks that an engine's answer names the adapter and version asked for, and reads its token use.
//
//     AnswerCheck check("acme-reports@3", streaming);
//     std::string passed = check.feed(bytes);   // data that may go to the caller
//     if (check.verdict() == AdapterVerdict::Wrong) ...

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailturn {

enum class AdapterVerdict { Pending, Right, Wrong };

// Holds data back until the engine has named the adapter, so that nothing of a wrong answer
// reaches the caller. One instance per answer. Not thread-safe.
class AnswerCheck
{
public:
    // expected is the engine's name of adapter and version; streaming tells SSE from one JSON body.
    AnswerCheck(std::string expected, bool streaming);

    // Takes the next bytes and returns those that may be passed on; empty while the verdict is
    // Pending and after Wrong.
    [[nodiscard]] std::string feed(std::string_view bytes);

    // Takes the end of the answer and returns the last bytes to pass on. A JSON body is judged
    // here. An answer that never named an adapter is Wrong.
    [[nodiscard]] std::string end();

    [[nodiscard]] AdapterVerdict verdict() const { return verdict_; }

    // Returns prompt plus completion tokens as the engine reported them, 0 when it did not.
    [[nodiscard]] std::uint64_t usedTokens() const { return usedTokens_; }

    // Returns whether an SSE answer had its final [DONE] line. A JSON body that parsed is complete.
    [[nodiscard]] bool isComplete() const { return complete_; }

private:
    void readLines(std::string_view bytes);
    void readEvent(std::string_view line);
    void readObject(std::string_view text);

    std::string expected_;
    bool streaming_;
    bool complete_ = false;
    AdapterVerdict verdict_ = AdapterVerdict::Pending;
    std::uint64_t usedTokens_ = 0;
    std::string held_; // bytes not passed on yet
    std::string line_; // begin of an SSE line whose end has not come yet
};

} // namespace foxtailturn
