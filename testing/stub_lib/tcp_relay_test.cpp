#include "stub_lib/tcp_relay.h"

#include <chrono>
#include <future>

#include <doctest/doctest.h>

#include "base/json.h"
#include "stub_lib/relay_control.h"

namespace foxtailturn {
namespace {

constexpr const char *kHost = "127.0.0.1";

// A server behind a relay. Clients made by client() connect through the relay.
struct Fixture
{
    Fixture()
        : relay_(kHost, 0, {kHost, startServer()})
    { }

    int startServer()
    {
        server_.Get("/", [](const auto &, auto &response) { answerJson(response, 200, "{}"); });
        return server_.start(kHost, 0, 16);
    }

    // Returns a client whose kept connection through the relay is open.
    std::unique_ptr<httplib::Client> client() const
    {
        auto client = std::make_unique<httplib::Client>(kHost, relay_.port());
        client->set_keep_alive(true);
        client->set_read_timeout(std::chrono::milliseconds(300));
        return client;
    }

    StubServer server_;
    TcpRelay relay_;
};

bool isAnswered(httplib::Client &client)
{
    const httplib::Result result = client.Get("/");
    return result && result->status == 200;
}

// Guards against a fault that hits other connections than the test means.
TEST_CASE("each mode applies to open and to new connections as stated")
{
    struct Case
    {
        RelayMode mode_;
        bool openAnswered_;
        bool newAnswered_;
        bool openAfterPass_;
    };
    const Case cases[] = {
        {RelayMode::Pass, true, true, true},     {RelayMode::Delay, true, true, true},
        {RelayMode::Silent, false, false, true}, {RelayMode::SilenceOpen, false, true, false},
        {RelayMode::Cut, false, false, true},
    };
    for (const Case &c : cases) {
        CAPTURE(static_cast<int>(c.mode_));
        Fixture f;
        const auto open = f.client();
        const auto idle = f.client();
        REQUIRE(isAnswered(*open));
        REQUIRE(isAnswered(*idle));
        f.relay_.setMode({c.mode_, 20});
        CHECK(isAnswered(*open) == c.openAnswered_);
        CHECK(isAnswered(*f.client()) == c.newAnswered_);
        f.relay_.setMode({RelayMode::Pass});
        CHECK(isAnswered(*idle) == c.openAfterPass_);
        CHECK(isAnswered(*f.client()));
    }
}

// Guards against silence that a client sees as a closed connection, and against lost data.
TEST_CASE("a silent relay holds connection and data, and passes them on later")
{
    Fixture f;
    f.relay_.setMode({RelayMode::Silent});
    const auto client = f.client();
    client->set_read_timeout(std::chrono::seconds(5));
    auto answer = std::async(std::launch::async, [&] { return isAnswered(*client); });
    CHECK(answer.wait_for(std::chrono::milliseconds(300)) == std::future_status::timeout);
    f.relay_.setMode({RelayMode::Pass});
    CHECK(answer.get());
}

TEST_CASE("a delay holds each piece of data in both directions")
{
    Fixture f;
    f.relay_.setMode({RelayMode::Delay, 50});
    const auto start = std::chrono::steady_clock::now();
    CHECK(isAnswered(*f.client()));
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(100));
}

// Guards against links that pile up, and against data changed on the way.
TEST_CASE("large answers pass unchanged and closed connections are forgotten")
{
    Fixture f;
    const std::string content(3'000'000, 'x');
    f.server_.Get("/large", [&](const auto &, auto &response) {
        response.set_content(content, "text/plain");
    });
    for (int i = 0; i < 5; ++i) {
        httplib::Client client(kHost, f.relay_.port());
        CHECK(client.Get("/large")->body == content);
    }
    for (int i = 0; i < 200 && f.relay_.stats().open_ > 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(f.relay_.stats().open_ == 0);
    CHECK(f.relay_.stats().accepted_ == 5);
}

TEST_CASE("the control switches the mode and refuses unknown ones")
{
    Fixture f;
    RelayControl control(f.relay_);
    httplib::Client client(kHost, control.server().start(kHost, 0, 4));
    CHECK(client.Post("/mode", R"({"mode": "cut"})", "application/json")->status == 200);
    CHECK(!isAnswered(*f.client()));
    for (const char *body : {R"({"mode": "off"})", R"({})", "x", R"({"mode": "pass", "ms": 1})"}) {
        CAPTURE(body);
        CHECK(client.Post("/mode", body, "application/json")->status == 400);
    }
    CHECK(client.Post("/mode", R"({"mode": "pass"})", "application/json")->status == 200);
    CHECK(isAnswered(*f.client()));
    CHECK(Json::parse(client.Get("/stats")->body)["accepted"] == 2);
}

} // namespace
} // namespace foxtailturn
