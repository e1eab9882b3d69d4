#include "gateway/quota_peers.h"

#include <algorithm>
#include <array>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

// An entry with one workspace, whose quota other entries own.
struct Entry
{
    Entry(const Clock &clock, const std::string &name, int port)
        : name_(name)
        , quotas_({name, 200}, clock)
        , peers_(context_, clock, log_, quotas_, port)
    {
        quotas_.configure({{"w", quota::TokenQuota{1'000, 1'000, true, 1}}});
    }

    // Reads rows that name the owners of the parts, the last of them for all further parts.
    void readRows(const std::vector<std::string> &owners, int version)
    {
        StoreRows rows;
        rows.position_.version_ = version;
        for (int i = 0; i < quota::QuotaParts::kParts; ++i) {
            const std::size_t last = owners.size() - 1;
            const quota::PartRow row{owners[std::min(static_cast<std::size_t>(i), last)], version};
            rows.rows_.push_back({quota::kFleetTable, quota::kFleetPartition,
                                  quota::PartRow::keyOf("w", i), row.encode(), version});
        }
        quotas_.update(rows);
        peers_.updateConnections();
    }

    [[nodiscard]] bool reaches(const std::string &owner) const
    {
        const std::vector<std::string> owners = quotas_.otherOwners("w");
        return std::find(owners.begin(), owners.end(), owner) != owners.end();
    }

    std::string name_;
    asio::io_context context_;
    SystemWallClock wallClock_;
    EventLog log_{"e0", wallClock_, [](std::string_view text) { return text.size(); }};
    quota::QuotaParts quotas_;
    QuotaPeers peers_;
};

// An owner on a suspended VM: connections are accepted, but nothing is answered before
// resume().
class SuspendedOwner
{
public:
    SuspendedOwner(asio::io_context &context, const std::string &ip, int port)
        : acceptor_(context, {asio::ip::make_address(ip), static_cast<asio::ip::port_type>(port)})
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

// Guards against callers that wait for an owner that has gone. A row that is read late shows its
// last write, which must not mark it as answering.
TEST_CASE("no grant is requested from an owner without a connection")
{
    ManualClock clock;
    Entry entry(clock, "e0@127.0.0.1", 1); // no listener on this port
    entry.readRows({"e1@127.0.0.2"}, 1);
    CHECK(entry.quotas_.ownersOf("w")[0] == "e1@127.0.0.2");
    CHECK(entry.quotas_.otherOwners("w").empty());
    entry.readRows({"e1@127.0.0.2"}, 2);
    CHECK(entry.quotas_.otherOwners("w").empty());
}

// Guards against callers that each wait for an owner that accepts connections but does not answer.
TEST_CASE("no second grant is requested from an owner that connects but does not answer")
{
    using std::chrono::milliseconds;
    const std::string name = "e1@127.0.0.1";
    SystemClock clock;
    asio::io_context ownerContext;
    SuspendedOwner owner(ownerContext, "127.0.0.1", 0);
    Entry entry(clock, "e0@127.0.0.2", owner.port());
    const auto runFor = [&](Duration time) {
        const TimePoint end = clock.now() + time;
        while (clock.now() < end) {
            entry.context_.run_for(milliseconds(5));
            ownerContext.run_for(milliseconds(5));
        }
    };
    entry.readRows({name}, 1);
    runFor(milliseconds(500));
    REQUIRE(entry.reaches(name));
    int refused = 0;
    entry.peers_.requestGrant(
        "w", 10, [&refused](const Result<void> &granted) { refused += granted ? 0 : 1; });
    runFor(GrantRequester::kGrantTimeout + milliseconds(500));
    CHECK(refused == 1);
    REQUIRE(owner.accepted() > 1); // the connection was replaced
    CHECK(entry.quotas_.otherOwners("w").empty());
    entry.peers_.updateConnections();
    runFor(milliseconds(300));
    CHECK(entry.quotas_.otherOwners("w").empty());
    owner.resume();
    runFor(milliseconds(1000));
    CHECK(entry.reaches(name));
}

// Guards against a caller that is refused because the first owner does not answer although another
// one would grant the charge.
TEST_CASE("a second owner is asked when the first one does not answer")
{
    using std::chrono::milliseconds;
    SystemClock clock;
    asio::io_context silentContext;
    asio::io_context ownerContext;
    SuspendedOwner silent(silentContext, "127.0.0.1", 0);
    SuspendedOwner owner(ownerContext, "127.0.0.3", silent.port());
    owner.resume();
    Entry entry(clock, "e0@127.0.0.2", silent.port());
    const auto runFor = [&](Duration time) {
        const TimePoint end = clock.now() + time;
        while (clock.now() < end) {
            entry.context_.run_for(milliseconds(5));
            silentContext.run_for(milliseconds(5));
            ownerContext.run_for(milliseconds(5));
        }
    };
    entry.readRows({"e1@127.0.0.1", "e3@127.0.0.3"}, 1);
    runFor(milliseconds(500));
    REQUIRE(entry.quotas_.otherOwners("w").size() == 2);
    int granted = 0;
    for (int i = 0; i < 2; ++i) { // one of them begins with the silent owner
        entry.peers_.requestGrant(
            "w", 10, [&granted](const Result<void> &result) { granted += result ? 1 : 0; });
    }
    runFor(GrantRequester::kGrantTimeout + milliseconds(500));
    CHECK(granted == 2);
}

// Guards against an entry that is behind: it refused callers, took healthy owners for unresponsive
// and read the store more often.
TEST_CASE("an entry that is behind uses a grant that came in time and blames no owner")
{
    using std::chrono::milliseconds;
    const std::string name = "e1@127.0.0.1";
    SystemClock clock;
    MetricRegistry metrics;
    LoopMeter meter(clock, metrics);
    asio::io_context ownerContext;
    SuspendedOwner owner(ownerContext, "127.0.0.1", 0);
    owner.resume();
    Entry entry(clock, "e0@127.0.0.2", owner.port());
    entry.peers_.setMeter(meter);
    int ownersLost = 0;
    entry.peers_.onOwnerLost([&ownersLost] { ++ownersLost; });
    const auto runEntryFor = [&](Duration time) {
        const TimePoint end = clock.now() + time;
        while (clock.now() < end) {
            (void)meter.beginTurn();
            if (entry.context_.poll_one() == 0)
                meter.nothingReady();
            entry.context_.restart();
            ownerContext.poll();
            ownerContext.restart();
        }
    };
    entry.readRows({name}, 1);
    runEntryFor(milliseconds(500));
    REQUIRE(entry.reaches(name));
    int granted = 0;
    entry.peers_.requestGrant(
        "w", 10, [&granted](const Result<void> &result) { granted += result ? 1 : 0; });
    (void)meter.beginTurn();
    {
        const LoopMeter::Scope scope(&meter, WorkKind::Reports);
        ownerContext.run_for(GrantRequester::kGrantTimeout + milliseconds(100));
    }
    CHECK(granted == 0);
    runEntryFor(milliseconds(100));
    CHECK(granted == 1);
    CHECK(ownersLost == 0);
    CHECK(owner.accepted() == 1);
    CHECK(entry.reaches(name));
}

} // namespace foxtailturn::gateway
