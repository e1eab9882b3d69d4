#pragma once

// Sends single HTTP requests over pooled connections and classifies their failures. Internal to
// this package.
//
//     HttpTransport transport("10.0.0.7", 8400, clock);
//     Result<HttpAnswer> answer = transport.send({.method_ = "GET", .path_ = "/members"},
//     deadline);

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error.h"

namespace httplib {
class Client;
}

namespace foxtailturn {

struct HttpRequest
{
    std::string method_;
    std::string path_; // percent-encoded
    std::vector<std::pair<std::string, std::string>> headers_ = {};
    std::string body_ = {};

    bool operator==(const HttpRequest &) const = default;
};

struct HttpAnswer
{
    int status_ = 0;
    std::string body_;
    std::string etag_;
    std::string effect_; // header x-effect; "none" means that the request had no effect

    bool operator==(const HttpAnswer &) const = default;
};

// Returns text with all bytes but RFC 3986's unreserved ones percent-encoded. Thread-safe.
[[nodiscard]] std::string percentEncode(const std::string &text);

// Returns the failure of an answered request whose status is not an expected one. Thread-safe.
[[nodiscard]] tl::unexpected<Error> statusError(const HttpRequest &request,
                                                const HttpAnswer &answer);

// Pool of connections to one HTTP service. Thread-safe.
class HttpTransport
{
public:
    // Longest body of an answer. Objects, such as adapters, are the longest.
    static constexpr std::size_t kMaxAnswerBytes = 67'108'864;

    // Precondition: clock outlives this object.
    HttpTransport(std::string host, int port, const Clock &clock);
    ~HttpTransport();
    HttpTransport(const HttpTransport &) = delete;
    HttpTransport &operator=(const HttpTransport &) = delete;

    // Sends the request once and returns any complete answer, whatever its status. Error:
    // StoreUnavailable, also for an answer longer than kMaxAnswerBytes, OutcomeUnknown if a request
    // other than GET may have reached the service. Thread-safe.
    [[nodiscard]] Result<HttpAnswer> send(const HttpRequest &request, TimePoint deadline);

private:
    std::unique_ptr<httplib::Client> acquireClient();
    void releaseClient(std::unique_ptr<httplib::Client> client);

    std::string host_;
    int port_;
    const Clock &clock_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idle_;
};

} // namespace foxtailturn
