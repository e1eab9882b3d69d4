#include "stub_lib/service_stub.h"

#include <algorithm>
#include <chrono>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

int largest(const std::map<std::string, int> &counts)
{
    int value = 0;
    for (const auto &[name, count] : counts)
        value = std::max(value, count);
    return value;
}

} // namespace

ServiceStub::ServiceStub()
{
    server_.set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &) {
        const std::lock_guard lock(mutex_);
        if (request.has_header("Authorization") || request.has_header("x-api-key"))
            ++credentials_;
        return httplib::Server::HandlerResponse::Unhandled;
    });
    server_.Post("/(bookings|deposits)", [this](const auto &in, auto &out) { execute(in, out); });
    server_.Get("/(registers|stock)/.+", [this](const auto &in, auto &out) { lookUp(in, out); });
    server_.Post("/fault", [this](const auto &in, auto &out) { postFault(in, out); });
    server_.Get("/stats", [this](const auto &in, auto &out) { getStats(in, out); });
    server_.Get("/health", [](const auto &, auto &out) { answerJson(out, 200, "{}"); });
}

ServiceStub::Faults ServiceStub::faults()
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

int ServiceStub::count(const httplib::Request &request, const std::string &digest)
{
    const std::lock_guard lock(mutex_);
    const std::string key = request.get_header_value("Idempotency-Key");
    if (!key.empty())
        ++byKey_[concat(request.path, " ", key)];
    ++byBody_[digest];
    return ++executions_;
}

void ServiceStub::execute(const httplib::Request &request, httplib::Response &response)
{
    const Faults faults = this->faults();
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.slowMs_));
    if (faults.refuse_) {
        answerJson(response, 503, R"({"error": "refused"})");
        return;
    }
    const std::string digest = sha256Hex(request.body);
    const int id = count(request, digest);
    if (faults.dropAfter_)
        StubServer::dropConnection();
    answerJson(response, 201, Json{{"id", id}, {"body_digest", digest}}.dump());
}

void ServiceStub::lookUp(const httplib::Request &request, httplib::Response &response)
{
    const Faults faults = this->faults();
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.slowMs_));
    if (faults.refuse_) {
        answerJson(response, 503, R"({"error": "refused"})");
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        ++lookUps_;
    }
    answerJson(
        response, 200,
        Json{{"path", request.path}, {"padding", std::string(faults.answerBytes_, 'x')}}.dump());
}

void ServiceStub::postFault(const httplib::Request &request, httplib::Response &response)
{
    const Result<Json> json = parseJson(request.body, "fault");
    if (!json) {
        answerJson(response, 400, "{}");
        return;
    }
    JsonObject object(*json, "fault");
    const Faults faults{
        static_cast<int>(object.integer("slow_ms", {.max_ = 600'000}, 0)),
        object.boolean("drop_after", false), object.boolean("refuse", false),
        static_cast<std::size_t>(object.integer("answer_bytes", {.max_ = 16'777'216}, 0))};
    object.refuseUnknown();
    if (object.error()) {
        answerJson(response, 400, Json{{"error", object.error()->message_}}.dump());
        return;
    }
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    answerJson(response, 200, "{}");
}

void ServiceStub::getStats(const httplib::Request &, httplib::Response &response)
{
    const std::lock_guard lock(mutex_);
    const Json stats = {{"executions", executions_},
                        {"by_key", byKey_},
                        {"by_body", byBody_},
                        {"largest_by_key", largest(byKey_)},
                        {"largest_by_body", largest(byBody_)},
                        {"look_ups", lookUps_},
                        {"credentials", credentials_}};
    answerJson(response, 200, stats.dump());
}

} // namespace foxtailturn
