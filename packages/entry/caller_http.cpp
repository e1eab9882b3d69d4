#include "entry/caller_http.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "base/hash.h"
#include "entry/error_response.h"

namespace foxtailturn {

namespace {

constexpr auto kReadTimeout = std::chrono::seconds(10);
constexpr auto kWriteTimeout = std::chrono::seconds(10);
constexpr auto kIdleTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxRequestsPerConnection = 1'000;
constexpr int kListenBacklog = 1'024;
constexpr const char *kAnyPath = ".*";
constexpr int kPayloadTooLarge = 413;

HeaderMap toHeaders(const httplib::Headers &headers)
{
    HeaderMap map;
    for (const auto &[name, value] : headers) {
        std::string lower = name;
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        map.emplace(std::move(lower), value);
    }
    return map;
}

} // namespace

void CallerHttpServer::configure(const EntryServerSettings &settings)
{
    const std::size_t threads = settings.maxConnections_;
    new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    set_tcp_nodelay(true);
    set_read_timeout(kReadTimeout);
    set_write_timeout(kWriteTimeout);
    set_keep_alive_timeout(kIdleTimeout.count());
    set_keep_alive_max_count(kMaxRequestsPerConnection);
    set_payload_max_length(settings.maxBodyBytes_);
}

bool CallerHttpServer::bind(const std::string &host, int port)
{
    set_socket_options([](socket_t fd) {
        const int enabled = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
    return bind_to_port(host, port) && ::listen(svr_sock_, kListenBacklog) == 0;
}

void CallerHttpServer::handleAll(const Handler &handler)
{
    Get(kAnyPath, handler);
    Post(kAnyPath, handler);
    Put(kAnyPath, handler);
    Delete(kAnyPath, handler);
    Patch(kAnyPath, handler);
    Options(kAnyPath, handler);
}

CallerRequest toCallerRequest(const httplib::Request &request)
{
    CallerRequest caller;
    caller.id_ = randomId();
    caller.method_ = request.method;
    const std::size_t query = request.target.find('?');
    caller.path_ = request.target.substr(0, query);
    if (query != std::string::npos)
        caller.query_ = request.target.substr(query + 1);
    caller.headers_ = toHeaders(request.headers);
    caller.body_ = request.body;
    return caller;
}

void writeError(const Error &error, const std::string &requestId, TimePoint now,
                httplib::Response &response)
{
    const HttpError http = toHttpError(error, requestId, now);
    response.status = http.status_;
    response.set_content(http.body_, kJsonContentType);
    if (http.retryAfterSeconds_)
        response.set_header("Retry-After", std::to_string(*http.retryAfterSeconds_));
}

void rewriteServerError(httplib::Response &response, TimePoint now)
{
    if (!response.body.empty())
        return;
    const int status = response.status;
    const bool isTooLarge = status == kPayloadTooLarge;
    const Error error{isTooLarge ? ErrorCode::PayloadTooLarge : ErrorCode::BadRequest,
                      Execution::NotRun,
                      isTooLarge ? "body is too large" : "request can not be read"};
    writeError(error, randomId(), now, response);
    response.status = status;
}

} // namespace foxtailturn
