#include "ctl/admin_client.h"

#include <utility>

#include <httplib.h>

#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;

} // namespace

HttpAdminClient::HttpAdminClient(std::string token, Duration timeout)
    : token_(std::move(token))
    , timeout_(timeout)
{ }

Result<std::string> HttpAdminClient::send(const std::string &address, const std::string &method,
                                          const std::string &path, const std::string &body)
{
    httplib::Client client("http://" + address);
    if (!client.is_valid())
        return notRun(ErrorCode::InvalidSettings, concat("'", address, "' is not an address"));
    client.set_connection_timeout(timeout_);
    client.set_read_timeout(timeout_);
    const httplib::Headers headers = {{"x-admin-token", token_}};
    const httplib::Result answer = method == "GET"
        ? client.Get(path, headers)
        : client.Post(path, headers, body, "application/json");
    if (!answer)
        return outcomeUnknown(ErrorCode::ConnectionLost,
                              concat(address, " can't be reached: ", to_string(answer.error())));
    if (answer->status == kHttpUnauthorized)
        return notRun(ErrorCode::Unauthenticated, concat(address, " refused the admin token"));
    if (answer->status != kHttpOk)
        return outcomeUnknown(ErrorCode::ConnectionLost,
                              concat(address, " answered with status ", answer->status));
    return answer->body;
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
