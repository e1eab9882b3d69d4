#include "http_storage/http_transport.h"

#include <algorithm>

#include <httplib.h>

#include "base/log.h"
#include "http_storage/http_platform.h"

namespace foxtailturn {

namespace {

// Maximum number of idle pooled connections; few threads of a process call the platform at once.
constexpr std::size_t kMaxIdleConnections = 16;

// Longest socket timeout, for callers without a deadline: select() rejects very long timeouts.
constexpr Duration kMaxWait = std::chrono::hours(1);

tl::unexpected<Error> unavailable(Execution execution, const std::string &message)
{
    return tl::unexpected(Error{ErrorCode::StoreUnavailable, execution, message});
}

bool isRead(const HttpRequest &request)
{
    return request.method_ == "GET";
}

// Both errors are raised before the first byte of the request is sent.
bool isBeforeSending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

Execution executionOf(const HttpRequest &request, httplib::Error error)
{
    const bool hadNoEffect = isRead(request) || isBeforeSending(error);
    return hadNoEffect ? Execution::NotRun : Execution::OutcomeUnknown;
}

httplib::Request toHttplib(const HttpRequest &request)
{
    httplib::Request converted;
    converted.method = request.method_;
    converted.path = request.path_;
    converted.body = request.body_;
    for (const auto &[name, value] : request.headers_)
        converted.headers.emplace(name, value);
    return converted;
}

void setTimeouts(httplib::Client &client, Duration remaining)
{
    const Duration wait = std::min(remaining, kMaxWait);
    client.set_connection_timeout(std::min(wait, kConnectTimeout));
    client.set_read_timeout(wait);
    client.set_write_timeout(wait);
}

} // namespace

std::string percentEncode(const std::string &text)
{
    constexpr std::string_view kHex = "0123456789ABCDEF";
    constexpr std::string_view kUnreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char c : text) {
        if (kUnreserved.find(c) != std::string_view::npos) {
            encoded.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded.push_back('%');
        encoded.push_back(kHex[byte >> 4]);
        encoded.push_back(kHex[byte & 0xf]);
    }
    return encoded;
}

tl::unexpected<Error> statusError(const HttpRequest &request, const HttpAnswer &answer)
{
    const bool hadNoEffect = isRead(request) || answer.effect_ == "none";
    return unavailable(
        hadNoEffect ? Execution::NotRun : Execution::OutcomeUnknown,
        concat("platform answered ", request.method_, " with status ", answer.status_));
}

HttpTransport::HttpTransport(std::string host, int port, const Clock &clock)
    : host_(std::move(host))
    , port_(port)
    , clock_(clock)
{ }

HttpTransport::~HttpTransport() = default;

std::unique_ptr<httplib::Client> HttpTransport::acquireClient()
{
    {
        const std::lock_guard lock(mutex_);
        if (!idle_.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(idle_.back());
            idle_.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(host_, port_);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    return client;
}

void HttpTransport::releaseClient(std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(mutex_);
    if (idle_.size() < kMaxIdleConnections)
        idle_.push_back(std::move(client));
}

Result<HttpAnswer> HttpTransport::send(const HttpRequest &request, TimePoint deadline)
{
    const TimePoint now = clock_.now();
    if (now >= deadline)
        return unavailable(Execution::NotRun, "deadline passed before the request was sent");
    std::unique_ptr<httplib::Client> client = acquireClient();
    setTimeouts(*client, deadline - now);
    httplib::Request outgoing = toHttplib(request);
    // The read timeout bounds each read only; this ends a response that arrives slowly.
    outgoing.progress = [&](std::uint64_t, std::uint64_t) { return clock_.now() < deadline; };
    std::string body;
    bool isTooLong = false;
    outgoing.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                    std::uint64_t) {
        isTooLong = body.size() + size > kMaxAnswerBytes;
        if (!isTooLong)
            body.append(data, size);
        return !isTooLong;
    };
    const httplib::Result result = client->send(outgoing);
    if (isTooLong)
        return unavailable(executionOf(request, httplib::Error::Canceled),
                           "platform request failed: the answer is longer than the limit");
    if (!result)
        return unavailable(executionOf(request, result.error()),
                           concat("platform request failed: ", httplib::to_string(result.error())));
    HttpAnswer answer{result->status, std::move(body), result->get_header_value("ETag"),
                      result->get_header_value("x-effect")};
    releaseClient(std::move(client));
    return answer;
}

} // namespace foxtailturn
