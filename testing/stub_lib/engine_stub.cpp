#include "stub_lib/engine_stub.h"

#include <chrono>
#include <optional>

#include <unistd.h>

#include "base/log.h"
#include "http_storage/http_transport.h"

namespace foxtailturn {

namespace {

constexpr int kCrashExitCode = 70;
constexpr auto kWeightTimeout = std::chrono::seconds(120);

void fail(httplib::Response &response, int status, const std::string &message)
{
    const Json error = {{"message", message}, {"type", "invalid_request_error"}, {"code", status}};
    answerJson(response, status, Json{{"error", error}}.dump());
}

// Parses the body as an object; answers 400 and returns nullopt otherwise.
std::optional<Json> parseBody(const httplib::Request &request, httplib::Response &response)
{
    Result<Json> body = parseJson(request.body, "body");
    if (body && body->is_object())
        return *body;
    fail(response, 400, "body must be a JSON object");
    return std::nullopt;
}

// Waits in short steps, as long as the caller is there. Returns whether it still is.
bool waitWhileConnected(int ms)
{
    constexpr auto kStep = std::chrono::milliseconds(20);
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
    for (;;) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= end)
            return StubServer::isConnected();
        std::this_thread::sleep_until(std::min(end, now + kStep));
        if (!StubServer::isConnected())
            return false;
    }
}

} // namespace

struct EngineStub::Run
{
    Run(AdapterSlots &adapters, std::string adapter, EngineAnswer answer, int priority)
        : answer_(std::move(answer))
        , priority_(priority)
        , adapters_(adapters)
        , adapter_(std::move(adapter))
    { }
    ~Run()
    {
        if (!adapter_.empty())
            adapters_.unpin(adapter_);
    }
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;

    const EngineAnswer answer_;
    const int priority_;

private:
    AdapterSlots &adapters_;
    const std::string adapter_; // empty: base model
};

EngineStub::EngineStub(EngineOptions options)
    : options_(std::move(options))
    , adapters_(options_.slots_)
    , batch_(options_.batch_)
{
    server_.set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &) {
        if (request.has_header("Authorization") || request.has_header("x-api-key"))
            ++counts_.credentials_;
        return httplib::Server::HandlerResponse::Unhandled;
    });
    server_.Post("/v1/chat/completions", handler(&EngineStub::postChat));
    server_.Post("/v1/completions", handler(&EngineStub::postCompletion));
    server_.Get("/v1/models", handler(&EngineStub::getModels));
    server_.Post("/v1/load_lora_adapter", handler(&EngineStub::postLoad));
    server_.Post("/v1/unload_lora_adapter", handler(&EngineStub::postUnload));
    server_.Get("/load", handler(&EngineStub::getLoad));
    server_.Get("/stats", handler(&EngineStub::getStats));
    server_.Post("/fault", handler(&EngineStub::postFault));
    server_.Get("/health", [](const auto &, auto &out) { answerJson(out, 200, "{}"); });
}

httplib::Server::Handler EngineStub::handler(Method method)
{
    return [this, method](const httplib::Request &request, httplib::Response &response) {
        try {
            (this->*method)(request, response);
        } catch (const Json::exception &) {
            fail(response, 400, "a field has the wrong type");
        }
    };
}

void EngineStub::postChat(const httplib::Request &request, httplib::Response &response)
{
    complete(request, response, true);
}

void EngineStub::postCompletion(const httplib::Request &request, httplib::Response &response)
{
    complete(request, response, false);
}

void EngineStub::complete(const httplib::Request &request, httplib::Response &response, bool isChat)
{
    const std::optional<Json> body = parseBody(request, response);
    if (!body)
        return;
    ++counts_.requests_;
    EngineAnswer answer = makeAnswer(*body, isChat, options_.tokens_);
    const std::string model = answer.model_;
    const bool isBase = model == options_.baseModel_;
    const int priority = body->value("priority", 0);
    const bool isStream = body->value("stream", false);
    if (!isBase && !adapters_.pin(model)) {
        ++counts_.unknownModels_;
        fail(response, 404, concat("model ", model, " does not exist"));
        return;
    }
    if (wrongModel_)
        answer.model_ = "wrong@0";
    const auto run =
        std::make_shared<Run>(adapters_, isBase ? "" : model, std::move(answer), priority);
    const bool isCrash = !options_.crashMarker_.empty()
        && promptOf(*body).find(options_.crashMarker_) != std::string::npos;
    if (isCrash)
        _exit(kCrashExitCode);
    if (!isStream) {
        if (generate(*run, [](const std::string &) { return true; }))
            answerJson(response, 200, run->answer_.body());
        return;
    }
    response.set_chunked_content_provider(
        "text/event-stream", [this, run](std::size_t, httplib::DataSink &sink) {
            const auto send = [&](const std::string &text) {
                return sink.write(text.data(), text.size());
            };
            const bool isComplete = generate(*run, send) && send(run->answer_.endEvents());
            if (isComplete)
                sink.done();
            return isComplete;
        });
}

