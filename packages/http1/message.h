#pragma once

// Heads of HTTP/1.1 messages as values.
//
//     MessageHead head;
//     head.method_ = "GET";
//     head.target_ = "/status";
//     head.add("Host", "a.example");
//     socket.write(requestText(head));

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailturn {

struct HeaderField
{
    std::string name_;
    std::string value_;

    bool operator==(const HeaderField &) const = default;
};

// How the end of a body is told (RFC 9112, section 6.3).
enum class BodyFraming {
    None, // there is no body
    Length,
    Chunks,
    UntilClose, // responses only: the body ends with its connection
};

// Returns "none", "length", "last_chunk" or "close". Thread-safe.
[[nodiscard]] std::string_view framingName(BodyFraming framing);

// Start line and header fields of a request or a response. Reading from several threads is safe.
struct MessageHead
{
    std::string method_ = {}; // requests only
    std::string target_ = {}; // requests only: path and query
    int status_ = 0; // responses only
    std::vector<HeaderField> fields_ = {};
    std::optional<std::uint64_t> contentLength_ = std::nullopt; // bytes
    BodyFraming framing_ = BodyFraming::None;
    bool keepsAlive_ = true; // whether another message may follow on the connection
    bool canReadChunks_ = true; // whether its sender reads chunks: not before HTTP/1.1

    // Returns the value of the first field of this name, in any case of letters; null if absent.
    [[nodiscard]] const std::string *find(std::string_view name) const;

    // Returns the number of fields of this name.
    [[nodiscard]] int count(std::string_view name) const;

    // Appends a field. Precondition: neither text contains a line end.
    void add(std::string_view name, std::string_view value);

    bool operator==(const MessageHead &) const = default;
};

// Compares header names regardless of case. Thread-safe.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b);

// Returns whether a field concerns one connection only and must not be forwarded. Fields named by
// Connection are not known here. Thread-safe.
[[nodiscard]] bool isHopByHop(std::string_view name);

// Returns about how much memory a head takes. Thread-safe.
[[nodiscard]] std::size_t heldBytes(const MessageHead &head);

// Returns the fields of a head that may be forwarded: without hop-by-hop fields, Content-Length and
// those that Connection names. Thread-safe.
[[nodiscard]] std::vector<HeaderField> forwardableFields(const MessageHead &head);

// Returns start line, fields and the empty line. Framing fields are the caller's. Thread-safe.
[[nodiscard]] std::string requestText(const MessageHead &head);
[[nodiscard]] std::string responseText(const MessageHead &head);

// Returns one chunk of a chunked body. Precondition: data is not empty. Thread-safe.
[[nodiscard]] std::string chunkText(std::string_view data);

// Ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace foxtailturn
