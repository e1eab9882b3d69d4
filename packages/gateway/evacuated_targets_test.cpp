// What a gateway still sends to the targets of a data centre that is evacuated.

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "gateway/codec_testing.h"
#include "gateway/gateway.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kBody = "body of a request";

struct Caller final : AnswerSink
{
    void sendAnswer(std::string) override { ++answers_; }
    void endAnswer() override { }
    void abortAnswer(AnswerBreak) override { ++breaks_; }
    void endWithConnection() override { }
    bool closesAfterAnswer() const override { return false; }
    std::size_t unsentBytes() const override { return 0; }
    bool hasCallerLeft() override { return false; }

    int answers_ = 0;
    int breaks_ = 0;
};

// A target that accepts a connection and keeps what it is sent.
class Listener
{
public:
    explicit Listener(asio::io_context &context)
        : acceptor_(context, {asio::ip::address_v4::loopback(), 0})
        , socket_(context)
    {
        acceptor_.async_accept(socket_, [this](const asio::error_code &error) {
            isAccepted_ = !error;
            if (!error)
                read();
        });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    bool isAccepted_ = false;
    std::string received_;

private:
    void read()
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [this](const asio::error_code &error, std::size_t size) {
                                    received_.append(buffer_.data(), size);
                                    if (!error)
                                        read();
                                });
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    std::array<char, 1024> buffer_{};
};

ServingConfig configOf()
{
    ServingConfig config;
    config.revision_ = 1;
    Route route;
    route.timeout_ = seconds(20);
    route.objective_ = seconds(1);
    config.routes_ = {route};
    config.services_["plain"].name_ = "plain";
    config.services_["models"].name_ = "models";
    config.services_["models"].engine_ = EngineProfile{.models_ = {"m"}};
    return config;
}

// An entry before targets in the data centres a and b.
struct Entry
{
    Entry() { gateway_.configure(configOf()); }

    void add(const std::string &instance, const std::string &service, const std::string &address)
    {
        TargetRecord record;
        record.instance_ = instance;
        record.service_ = service;
        record.address_ = address;
        record.dataCentre_ = instance.substr(0, 1);
        gateway_.targets().list(record, clock_.now());
    }

    void addEngine(const std::string &instance, const std::string &address,
                   const std::vector<HostedModel> &models)
    {
        add(instance, "models", address);
        gateway_.onAgentState(address, "models", true);
        SidecarReport report;
        report.engine_.models_ = models;
        gateway_.onReport(address, report);
    }

    void apply(const std::string &dataCentre, bool isRemoved, placement::RowAge age)
    {
        gateway_.onEvacuations(gateway_.evacuations().applyChanges(
            {{dataCentre, {1, ++row_}, isRemoved}}, age, clock_.now()));
    }
    void evacuate(const std::string &dataCentre)
    {
        apply(dataCentre, false, placement::RowAge::Unknown);
    }
    void takeBack(const std::string &dataCentre)
    {
        apply(dataCentre, true, placement::RowAge::Fresh);
    }

    [[nodiscard]] std::string chosenFor(const std::string &service, const std::string &adapter)
    {
        PlacementRequest request;
        request.isEngine_ = service == "models";
        request.model_ = "m";
        request.adapter_ = adapter;
        const PlacementChoice choice = gateway_.choose(service, request);
        return choice.target_ == nullptr ? "" : choice.target_->record_.instance_;
    }

    std::shared_ptr<Relay> startRequest(const std::string &service, const std::string &adapter)
    {
        AdmittedRequest request;
        request.caller_.id_ = "r";
        request.caller_.model_ = adapter.empty() ? "" : "m";
        request.caller_.adapter_ = adapter;
        request.config_ = gateway_.config();
        request.route_ = request.config_->routes_.data();
        request.service_ = service;
        request.body_ = kBody;
        request.receivedAt_ = clock_.now();
        request.deadline_ = clock_.now() + seconds(20);
        auto relay = std::make_shared<Relay>(gateway_, std::move(request), caller_);
        relay->start();
        return relay;
    }

    asio::io_context context_;
    PlainCodec codec_;
    ManualClock clock_;
    SystemWallClock wallClock_;
    EventLog log_{"test", wallClock_, [](std::string_view bytes) { return bytes.size(); }};
    MetricRegistry metrics_;
    Gateway gateway_{{context_, codec_, clock_, wallClock_, log_, metrics_},
                     {.name_ = "entry",
                      .dataCentre_ = "",
                      .retryPercent_ = 0,
                      .retryFloor_ = 0,
                      .evacuationNotice_ = milliseconds(5000)}};
    Caller caller_;
    std::int64_t row_ = 0;
};

} // namespace