// Produces the tokens in time and passes their events to send. Returns false when cut or cancelled.
bool EngineStub::generate(const Run &run, const std::function<bool(const std::string &)> &send)
{
    const Batch::Place place(batch_, run.priority_);
    for (int i = 0; i < run.answer_.tokens_; ++i) {
        const int cutAfter = cutAfterTokens_;
        if (cutAfter > 0 && i >= cutAfter) {
            StubServer::dropConnection();
            return false;
        }
        const int waitMs = i == 0 ? options_.firstTokenMs_ : options_.tokenMs_;
        if (!waitWhileConnected(waitMs) || !send(run.answer_.tokenEvent(i))) {
            ++counts_.cancelled_;
            return false;
        }
    }
    return true;
}

void EngineStub::getModels(const httplib::Request &, httplib::Response &response)
{
    Json list =
        Json::array({{{"id", options_.baseModel_}, {"object", "model"}, {"parent", nullptr}}});
    for (const auto &[name, uses] : adapters_.loaded())
        list.push_back({{"id", name}, {"object", "model"}, {"parent", options_.baseModel_}});
    answerJson(response, 200, Json{{"object", "list"}, {"data", list}}.dump());
}

bool EngineStub::acceptOrder(const httplib::Request &request, httplib::Response &response)
{
    if (!request.has_header("x-fencing-number"))
        return true;
    const std::string header = request.get_header_value("x-fencing-number");
    const std::uint64_t number = std::strtoull(header.c_str(), nullptr, 10);
    std::uint64_t highest = highestFencing_;
    while (number > highest && !highestFencing_.compare_exchange_weak(highest, number)) { }
    if (number >= highest)
        return true;
    ++counts_.staleOrders_;
    if (options_.checkFencing_)
        fail(response, 412, "stale fencing number");
    return !options_.checkFencing_;
}

bool EngineStub::fetchWeights(const std::string &path) const
{
    if (options_.weightHost_.empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(options_.loadMs_));
        return true;
    }
    httplib::Client client(options_.weightHost_, options_.weightPort_);
    client.set_read_timeout(kWeightTimeout);
    client.set_url_encode(false);
    const httplib::Result result = client.Get(concat("/weights/", percentEncode(path)));
    return result && result->status == 200;
}

void EngineStub::postLoad(const httplib::Request &request, httplib::Response &response)
{
    const std::optional<Json> body = parseBody(request, response);
    if (!body || !acceptOrder(request, response))
        return;
    const std::string name = body->at("lora_name");
    const std::string path = body->at("lora_path");
    const SlotOutcome outcome = adapters_.beginLoad(name);
    if (outcome == SlotOutcome::AlreadyLoaded) {
        fail(response, 400, concat("adapter ", name, " is already loaded"));
        return;
    }
    if (outcome == SlotOutcome::NoFreeSlot) {
        fail(response, 409, "no free adapter slot");
        return;
    }
    const bool isLoaded = !failLoads_ && fetchWeights(path);
    adapters_.finishLoad(name, isLoaded);
    ++(isLoaded ? counts_.loads_ : counts_.failedLoads_);
    if (isLoaded)
        answerJson(response, 200, "{}");
    else
        fail(response, 500, concat("adapter ", name, " could not be loaded"));
}

void EngineStub::postUnload(const httplib::Request &request, httplib::Response &response)
{
    const std::optional<Json> body = parseBody(request, response);
    if (!body || !acceptOrder(request, response))
        return;
    const std::string name = body->at("lora_name");
    const SlotOutcome outcome = adapters_.unload(name);
    if (outcome == SlotOutcome::NotLoaded) {
        fail(response, 404, concat("adapter ", name, " is not loaded"));
        return;
    }
    if (outcome == SlotOutcome::InUse) {
        ++counts_.unloadsInUse_;
        fail(response, 409, concat("adapter ", name, " is in use"));
        return;
    }
    ++counts_.unloads_;
    answerJson(response, 200, "{}");
}

void EngineStub::getLoad(const httplib::Request &, httplib::Response &response)
{
    const Json load = {{"running", batch_.running()},
                       {"waiting", batch_.waiting()},
                       {"batch", options_.batch_},
                       {"slots", options_.slots_},
                       {"adapters", adapters_.loaded()}};
    answerJson(response, 200, load.dump());
}

void EngineStub::getStats(const httplib::Request &, httplib::Response &response)
{
    const Json stats = {{"requests", counts_.requests_.load()},
                        {"unknown_models", counts_.unknownModels_.load()},
                        {"loads", counts_.loads_.load()},
                        {"failed_loads", counts_.failedLoads_.load()},
                        {"unloads", counts_.unloads_.load()},
                        {"unloads_in_use", counts_.unloadsInUse_.load()},
                        {"stale_orders", counts_.staleOrders_.load()},
                        {"highest_fencing_number", highestFencing_.load()},
                        {"credentials", counts_.credentials_.load()},
                        {"cancelled", counts_.cancelled_.load()}};
    answerJson(response, 200, stats.dump());
}

void EngineStub::postFault(const httplib::Request &request, httplib::Response &response)
{
    const std::optional<Json> body = parseBody(request, response);
    if (!body)
        return;
    failLoads_ = body->value("fail_loads", false);
    wrongModel_ = body->value("wrong_model", false);
    cutAfterTokens_ = body->value("cut_after_tokens", 0);
    answerJson(response, 200, "{}");
}

} // namespace foxtailturn
