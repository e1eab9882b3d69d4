#pragma once

// Stand-in for a model engine with the published interfaces of engines that serve LoRA adapters.
//
//     EngineStub engine({.slots_ = 8, .batch_ = 16});
//     const int port = engine.server().start("127.0.0.1", 0);
//
// POST /v1/chat/completions, /v1/completions: JSON or SSE; "priority" orders waiting requests
// GET /v1/models: base model and loaded adapters
// POST /v1/load_lora_adapter {lora_name, lora_path}: 400 if loaded already, 409 without a free slot
// POST /v1/unload_lora_adapter {lora_name}: 404 if not loaded, 409 while in use
//   Header x-fencing-number: with checkFencing_, 412 for a number lower than one seen before.
// GET /load: running and waiting requests, slots, uses of each adapter
// GET /health, GET /stats: counts (see EngineCounts)
// POST /fault {fail_loads, wrong_model, cut_after_tokens}: sets all faults; absent ones are cleared
//
// An adapter is named "adapter@version"; answers repeat both (see engine_answer.h).

#include <atomic>
#include <memory>
#include <string>

#include "stub_lib/engine_adapters.h"
#include "stub_lib/engine_answer.h"
#include "stub_lib/engine_batch.h"
#include "stub_lib/stub_server.h"

namespace foxtailturn {

struct EngineOptions
{
    std::string baseModel_ = "base";
    int slots_ = 8; // adapters loaded at once
    int batch_ = 16; // requests running at once
    int firstTokenMs_ = 20;
    int tokenMs_ = 5;
    int tokens_ = 16; // length of an answer to a request without max_tokens
    int loadMs_ = 0; // time of a load when there is no weight store
    std::string weightHost_ = {}; // weight store; empty: none
    int weightPort_ = 0;
    bool checkFencing_ = true; // refuse orders with an old fencing number
    std::string crashMarker_ = {}; // a prompt with this text ends the process; empty: none

    bool operator==(const EngineOptions &) const = default;
};

// What GET /stats reports, by these names in lower case with underscores.
struct EngineCounts
{
    std::atomic<int> requests_ = 0;
    std::atomic<int> unknownModels_ = 0;
    std::atomic<int> loads_ = 0;
    std::atomic<int> failedLoads_ = 0;
    std::atomic<int> unloads_ = 0;
    std::atomic<int> unloadsInUse_ = 0; // refused: the adapter was in use
    std::atomic<int> staleOrders_ = 0; // orders with an old fencing number, refused or not
    std::atomic<int> credentials_ = 0; // requests with authorization or x-api-key; must stay 0
    std::atomic<int> cancelled_ = 0; // answers whose caller disconnected
};

// Thread-safe.
class EngineStub
{
public:
    explicit EngineStub(EngineOptions options);

    StubServer &server() { return server_; }

private:
    struct Run; // a pinned adapter with the answer in progress

    using Method = void (EngineStub::*)(const httplib::Request &, httplib::Response &);

    httplib::Server::Handler handler(Method method);
    void postChat(const httplib::Request &request, httplib::Response &response);
    void postCompletion(const httplib::Request &request, httplib::Response &response);
    void complete(const httplib::Request &request, httplib::Response &response, bool isChat);
    void getModels(const httplib::Request &request, httplib::Response &response);
    void postLoad(const httplib::Request &request, httplib::Response &response);
    void postUnload(const httplib::Request &request, httplib::Response &response);
    void getLoad(const httplib::Request &request, httplib::Response &response);
    void getStats(const httplib::Request &request, httplib::Response &response);
    void postFault(const httplib::Request &request, httplib::Response &response);

    bool acceptOrder(const httplib::Request &request, httplib::Response &response);
    bool fetchWeights(const std::string &path) const;
    bool generate(const Run &run, const std::function<bool(const std::string &)> &send);

    const EngineOptions options_;
    AdapterSlots adapters_;
    Batch batch_;
    EngineCounts counts_;
    std::atomic<std::uint64_t> highestFencing_ = 0;
    std::atomic<bool> failLoads_ = false;
    std::atomic<bool> wrongModel_ = false;
    std::atomic<int> cutAfterTokens_ = 0; // 0: never
    StubServer server_; // last, so that its threads end before the state goes
};

} // namespace foxtailturn
