#include "gateway/suspect_exchange.h"

#include <algorithm>
#include <memory>

#include <doctest/doctest.h>

#include "retry/suspect_relay.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::seconds;

// Entries and the sidecars of some engines, which exchange lines without delay.
class Fleet
{
public:
    Fleet(int entries, int engines)
    {
        for (int i = 0; i < engines; ++i)
            relays_.emplace("10.0.0." + std::to_string(i) + ":8000", SuspectRelay(wallClock_));
        for (int i = 0; i < entries; ++i)
            addEntry();
    }

    // Adds an entry and connects it to all sidecars.
    int addEntry()
    {
        const int index = static_cast<int>(entries_.size());
        entries_.push_back(std::make_unique<Entry>(*this, index));
        for (const auto &[engine, relay] : relays_)
            connect(index, engine);
        return index;
    }

    void connect(int index, const std::string &engine)
    {
        Entry &entry = *entries_[index];
        entry.connected_.insert(engine);
        entry.exchange_.setConnected(engine, true);
        if (const auto records = relays_.at(engine).records(); !records.empty())
            deliver(index, encode(SuspectNotice{records}));
    }

    void disconnect(int index, const std::string &engine)
    {
        entries_[index]->connected_.erase(engine);
        entries_[index]->exchange_.setConnected(engine, false);
    }

    // The sidecar is killed and starts again, without records.
    void restartSidecar(const std::string &engine)
    {
        relays_.erase(engine);
        relays_.emplace(engine, SuspectRelay(wallClock_));
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            disconnect(static_cast<int>(i), engine);
            connect(static_cast<int>(i), engine);
        }
    }

    void crash(int index, const std::string &fingerprint, const std::string &crashId)
    {
        Entry &entry = *entries_[index];
        entry.exchange_.publish({entry.quarantine_.crashed(fingerprint, crashId)});
    }

    [[nodiscard]] bool isRefused(int index, const std::string &fingerprint)
    {
        return !entries_[index]->quarantine_.admit(fingerprint);
    }

    // Returns the engines whose sidecars got lines, in order of their first line.
    [[nodiscard]] const std::vector<std::string> &used() const { return used_; }
    [[nodiscard]] int stores(int index) const { return entries_[index]->stores_; }
    void setStored(int index, bool isStored) { entries_[index]->isStored_ = isStored; }
    SuspectExchange &exchange(int index) { return entries_[index]->exchange_; }
    Quarantine &quarantine(int index) { return entries_[index]->quarantine_; }

private:
    struct Entry
    {
        Entry(Fleet &fleet, int index)
            : log_("e" + std::to_string(index), fleet.wallClock_,
                   [](std::string_view bytes) { return bytes.size(); })
            , quarantine_("e" + std::to_string(index), {fleet.clock_, fleet.wallClock_},
                          seconds(60))
            , exchange_(quarantine_, log_,
                        {.send_ =
                             [&fleet, index](const std::string &engine, const std::string &lines) {
                                 fleet.send(index, engine, lines);
                             },
                         .store_ = [this](const SuspectRecord &) { ++stores_; },
                         .isStored_ = [this](const std::string &) { return isStored_; }})
        { }

        EventLog log_;
        Quarantine quarantine_;
        SuspectExchange exchange_;
        std::set<std::string> connected_;
        int stores_ = 0;
        bool isStored_ = false;
    };

    void send(int index, const std::string &engine, const std::string &lines)
    {
        if (std::find(used_.begin(), used_.end(), engine) == used_.end())
            used_.push_back(engine);
        std::string buffer = lines;
        for (const std::string &line : extractLines(buffer)) {
            const auto message = decodeAgentMessage(line);
            REQUIRE(message.suspects_);
            const auto changed = relays_.at(engine).merge(message.suspects_->records_);
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (static_cast<int>(i) != index && entries_[i]->connected_.contains(engine)
                    && !changed.empty())
                    deliver(static_cast<int>(i), encode(SuspectNotice{changed}));
            }
        }
    }

    void deliver(int index, const std::string &lines)
    {
        std::string buffer = lines;
        for (const std::string &line : extractLines(buffer))
            entries_[index]->exchange_.receive(*decodeAgentMessage(line).suspects_);
    }

    ManualClock clock_;
    ManualWallClock wallClock_;
    std::map<std::string, SuspectRelay> relays_; // by engine
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::string> used_;
};

} // namespace

// Guards against a crashing request that goes on to crash targets through entries that learn late
// of what others have seen.
TEST_CASE("all entries know at once what any of them has seen")
{
    Fleet fleet(21, 40);
    fleet.crash(3, "f", "engine-1@1");
    fleet.crash(17, "f", "engine-2@1");
    for (int i = 0; i < 21; ++i)
        CHECK(fleet.isRefused(i, "f"));
    CHECK(fleet.used().size() == SuspectExchange::kRelays);
    // The entries that recorded the crashes store it.
    for (int i = 0; i < 21; ++i)
        CHECK(fleet.stores(i) == (i == 3 || i == 17 ? 1 : 0));
    CHECK(fleet.isRefused(fleet.addEntry(), "f"));
}

// Guards against a record that is lost with the sidecars that passed it on.
TEST_CASE("records survive the sidecars that passed them on")
{
    Fleet fleet(3, 5);
    fleet.crash(0, "f", "engine-1@1");
    fleet.crash(0, "f", "engine-2@1");
    const std::vector<std::string> used = fleet.used();
    for (const std::string &engine : used)
        fleet.restartSidecar(engine);
    CHECK(fleet.isRefused(fleet.addEntry(), "f"));
}

// Guards against an entry that learns nothing because its link to one of the relays is down.
TEST_CASE("an entry without some of the relays still sends and receives")
{
    Fleet fleet(3, 5);
    fleet.crash(0, "warm", "engine-1@1");
    const std::vector<std::string> used = fleet.used();
    fleet.disconnect(1, used[0]);
    fleet.disconnect(1, used[1]);
    fleet.crash(0, "f", "engine-2@1");
    fleet.crash(1, "f", "engine-3@1");
    for (int i = 0; i < 3; ++i)
        CHECK(fleet.isRefused(i, "f"));
}

// Guards against records that only one process holds: without sidecars, and when two entries record
// crashes before they know of each other's.
TEST_CASE("what quarantines a request is stored, and what nobody could pass on")
{
    Fleet alone(1, 0);
    alone.crash(0, "f", "engine-1@1");
    CHECK(alone.stores(0) == 1);

    Fleet fleet(2, 3);
    fleet.crash(0, "f", "engine-1@1");
    CHECK(fleet.stores(0) == 0);
    SuspectRecord other = fleet.quarantine(1).crashed("g", "engine-1@1");
    fleet.crash(0, "g", "engine-2@1");
    CHECK(fleet.stores(0) == 0);
    fleet.exchange(1).publish({other}); // it was recorded before that of entry 0 came
    CHECK(fleet.stores(0) == 1);
    fleet.setStored(0, true);
    fleet.exchange(0).publish({*fleet.quarantine(0).completed("g")}); // clears it
    CHECK(fleet.stores(0) == 2);
    CHECK_FALSE(fleet.isRefused(1, "g"));
}

} // namespace foxtailturn::gateway
