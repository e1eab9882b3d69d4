#include "stub_lib/platform_stub.h"

#include <chrono>

#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr std::array<const char *, kStubServices> kServiceNames = {"rows", "objects", "members",
                                                                   "weights"};

constexpr TimePoint kNoDeadline = TimePoint::max();

// Refuses a request that had no effect.
void refuse(httplib::Response &response, int status)
{
    response.set_header("x-effect", "none");
    answerJson(response, status, "{}");
}

// Returns the expected version of a conditional request; nullopt when the condition is missing.
std::optional<RowVersion> expectedVersion(const httplib::Request &request)
{
    if (request.get_header_value("If-None-Match") == "*")
        return kAbsent;
    const std::string etag = request.get_header_value("If-Match");
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
        return std::nullopt;
    return std::strtoull(etag.c_str() + 1, nullptr, 10);
}

bool isUtf8(const std::string &text)
{
    try {
        return !Json(text).dump().empty();
    } catch (const Json::exception &) {
        return false;
    }
}

std::string etagOf(RowVersion version)
{
    return concat('"', version, '"');
}

bool isWrite(const httplib::Request &request)
{
    return request.method == "PUT" || request.method == "DELETE";
}

StubFaults parseFaults(JsonObject &object)
{
    return StubFaults{object.boolean("down", false),
                      static_cast<int>(object.integer("slow_ms", {.max_ = 600'000}, 0)),
                      object.boolean("lose_answers", false),
                      object.boolean("drop_requests", false)};
}

} // namespace

PlatformStub::PlatformStub()
{
    const std::string name = R"(([\s\S]+))";
    server_.Get("/rows", guarded(StubService::Rows, &PlatformStub::listRows));
    server_.Get("/rows/" + name, guarded(StubService::Rows, &PlatformStub::getRow));
    server_.Put("/rows/" + name, guarded(StubService::Rows, &PlatformStub::putRow));
    server_.Delete("/rows/" + name, guarded(StubService::Rows, &PlatformStub::deleteRow));
    server_.Get("/objects/" + name, guarded(StubService::Objects, &PlatformStub::getObject));
    server_.Put("/objects/" + name, guarded(StubService::Objects, &PlatformStub::putObject));
    server_.Get("/members", guarded(StubService::Members, &PlatformStub::listMembers));
    server_.Put("/members/" + name, guarded(StubService::Members, &PlatformStub::putMember));
    server_.Delete("/members/" + name, guarded(StubService::Members, &PlatformStub::deleteMember));
    server_.Get("/weights/" + name, guarded(StubService::Weights, &PlatformStub::getWeights));
    server_.Post("/fault", [this](const auto &in, auto &out) { postFault(in, out); });
    server_.Get("/stats", [this](const auto &in, auto &out) { getStats(in, out); });
    server_.Get("/health", [](const auto &, auto &out) { answerJson(out, 200, "{}"); });
}

void PlatformStub::setFaults(StubService service, const StubFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_[static_cast<std::size_t>(service)] = faults;
}

StubFaults PlatformStub::beginRequest(StubService service)
{
    const std::lock_guard lock(mutex_);
    ++requests_[static_cast<std::size_t>(service)];
    return faults_[static_cast<std::size_t>(service)];
}

httplib::Server::Handler PlatformStub::guarded(StubService service, Method method)
{
    return [this, service, method](const httplib::Request &request, httplib::Response &response) {
        const StubFaults faults = beginRequest(service);
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.slowMs_));
        if (faults.down_) {
            refuse(response, 503);
            return;
        }
        if (!(faults.dropRequests_ && isWrite(request)))
            (this->*method)(request, response);
        if ((faults.dropRequests_ || faults.loseAnswers_) && isWrite(request))
            StubServer::dropConnection();
    };
}

void PlatformStub::getRow(const httplib::Request &request, httplib::Response &response)
{
    const Result<std::optional<Row>> row = table_.read(request.matches[1], kNoDeadline);
    if (!row || !*row) {
        refuse(response, 404);
        return;
    }
    response.set_header("ETag", etagOf((*row)->version_));
    response.set_content((*row)->value_, "text/plain; charset=utf-8");
}

