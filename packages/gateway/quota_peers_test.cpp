#include "gateway/quota_peers.h"

#include <array>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

// An entry with one workspace, whose pool another entry owns.
struct Entry
{
    Entry(const Clock &clock, const std::string &name, int port)
        : name_(name)
        , shares_(name, clock)
        , peers_(context_, clock, log_, shares_, port)
    {
        ServingConfig config;
        config.workspaces_ = {Workspace{"w", std::nullopt, TokenQuota{1'000, 1'000, true, 1}}};
        shares_.configure(config);
    }

    // Syncs with a row that names the pool owner.
    void syncWithRow(const std::string &owner, int beat)
    {
        const QuotaRow row{{{name_, {9, 1}}, {owner, {9, 1}}}, {owner, beat, 0}};
        StoreRows rows;
        rows.rows_ = {{kFleetTable, kFleetPartition, "quota/w", row.encode(), beat, false}};
        do {
            if (shares_.plan(rows))
                shares_.finishWrite(WriteOutcome::Applied);
        } while (shares_.needsRead());
        peers_.updateConnections();
    }

    std::string name_;
    asio::io_context context_;
    SystemWallClock wallClock_;
    EventLog log_{"e0", wallClock_, [](std::string_view text) { return text.size(); }};
    QuotaShares shares_;
    QuotaPeers peers_;
};

// A pool owner on a suspended VM: connections are accepted, but nothing is answered before
// resume().
class SuspendedOwner
{
public:
    explicit SuspendedOwner(asio::io_context &context)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    [[nodiscard]] int port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] int accepted() const { return static_cast<int>(sockets_.size()); }

    // Answers the requests received so far and all later ones, on every connection.
    void resume()
    {
        isResumed_ = true;
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
            if (isResumed_)
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
                for (const std::string &line : extractLines(lines)) {
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
    bool isResumed_ = false;
};

} // namespace

// Guards against callers that wait for a pool owner that has gone. A row that is read late shows
// its last write, which must not mark it as answering.
TEST_CASE("no grant is requested from a pool owner without a connection")
{
    ManualClock clock;
    Entry entry(clock, "e0@127.0.0.1", 1); // no listener on this port
    entry.syncWithRow("e1@127.0.0.2", 1);
    CHECK(entry.shares_.ownerOf("w") == "e1@127.0.0.2");
    CHECK(entry.shares_.reachableOwner("w").empty());
    entry.syncWithRow("e1@127.0.0.2", 2);
    CHECK(entry.shares_.reachableOwner("w").empty());
}

// Guards against callers that each wait for a pool owner that accepts connections but does not
// answer.
TEST_CASE("no second grant is requested from a pool owner that connects but does not answer")
{
    using std::chrono::milliseconds;
    const std::string name = "e1@127.0.0.1";
    SystemClock clock;
    asio::io_context ownerContext;
    SuspendedOwner owner(ownerContext);
    Entry entry(clock, "e0@127.0.0.2", owner.port());
    const auto runFor = [&](Duration time) {
        const TimePoint end = clock.now() + time;
        while (clock.now() < end) {
            entry.context_.run_for(milliseconds(5));
            ownerContext.run_for(milliseconds(5));
        }
    };
    entry.syncWithRow(name, 1);
    runFor(milliseconds(500));
    REQUIRE(entry.shares_.reachableOwner("w") == name);
    int refused = 0;
    entry.peers_.requestGrant(
        "w", 10, [&refused](const Result<void> &granted) { refused += granted ? 0 : 1; });
    runFor(GrantRequester::kGrantTimeout + milliseconds(500));
    CHECK(refused == 1);
    REQUIRE(owner.accepted() > 1); // the connection was replaced
    CHECK(entry.shares_.reachableOwner("w").empty());
    entry.peers_.updateConnections();
    runFor(milliseconds(300));
    CHECK(entry.shares_.reachableOwner("w").empty());
    owner.resume();
    runFor(milliseconds(1000));
    CHECK(entry.shares_.reachableOwner("w") == name);
}

} // namespace foxtailturn::gateway
