#pragma once

// Interface between callers' connections and the program that serves their requests. A connection
// reads each request whole, within the limits, and hands it over; the program answers through an
// AnswerSink.
//
//     class Echo final : public CallerService { ... };
//     Echo echo;
//     CallerListener listener(echo, meter);
//     listener.listen("10.0.0.5:8080");

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <asio/io_context.hpp>

#include "base/clock.h"
#include "base/error.h"
#include "http1/message.h"
#include "memory/memory_account.h"
#include "memory/shedding.h"

namespace foxtailturn::callers {

// Bounds on what a caller may send and how long it may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes_ = 16'384;
    std::size_t maxBodyBytes_ = 4'194'304;
    Duration headerTimeout_ = std::chrono::seconds(3);
    Duration idleTimeout_ = std::chrono::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

// An answer by which the program itself ends a request.
struct Refusal
{
    int status_ = 503;
    std::string requestId_;
    std::string code_; // name of the ErrorCode; informational
    // From now to the earliest time at which a retry may succeed.
    std::optional<Duration> retryAfter_ = std::nullopt;
    bool closesConnection_ = false; // the connection closes after this answer

    bool operator==(const Refusal &) const = default;
};

// How an answer that can't be completed ends.
enum class AnswerBreak {
    Refuse, // nothing was sent: with an answer of our own
    Close, // the framing shows that the answer is incomplete
    Reset, // only a reset shows it
};

// Receives the answer to one request. Not thread-safe: all calls come from the loop's thread.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual void sendAnswer(std::string bytes) = 0;

    // Called once the answer is complete.
    virtual void endAnswer() = 0;

    // Called if a forwarded answer can't be completed: ends the connection by Close or Reset.
    virtual void abortAnswer(AnswerBreak how) = 0;

    // Called before the head of an answer that only the connection's close ends (RFC 9112, section
    // 6.3). closesAfterAnswer() returns true from then on.
    virtual void endWithConnection() = 0;

    // Returns whether the connection closes after this answer.
    [[nodiscard]] virtual bool closesAfterAnswer() const = 0;

    [[nodiscard]] virtual std::size_t unsentBytes() const = 0;

    // Returns whether the caller has closed its connection by now.
    [[nodiscard]] virtual bool hasCallerLeft() = 0;
};

// A request that was read whole, until its answer has ended. Not thread-safe: all calls come from
// the loop's thread.
class Exchange
{
public:
    virtual ~Exchange() = default;

    // May answer at once.
    virtual void start() = 0;

    // The caller has closed its connection. The sink must not be called any more.
    virtual void cancel() = 0;

    // Ends the request because the process is about to stop: with an answer, or by breaking it off
    // if one has begun.
    virtual void shutDown() = 0;

    // All bytes of the answer so far were sent.
    virtual void onAnswerDrained() = 0;
};

using Admission = std::variant<std::shared_ptr<Exchange>, Refusal>;

// Not thread-safe: all calls come from the loop's thread.
class CallerService
{
public:
    virtual ~CallerService() = default;

    virtual asio::io_context &context() = 0;
    virtual memory::MemoryAccount &memory() = 0;
    [[nodiscard]] virtual TimePoint now() const = 0;
    [[nodiscard]] virtual CallerLimits limits() const = 0;

    // Returns a pseudo-random number from 0 to 1, to spread retry times.
    [[nodiscard]] virtual double jitter() = 0;

    // Returns the request, which is not started yet, or the answer that refuses it. The sink
    // outlives the exchange unless cancel() is called.
    [[nodiscard]] virtual Admission admit(const MessageHead &head, std::string body,
                                          TimePoint receivedAt, AnswerSink &answer) = 0;

    // Returns the id that the caller gave its request, or an empty text.
    [[nodiscard]] virtual std::string requestIdOf(const MessageHead &head) const = 0;

    // Returns the workspace that a request belongs to, or an empty text.
    [[nodiscard]] virtual std::string workspaceOf(const MessageHead &head) const = 0;

    // Returns the bytes of a refusal.
    [[nodiscard]] virtual std::string refusalText(const Refusal &refusal) const = 0;

    // A request was refused by admit(), or by its connection before it was read whole.
    virtual void countRefusal(const Refusal &refusal) = 0;
    virtual void logUnreadRequest(const Refusal &refusal) = 0;

    // A caller has given way. reason: "unfinished_request", "unread_answer" or "connections".
    virtual void recordShed(std::string_view reason, const memory::Holder &holder,
                            std::size_t connections) = 0;
    virtual void recordAcceptFailure(const std::string &what) = 0;
};

} // namespace foxtailturn::callers