void PlatformStub::putRow(const httplib::Request &request, httplib::Response &response)
{
    const std::optional<RowVersion> expected = expectedVersion(request);
    if (!expected || !isUtf8(request.body) || !isUtf8(request.matches[1])) {
        refuse(response, 400);
        return;
    }
    const Result<RowVersion> version =
        table_.write(request.matches[1], request.body, *expected, kNoDeadline);
    if (!version) {
        refuse(response, 412);
        return;
    }
    response.set_header("ETag", etagOf(*version));
    response.status = *expected == kAbsent ? 201 : 200;
}

void PlatformStub::deleteRow(const httplib::Request &request, httplib::Response &response)
{
    const std::optional<RowVersion> expected = expectedVersion(request);
    if (!expected) {
        refuse(response, 400);
        return;
    }
    if (!table_.remove(request.matches[1], *expected, kNoDeadline))
        refuse(response, 412);
    else
        response.status = 204;
}

void PlatformStub::listRows(const httplib::Request &request, httplib::Response &response)
{
    const auto rows = table_.scan(request.get_param_value("prefix"), kNoDeadline);
    Json list = Json::array();
    for (const Row &row : *rows)
        list.push_back({{"key", row.key_}, {"value", row.value_}, {"version", row.version_}});
    answerJson(response, 200, list.dump());
}

void PlatformStub::getObject(const httplib::Request &request, httplib::Response &response)
{
    const auto content = objects_.get(request.matches[1], kNoDeadline);
    if (!content || !*content)
        refuse(response, 404);
    else
        response.set_content(**content, "application/octet-stream");
}

void PlatformStub::putObject(const httplib::Request &request, httplib::Response &response)
{
    if (!objects_.put(request.matches[1], request.body, kNoDeadline)) {
        refuse(response, 503);
        return;
    }
    const auto stored = objects_.get(request.matches[1], kNoDeadline);
    if (stored && *stored == request.body)
        response.status = 200;
    else
        refuse(response, 409);
}

void PlatformStub::listMembers(const httplib::Request &, httplib::Response &response)
{
    Json list = Json::array();
    const std::lock_guard lock(mutex_);
    for (const auto &[name, text] : members_)
        list.push_back(Json::parse(text));
    answerJson(response, 200, list.dump());
}

void PlatformStub::putMember(const httplib::Request &request, httplib::Response &response)
{
    Result<Json> member = parseJson(request.body, "member");
    if (!member || !member->is_object()) {
        refuse(response, 400);
        return;
    }
    (*member)["name"] = request.matches[1].str();
    const std::lock_guard lock(mutex_);
    members_[request.matches[1]] = member->dump();
    response.status = 200;
}

void PlatformStub::deleteMember(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(mutex_);
    response.status = members_.erase(request.matches[1]) == 1 ? 204 : 404;
}

void PlatformStub::getWeights(const httplib::Request &request, httplib::Response &response)
{
    weights_.load();
    answerJson(response, 200, Json{{"name", request.matches[1].str()}}.dump());
}

void PlatformStub::postFault(const httplib::Request &request, httplib::Response &response)
{
    const Result<Json> json = parseJson(request.body, "fault");
    if (!json) {
        answerJson(response, 400, "{}");
        return;
    }
    JsonObject object(*json, "fault");
    const std::string service = object.string("service", "");
    const StubFaults faults = parseFaults(object);
    object.refuseUnknown();
    const bool isKnown = service.empty()
        || std::find(kServiceNames.begin(), kServiceNames.end(), service) != kServiceNames.end();
    if (object.error() || !isKnown) {
        const std::string problem = object.error() ? object.error()->message_ : "unknown service";
        answerJson(response, 400, Json{{"error", problem}}.dump());
        return;
    }
    for (std::size_t i = 0; i < kStubServices; ++i) {
        if (service.empty() || service == kServiceNames[i])
            setFaults(static_cast<StubService>(i), faults);
    }
    answerJson(response, 200, "{}");
}

void PlatformStub::getStats(const httplib::Request &, httplib::Response &response)
{
    Json stats = {{"row_reads", table_.readCount()},
                  {"row_writes", table_.writeCount()},
                  {"max_weight_loads", weights_.maxInFlight()}};
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < kStubServices; ++i)
        stats["requests"][kServiceNames[i]] = requests_[i];
    answerJson(response, 200, stats.dump());
}

} // namespace foxtailturn
