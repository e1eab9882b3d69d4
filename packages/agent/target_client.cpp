#include "agent/target_client.h"

#include <utility>

#include "agent/http_timeouts.h"

namespace foxtailturn {

namespace {

constexpr auto kHealthTimeout = std::chrono::milliseconds(300);

httplib::Request toHttp(const TargetRequest &request)
{
    httplib::Request http;
    http.method = request.method_;
    http.path = request.path_;
    http.body = request.body_;
    if (!request.contentType_.empty())
        http.set_header("Content-Type", request.contentType_);
    if (!request.idempotencyKey_.empty())
        http.set_header("Idempotency-Key", request.idempotencyKey_);
    if (!request.workspace_.empty())
        http.set_header("X-Foxtailturn-Workspace", request.workspace_);
    return http;
}

} // namespace

HttpTargetClient::HttpTargetClient(std::string host, int port, const Clock &clock)
    : host_(std::move(host))
    , port_(port)
    , clock_(&clock)
{ }

Result<void> HttpTargetClient::call(const TargetRequest &request, TargetSink &sink)
{
    httplib::Client client(host_, port_);
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);
    client.set_url_encode(false);
    setTimeouts(client, request.deadline_ - clock_->now());
    bool aborted = false;
    httplib::Request http = toHttp(request);
    http.response_handler = [&](const httplib::Response &response) {
        aborted = !sink.onHead(response.status, response.get_header_value("Content-Type"));
        return !aborted;
    };
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        const bool isPastDeadline = clock_->now() >= request.deadline_;
        aborted = isPastDeadline || !sink.onData({data, size});
        return !aborted;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (client.send(http, response, error))
        return {};
    if (failedBeforeSending(error))
        return notRun(ErrorCode::TargetFailed, "target refused the connection");
    if (clock_->now() >= request.deadline_)
        return outcomeUnknown(ErrorCode::TargetTimeout, "target did not finish by the deadline");
    if (aborted)
        return outcomeUnknown(ErrorCode::Cancelled, "call was cancelled");
    if (!isReachable())
        return outcomeUnknown(ErrorCode::TargetCrashed, "target went down during the call");
    return outcomeUnknown(ErrorCode::TargetFailed, "target closed the connection during the call");
}

bool HttpTargetClient::isReachable() const
{
    httplib::Client client(host_, port_);
    client.set_connection_timeout(kHealthTimeout);
    client.set_read_timeout(kHealthTimeout);
    return static_cast<bool>(client.Get("/health"));
}

} // namespace foxtailturn
