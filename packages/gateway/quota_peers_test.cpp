#include "gateway/quota_peers.h"

#include <array>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against callers that wait for a keeper which is gone: a row that was read late shows its
// last write and made it count as answering.
TEST_CASE("a keeper without a connection is not asked")
{
    asio::io_context context;
    ManualClock clock;
    SystemWallClock wallClock;
    EventLog log("e0", wallClock, [](std::string_view text) { return text.size(); });
    QuotaShares shares("e0@127.0.0.1", clock);
    ServingConfig config;
    config.workspaces_ = {Workspace{"w", std::nullopt, TokenQuota{1'000, 1'000, true, 1}}};
    shares.configure(config);
    QuotaPeers peers(context, clock, log, shares, 1); // nothing listens there
    const auto read = [&](int beat) {
        StoreRows rows;
        const std::string value = R"({"holders":{"e0@127.0.0.1":[9,1],"e1@127.0.0.2":[9,1]},)"
                                  R"("pool":{"keeper":"e1@127.0.0.2","beat":)"
            + std::to_string(beat) + "}}";
        rows.rows_ = {{kFleetTable, kFleetPart, "quota/w", value, beat, false}};
        do {
            if (shares.plan(rows))
                shares.settle(WriteOutcome::Applied);
        } while (shares.needsRead());
        peers.sync();
    };
    read(1);
    CHECK(shares.keeperOf("w") == "e1@127.0.0.2");
    CHECK(shares.keeperToAsk("w").empty());
    read(2);
    CHECK(shares.keeperToAsk("w").empty());
}

namespace {

// A keeper whose VM is frozen: its system accepts connections, and answers come once it wakes.
class FrozenKeeper
{
public:
    explicit FrozenKeeper(asio::io_context &context)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    [[nodiscard]] int port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] int accepted() const { return static_cast<int>(sockets_.size()); }

    // Answers everything that was asked on the last connection, and from now on.
    void wake()
    {
        isAwake_ = true;
        for (const auto &socket : sockets_)
            answer(socket);
    }

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        acceptor_.async_accept([this](const asio::error_code &why, asio::ip::tcp::socket socket) {
            if (why)
                return;
            sockets_.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            if (isAwake_)
                answer(sockets_.back());
            accept();
        });
    }

    void answer(const Socket &socket)
    {
        const auto buffer = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(
            asio::buffer(*buffer),
            [this, socket, buffer](const asio::error_code &why, std::size_t size) {
                if (why)
                    return;
                std::string lines(buffer->data(), size);
                for (const std::string &line : takeLines(lines)) {
                    const AgentMessage message = decodeAgentMessage(line);
                    if (message.grantRequest_)
                        asio::write(*socket,
                                    asio::buffer(encode(GrantAnswer{
                                        message.grantRequest_->number_, true, true, {}})));
                }
                answer(socket);
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<Socket> sockets_;
    bool isAwake_ = false;
};

} // namespace

// Guards against callers that each wait for a keeper which can be connected to, but does not
// answer.
TEST_CASE("a keeper that accepts connections without answering is not asked again")
{
    using std::chrono::milliseconds;
    const std::string name = "e1@127.0.0.1";
    asio::io_context context;
    SystemClock clock;
    SystemWallClock wallClock;
    EventLog log("e0", wallClock, [](std::string_view text) { return text.size(); });
    QuotaShares shares("e0@127.0.0.2", clock);
    ServingConfig config;
    config.workspaces_ = {Workspace{"w", std::nullopt, TokenQuota{1'000, 1'000, true, 1}}};
    shares.configure(config);
    FrozenKeeper keeper(context);
    QuotaPeers peers(context, clock, log, shares, keeper.port());
    StoreRows rows;
    rows.rows_ = {
        {kFleetTable, kFleetPart, "quota/w",
         R"({"holders":{"e0@127.0.0.2":[9,1]},"pool":{"keeper":")" + name + R"(","beat":1}})", 1,
         false}};
    do {
        if (shares.plan(rows))
            shares.settle(WriteOutcome::Applied);
    } while (shares.needsRead());
    peers.sync();
    context.run_for(milliseconds(50));
    REQUIRE(shares.keeperToAsk("w") == name);
    int refused = 0;
    peers.ask("w", 10, [&refused](const Result<void> &granted) { refused += granted ? 0 : 1; });
    context.run_for(GrantDesk::kGrantTime + milliseconds(500));
    CHECK(refused == 1);
    REQUIRE(keeper.accepted() > 1); // the connection was made anew
    CHECK(shares.keeperToAsk("w").empty());
    peers.sync();
    context.run_for(milliseconds(300));
    CHECK(shares.keeperToAsk("w").empty());
    keeper.wake();
    context.run_for(milliseconds(300));
    CHECK(shares.keeperToAsk("w") == name);
}

} // namespace foxtailturn::gateway
