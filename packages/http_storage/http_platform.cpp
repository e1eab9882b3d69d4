#include "http_storage/http_platform.h"

#include <charconv>

#include "base/json.h"
#include "base/log.h"
#include "http_storage/http_transport.h"

namespace foxtailturn {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;

bool isSuccess(int status)
{
    return status == kOk || status == kCreated || status == kNoContent;
}

std::string rowPath(const std::string &key)
{
    return concat("/rows/", percentEncode(key));
}

std::string objectPath(const std::string &name)
{
    return concat("/objects/", percentEncode(name));
}

std::pair<std::string, std::string> condition(RowVersion expected)
{
    if (expected == kAbsent)
        return {"If-None-Match", "*"};
    return {"If-Match", concat('"', expected, '"')};
}

// Returns the version in a strong ETag.
std::optional<RowVersion> versionOf(const std::string &etag)
{
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
        return std::nullopt;
    RowVersion version = kAbsent;
    const char *last = etag.data() + etag.size() - 1;
    const auto [end, error] = std::from_chars(etag.data() + 1, last, version);
    if (error != std::errc() || end != last || version == kAbsent)
        return std::nullopt;
    return version;
}

tl::unexpected<Error> malformed(Execution execution, const std::string &problem)
{
    return tl::unexpected(Error{ErrorCode::StoreUnavailable, execution,
                                concat("malformed answer of the platform: ", problem)});
}

tl::unexpected<Error> conflict(const char *message)
{
    return notRun(ErrorCode::StoreConflict, message);
}

// Parses a JSON list and converts each item; problems become StoreUnavailable, NotRun.
template <typename T>
Result<std::vector<T>> parseList(const std::string &body, T (*convert)(JsonObject &))
{
    const Result<Json> json = parseJson(body, "list");
    if (!json || !json->is_array())
        return malformed(Execution::NotRun, "not a JSON list");
    std::vector<T> items;
    for (const Json &item : *json) {
        JsonObject object(item, "item");
        items.push_back(convert(object));
        if (object.error())
            return malformed(Execution::NotRun, object.error()->message_);
    }
    return items;
}

Row toRow(JsonObject &object)
{
    return Row{object.string("key"), object.string("value"),
               static_cast<RowVersion>(object.integer("version", {.min_ = 1}))};
}

Member toMember(JsonObject &object)
{
    Member member{object.string("name"), object.string("role"), object.string("address"),
                  object.string("data_centre"), VmState::Live};
    const std::string state = object.string("state");
    if (state == "leaving")
        member.state_ = VmState::Leaving;
    else if (state != "live")
        object.fail("state", "must be live or leaving");
    return member;
}

} // namespace

HttpTable::HttpTable(const std::string &host, int port, const Clock &clock)
    : transport_(std::make_unique<HttpTransport>(host, port, clock))
{ }

HttpTable::~HttpTable() = default;

Result<std::optional<Row>> HttpTable::read(const std::string &key, TimePoint deadline)
{
    const HttpRequest request{"GET", rowPath(key)};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status_ == kNotFound)
        return std::nullopt;
    if (answer->status_ != kOk)
        return statusError(request, *answer);
    const std::optional<RowVersion> version = versionOf(answer->etag_);
    if (!version)
        return malformed(Execution::NotRun, "no row version in the ETag");
    return Row{key, answer->body_, *version};
}

Result<RowVersion> HttpTable::write(const std::string &key, const std::string &value,
                                    RowVersion expected, TimePoint deadline)
{
    const HttpRequest request{"PUT",
                              rowPath(key),
                              {condition(expected), {"Content-Type", "text/plain; charset=utf-8"}},
                              value};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status_ == kPreconditionFailed)
        return conflict("row has another version");
    if (!isSuccess(answer->status_))
        return statusError(request, *answer);
    const std::optional<RowVersion> version = versionOf(answer->etag_);
    if (!version)
        return malformed(Execution::OutcomeUnknown, "no row version in the ETag");
    return *version;
}

Result<void> HttpTable::remove(const std::string &key, RowVersion expected, TimePoint deadline)
{
    const HttpRequest request{"DELETE", rowPath(key), {condition(expected)}};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    const bool isAbsent = answer->status_ == kNotFound;
    if (answer->status_ == kPreconditionFailed || (isAbsent && expected != kAbsent))
        return conflict("row has another version");
    if (!isSuccess(answer->status_) && !isAbsent)
        return statusError(request, *answer);
    return {};
}

Result<std::vector<Row>> HttpTable::scan(const std::string &prefix, TimePoint deadline)
{
    const HttpRequest request{"GET", concat("/rows?prefix=", percentEncode(prefix))};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status_ != kOk)
        return statusError(request, *answer);
    return parseList<Row>(answer->body_, toRow);
}

HttpObjects::HttpObjects(const std::string &host, int port, const Clock &clock)
    : transport_(std::make_unique<HttpTransport>(host, port, clock))
{ }

HttpObjects::~HttpObjects() = default;

Result<std::optional<std::string>> HttpObjects::get(const std::string &name, TimePoint deadline)
{
    const HttpRequest request{"GET", objectPath(name)};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status_ == kNotFound)
        return std::nullopt;
    if (answer->status_ != kOk)
        return statusError(request, *answer);
    return answer->body_;
}

Result<void> HttpObjects::put(const std::string &name, const std::string &content,
                              TimePoint deadline)
{
    const HttpRequest request{
        "PUT", objectPath(name), {{"Content-Type", "application/octet-stream"}}, content};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status_ == kConflict)
        return conflict("object exists with other content");
    if (!isSuccess(answer->status_))
        return statusError(request, *answer);
    return {};
}

HttpMembership::HttpMembership(const std::string &host, int port, const Clock &clock)
    : transport_(std::make_unique<HttpTransport>(host, port, clock))
{ }

HttpMembership::~HttpMembership() = default;

Result<std::vector<Member>> HttpMembership::members(TimePoint deadline)
{
    const HttpRequest request{"GET", "/members"};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status_ != kOk)
        return statusError(request, *answer);
    return parseList<Member>(answer->body_, toMember);
}

Result<void> HttpMembership::put(const Member &member, TimePoint deadline)
{
    const Json body = {{"name", member.name_},
                       {"role", member.role_},
                       {"address", member.address_},
                       {"data_centre", member.dataCentre_},
                       {"state", member.state_ == VmState::Live ? "live" : "leaving"}};
    const HttpRequest request{"PUT",
                              concat("/members/", percentEncode(member.name_)),
                              {{"Content-Type", "application/json"}},
                              body.dump()};
    const Result<HttpAnswer> answer = transport_->send(request, deadline);
    if (!answer)
        return tl::unexpected(answer.error());
    if (!isSuccess(answer->status_))
        return statusError(request, *answer);
    return {};
}

} // namespace foxtailturn
