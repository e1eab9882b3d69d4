#pragma once

// Validates that an engine's answer names the requested adapter version, and reads its token usage.
//
//     AnswerCheck check("acme-reports@3", streaming);
//     std::string released = check.feed(bytes);   // data that may be sent to the caller
//     if (check.adapterMatch() == AdapterMatch::Mismatched) ...

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailturn {

enum class AdapterMatch { Pending, Matched, Mismatched };

// Buffers data until the engine has named the adapter, so that no data of another adapter's answer
// reaches the caller. One instance per answer. Not thread-safe.
class AnswerCheck
{
public:
    // A JSON body, or the events before the one that names the adapter; also one line of events.
    static constexpr std::size_t kMaxBufferedBytes = 4'194'304;

    // expected is the model name of the adapter version, for example "acme-reports@3". streaming is
    // true for a stream of server-sent events (SSE) and false for a single JSON body.
    AnswerCheck(std::string expected, bool streaming);

    // Consumes the next bytes and returns those that may be sent; empty while the match is
    // Pending, after Mismatched, and for a JSON body until end().
    [[nodiscard]] std::string feed(std::string_view bytes);

    // Ends the answer and returns the remaining bytes to send. A JSON body is validated here. An
    // answer that did not name an adapter is Mismatched.
    [[nodiscard]] std::string end();

    [[nodiscard]] AdapterMatch adapterMatch() const { return adapterMatch_; }

    // Returns the sum of prompt and completion tokens that the engine reported, 0 if it did not.
    [[nodiscard]] std::uint64_t usedTokens() const { return usedTokens_; }

    // Returns whether more than kMaxBufferedBytes would have to be buffered. feed() and end()
    // return nothing from then on.
    [[nodiscard]] bool isTooLong() const { return isTooLong_; }

    // Returns whether an SSE answer had its final [DONE] line. A JSON body with the right adapter
    // is complete.
    [[nodiscard]] bool isComplete() const { return complete_; }

private:
    void parseLines(std::string_view bytes);
    void parseEvent(std::string_view line);
    void parseObject(std::string_view text);

    std::string expectedModel_;
    bool streaming_;
    bool complete_ = false;
    bool isTooLong_ = false;
    AdapterMatch adapterMatch_ = AdapterMatch::Pending;
    std::uint64_t usedTokens_ = 0;
    std::string unreleased_; // bytes not returned yet
    std::string partialLine_; // partial SSE line, without its end so far
};

} // namespace foxtailturn