// Guards against a request whose connection was still being opened when the evacuation came, and
// against one that fails for want of a retry although it was sent nowhere.
TEST_CASE("a request that waits for its connection goes on elsewhere")
{
    for (const bool hasOther : {true, false}) {
        CAPTURE(hasOther);
        Entry entry;
        Listener first(entry.context_);
        Listener second(entry.context_);
        entry.add("a-1", "plain", first.address());
        const std::shared_ptr<Relay> relay = entry.startRequest("plain", "");
        if (hasOther)
            entry.add("b-1", "plain", second.address());
        entry.evacuate("a");
        entry.context_.run_for(milliseconds(100));
        CHECK(first.isAccepted_);
        CHECK(first.received_.empty());
        CHECK(second.received_ == (hasOther ? kBody : ""));
        CHECK(entry.caller_.answers_ == (hasOther ? 0 : 1)); // refused
        CHECK(entry.caller_.breaks_ == 0);
        relay->cancel();
    }
}

// Guards against a request that stays with a load in a data centre that gets nothing new.
TEST_CASE("a request that waits for a load waits elsewhere")
{
    Entry entry;
    entry.addEngine("a-1", "127.0.0.1:1", {{"m", {}}});
    const std::shared_ptr<Relay> relay = entry.startRequest("models", "x");
    REQUIRE(relay->isWaiting());
    entry.addEngine("b-1", "127.0.0.1:2", {{"m", {}}});
    CHECK(entry.gateway_.isLoadUnderWay("a-1", "m/x"));
    entry.apply("a", false, placement::RowAge::Fresh);
    CHECK_FALSE(entry.gateway_.isLoadUnderWay("a-1", "m/x"));
    CHECK(relay->isWaiting());
    CHECK(entry.gateway_.isLoadUnderWay("b-1", "m/x"));
    relay->cancel();
}

// Guards against requests that fail while a data centre could take them, or go to one that is
// closed because no other can.
TEST_CASE("the choice follows the steps")
{
    Entry entry;
    entry.addEngine("a-1", "127.0.0.1:1", {{"m", {{"x", 1}}}});
    entry.addEngine("b-1", "127.0.0.1:2", {{"m", {}}});
    CHECK(entry.chosenFor("models", "x") == "a-1");
    CHECK(entry.chosenFor("models", "y") != "");
    entry.apply("a", false, placement::RowAge::Fresh);
    CHECK(entry.chosenFor("models", "x") == "a-1"); // not yet
    for (int i = 0; i < 10; ++i)
        CHECK(entry.chosenFor("models", "y" + std::to_string(i)) == "b-1"); // no load in a
    entry.clock_.advance(milliseconds(2000));
    CHECK(entry.chosenFor("models", "x") == "b-1");
    entry.evacuate("b");
    CHECK(entry.chosenFor("models", "x") == "");
    entry.takeBack("a");
    CHECK(entry.chosenFor("models", "x") == "a-1"); // the only one
    entry.takeBack("b");
    entry.clock_.advance(seconds(5));
    CHECK(entry.chosenFor("models", "x") == "a-1");
}

// Guards against orders to targets that get nothing, and against adapters that stay outdated after
// the data centre was taken back, or elsewhere because of it.
TEST_CASE("no load is requested in an evacuated data centre")
{
    Entry entry;
    std::vector<std::string> requests;
    entry.gateway_.setLoadRequestHandler([&requests](const Target &target, const std::string &,
                                                     const std::string &adapter, std::int64_t) {
        requests.push_back(target.record_.instance_ + " " + adapter);
    });
    const auto taken = [&] {
        entry.gateway_.requestLoads();
        return std::exchange(requests, {});
    };
    using Requests = std::vector<std::string>;
    entry.addEngine("a-1", "127.0.0.1:1", {{"m", {{"x", 1}}}});
    entry.addEngine("a-2", "127.0.0.1:2", {});
    entry.addEngine("b-1", "127.0.0.1:3", {{"m", {{"x", 1}}}});
    entry.evacuate("a");
    entry.gateway_.declareVersion({"m", "x", 2});
    CHECK(taken() == Requests{"b-1 x"});
    entry.takeBack("a");
    CHECK(taken() == Requests{"a-2 ", "a-1 x"});
    // A target that comes while its data centre is evacuated.
    entry.evacuate("b");
    entry.addEngine("b-2", "127.0.0.1:4", {});
    CHECK(taken().empty());
}

} // namespace foxtailturn::gateway
