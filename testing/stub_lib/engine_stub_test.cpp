#include "stub_lib/engine_stub.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

constexpr const char *kHost = "127.0.0.1";

struct Fixture
{
    explicit Fixture(EngineOptions options = {.slots_ = 2, .firstTokenMs_ = 5, .tokenMs_ = 1})
        : engine_(std::move(options))
        , port_(engine_.server().start(kHost, 0, 32))
        , client_(kHost, port_)
    { }

    int post(const std::string &path, const Json &body, const httplib::Headers &headers = {})
    {
        const httplib::Result result = client_.Post(path, headers, body.dump(), "application/json");
        last_ = result ? result->body : "";
        return result ? result->status : 0;
    }

    int load(const std::string &name, const httplib::Headers &headers = {})
    {
        return post("/v1/load_lora_adapter", {{"lora_name", name}, {"lora_path", name}}, headers);
    }

    int unload(const std::string &name)
    {
        return post("/v1/unload_lora_adapter", {{"lora_name", name}});
    }

    Json stats() { return Json::parse(client_.Get("/stats")->body); }

    EngineStub engine_;
    int port_;
    httplib::Client client_;
    std::string last_;
};

// Guards against an answer that does not identify its request.
TEST_CASE("answers name adapter, version and prompt in both formats")
{
    Fixture f;
    REQUIRE(f.load("a@3") == 200);
    Json body = {{"model", "a@3"}, {"max_tokens", 2}, {"messages", {{{"content", "hello"}}}}};
    const std::string digest = promptDigest("hello");
    const std::string text = "adapter=a version=3 prompt=" + digest + " 1:" + digest.substr(0, 4);
    REQUIRE(f.post("/v1/chat/completions", body) == 200);
    const Json answer = Json::parse(f.last_);
    CHECK(answer["model"] == "a@3");
    CHECK(answer["choices"][0]["message"]["content"] == text);
    CHECK(answer["usage"]["completion_tokens"] == 2);
    body["stream"] = true;
    REQUIRE(f.post("/v1/chat/completions", body) == 200);
    CHECK(f.last_.find(digest) != std::string::npos);
    CHECK(f.last_.find("\"completion_tokens\":2") != std::string::npos);
    CHECK(f.last_.ends_with("data: [DONE]\n\n"));
    CHECK(f.post("/v1/completions", {{"model", "b@1"}, {"prompt", "x"}}) == 404);
    CHECK(f.post("/v1/completions", {{"model", 1}}) == 400);
}

// Guards against a stand-in that forgives wrong orders; the agent must avoid them.
TEST_CASE("adapter orders are refused without a slot, twice, and while in use")
{
    Fixture f({.slots_ = 2, .firstTokenMs_ = 300});
    CHECK(f.load("a@1") == 200);
    CHECK(f.load("a@1") == 400);
    CHECK(f.load("b@1") == 200);
    CHECK(f.load("c@1") == 409);
    std::thread user([&] {
        httplib::Client client(kHost, f.port_);
        client.Post("/v1/completions", R"({"model": "a@1", "prompt": "x"})", "application/json");
    });
    while (Json::parse(f.client_.Get("/load")->body)["adapters"]["a@1"] == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    CHECK(f.unload("a@1") == 409);
    user.join();
    CHECK(f.unload("a@1") == 200);
    CHECK(f.unload("a@1") == 404);
    CHECK(f.stats()["unloads_in_use"] == 1);
    CHECK(Json::parse(f.client_.Get("/v1/models")->body)["data"].size() == 2);
    CHECK(f.post("/fault", {{"fail_loads", true}}) == 200);
    CHECK(f.load("c@1") == 500);
    CHECK(f.stats()["failed_loads"] == 1);
}

TEST_CASE("old fencing numbers are refused, or obeyed and counted")
{
    for (const bool isChecked : {true, false}) {
        CAPTURE(isChecked);
        Fixture f({.slots_ = 4, .checkFencing_ = isChecked});
        CHECK(f.load("a@1", {{"x-fencing-number", "7"}}) == 200);
        CHECK(f.load("b@1", {{"x-fencing-number", "6"}}) == (isChecked ? 412 : 200));
        CHECK(f.load("c@1", {{"x-fencing-number", "7"}}) == 200);
        CHECK(f.stats()["stale_orders"] == 1);
    }
}

// Guards against a key that reaches a target unnoticed, and a cut or cancelled stream uncounted.
TEST_CASE("credentials, cut streams and cancelled streams are counted")
{
    Fixture f({.firstTokenMs_ = 5, .tokenMs_ = 20});
    f.post("/v1/completions", {{"model", "base"}, {"max_tokens", 1}}, {{"X-Api-Key", "k"}});
    f.post("/v1/completions", {{"model", "base"}, {"max_tokens", 1}}, {{"authorization", "k"}});
    CHECK(f.stats()["credentials"] == 2);
    httplib::Client impatient(kHost, f.port_);
    impatient.set_read_timeout(std::chrono::milliseconds(100));
    CHECK(!impatient.Post("/v1/completions", R"({"model": "base", "max_tokens": 100})",
                          "application/json"));
    impatient.stop();
    for (int i = 0; i < 100 && f.stats()["cancelled"] == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(f.stats()["cancelled"] == 1);
    f.post("/fault", {{"cut_after_tokens", 3}});
    CHECK(f.post("/v1/completions", {{"model", "base"}, {"stream", true}}) == 0);
}

// Guards against a batch that admits more than its size or ignores priorities.
TEST_CASE("the batch is bounded and admits by priority")
{
    Batch batch(1);
    std::vector<int> order;
    std::vector<std::thread> threads;
    {
        const Batch::Place first(batch, 0);
        for (const int priority : {3, 1, 2}) {
            threads.emplace_back([&batch, &order, priority] {
                const Batch::Place place(batch, priority);
                order.push_back(priority);
            });
        }
        while (batch.waiting() < 3)
            std::this_thread::yield();
        CHECK(batch.running() == 1);
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(order == std::vector{1, 2, 3});
}

} // namespace
} // namespace foxtailturn
