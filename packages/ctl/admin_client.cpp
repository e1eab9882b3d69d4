#include "ctl/admin_client.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "http1/http_exchange.h"

namespace foxtailturn {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;

std::optional<int> portOf(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc() || end != text.data() + text.size() || port == 0)
        return std::nullopt;
    return port;
}

} // namespace

HttpAdminClient::HttpAdminClient(std::string token, Duration timeout)
    : token_(std::move(token))
    , timeout_(timeout)
{ }

Result<std::string> HttpAdminClient::send(const std::string &address, const std::string &method,
                                          const std::string &path, const std::string &body)
{
    const std::size_t colon = address.rfind(':');
    const std::optional<int> port = colon == std::string::npos
        ? std::nullopt
        : portOf(std::string_view(address).substr(colon + 1));
    if (!port)
        return notRun(ErrorCode::InvalidSettings, concat("'", address, "' is not an address"));
    MessageHead head;
    head.method_ = method;
    head.target_ = path;
    head.add("x-admin-token", token_);
    if (method == "POST")
        head.add("Content-Type", "application/json");
    const SystemClock clock;
    const HttpExchange exchange(address.substr(0, colon), *port, clock);
    const Result<BufferedAnswer> answer =
        exchange.call(std::move(head), body, clock.now() + timeout_);
    if (!answer)
        return outcomeUnknown(ErrorCode::ConnectionLost,
                              concat(address, " can't be reached: ", answer.error().message_));
    if (answer->status_ == kHttpUnauthorized)
        return notRun(ErrorCode::Unauthenticated, concat(address, " refused the admin token"));
    if (answer->status_ != kHttpOk)
        return outcomeUnknown(ErrorCode::ConnectionLost,
                              concat(address, " answered with status ", answer->status_));
    return answer->body_;
}

Result<Json> HttpAdminClient::state(const std::string &address)
{
    const Result<std::string> body = send(address, "GET", "/state", "");
    if (!body)
        return tl::unexpected(body.error());
    Json json = parseUntrustedJson(*body);
    if (!json.is_object())
        return notRun(ErrorCode::ConnectionLost, concat(address, " answered without a state"));
    return json;
}

Result<void> HttpAdminClient::drain(const std::string &address)
{
    return send(address, "POST", "/drain", "{}").map([](const std::string &) {});
}

Result<void> HttpAdminClient::withdraw(const std::string &address,
                                       const std::set<std::string> &keyIds)
{
    const Json body = {{"keys", keyIds}};
    return send(address, "POST", "/withdraw", body.dump()).map([](const std::string &) {});
}

} // namespace foxtailturn
