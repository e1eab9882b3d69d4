#pragma once

// Reads HTTP/1.1 messages from the bytes of a connection, one after the other.
//
//     MessageParser parser(MessageKind::Request, maxHeaderBytes, sink);
//     std::size_t used = parser.feed(bytes);      // stops behind the end of a message
//     if (parser.error()) closeConnection();
//     if (parser.isComplete()) { ...; parser.next(); parser.feed(rest); }
//
// The grammar is http-parser's, in its strict mode: a message with both a length and chunks, with
// two lengths or with a broken chunk is an error. Transfer codings other than chunked, CONNECT and
// answers that upgrade are errors too, since what follows them can't be delimited.

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "http1/message.h"

namespace foxtailturn {

enum class MessageKind { Request, Response };

// Receives the parts of a message, in order.
class MessageSink
{
public:
    virtual ~MessageSink() = default;

    virtual void onHead(MessageHead head) = 0;

    // data is valid during the call only.
    virtual void onBody(std::string_view data) = 0;

    virtual void onMessageEnd() = 0;
};

// Not thread-safe. The sink must outlive the parser and must not destroy it in a call.
class MessageParser
{
public:
    // maxHeaderBytes bounds start line and fields together.
    MessageParser(MessageKind kind, std::size_t maxHeaderBytes, MessageSink &sink);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    // Reads bytes until the message ends; returns how many were read. Reads none after an error or
    // a complete message.
    std::size_t feed(std::string_view data);

    // Tells the parser that the peer closed. Completes a response that has no length; an error if
    // another message is under way.
    void finish();

    // Prepares for the next message. Precondition: isComplete() or nothing was read.
    void next();

    // Says that the next response has no body, whatever its fields say (an answer to HEAD).
    void expectNoBody();

    // Gives back what is kept of the message under way. Nothing may be fed afterwards.
    void discard();

    // Returns whether the message under way has ended.
    [[nodiscard]] bool isComplete() const;

    // Returns whether a message has begun and not ended.
    [[nodiscard]] bool isInMessage() const;

    // Returns how many bytes the parser keeps of a head that has not ended.
    [[nodiscard]] std::size_t heldBytes() const;

    // Returns why the bytes are no message: BadRequest or PayloadTooLarge (header too long).
    [[nodiscard]] const std::optional<Error> &error() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace foxtailturn
