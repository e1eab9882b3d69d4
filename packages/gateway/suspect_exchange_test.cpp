#include "gateway/suspect_exchange.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <doctest/doctest.h>

#include "retry/suspect_relay.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::seconds;

// Entries and the sidecars of some engines, which exchange lines without delay unless they are held
// back.
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
        if (!isEarlierVersion_) {
            deliver(index, engine, encode(SuspectOffer{relays_.at(engine).digests()}));
            return;
        }
        deliver(index, engine, encode(SidecarReport{}));
        if (const auto records = relays_.at(engine).records(); !records.empty())
            deliver(index, engine, encode(SuspectNotice{records}));
    }

    // From now on sidecars behave as those of the version before: they send all records to an entry
    // that connects and know no offers.
    void setEarlierVersion() { isEarlierVersion_ = true; }

    // Gives a record to all sidecars.
    void addToSidecars(const SuspectRecord &record)
    {
        for (auto &[engine, relay] : relays_)
            (void)relay.merge({record});
    }

    // Holds lines of sidecars back until they are released.
    void holdLines() { isHeld_ = true; }
    // Delivers the offers and goes on to hold all other lines back.
    void releaseOffers()
    {
        for (const auto &[index, engine, lines] : std::exchange(held_, {})) {
            std::string buffer = lines;
            for (const std::string &line : extractLines(buffer))
                entries_[index]->exchange_.receive(engine, decodeAgentMessage(line));
        }
    }
    void releaseLines()
    {
        isHeld_ = false;
        for (const auto &[index, engine, lines] : std::exchange(held_, {})) {
            if (entries_[index]->connected_.contains(engine))
                deliver(index, engine, lines);
        }
    }

    void disconnect(int index, const std::string &engine)
    {
        entries_[index]->connected_.erase(engine);
        entries_[index]->hasRequested_.erase(engine);
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
    [[nodiscard]] const std::vector<std::string> &asked() const { return asked_; }
    // Returns the number of records that sidecars have sent to the entry, and entries to sidecars.
    [[nodiscard]] std::size_t received(int index) const { return entries_[index]->received_; }
    [[nodiscard]] std::size_t sent() const { return sent_; }
    // Returns whether the entry has shown the sidecar that it answers offers.
    [[nodiscard]] bool hasRequested(int index, const std::string &engine) const
    {
        return entries_[index]->hasRequested_.contains(engine);
    }
    // Returns the number of records that entries have requested.
    [[nodiscard]] std::size_t requested() const { return requested_; }
    [[nodiscard]] UtcTime later() const { return wallClock_.now() + seconds(60); }
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
        std::set<std::string> hasRequested_; // engines, since it connected to them
        int stores_ = 0;
        bool isStored_ = false;
        std::size_t received_ = 0; // records
    };

    static void addOnce(std::vector<std::string> &engines, const std::string &engine)
    {
        if (std::find(engines.begin(), engines.end(), engine) == engines.end())
            engines.push_back(engine);
    }

    void send(int index, const std::string &engine, const std::string &lines)
    {
        std::string buffer = lines;
        for (const std::string &line : extractLines(buffer)) {
            const auto message = decodeAgentMessage(line);
            if (message.suspectRequest_) {
                if (isEarlierVersion_) {
                    REQUIRE(message.suspectRequest_->digests_.empty());
                    continue; // a line that is not known to it
                }
                entries_[index]->hasRequested_.insert(engine);
                requested_ += message.suspectRequest_->digests_.size();
                if (!message.suspectRequest_->digests_.empty())
                    addOnce(asked_, engine);
                const auto records =
                    relays_.at(engine).recordsOf(message.suspectRequest_->digests_);
                deliver(index, engine, encode(SuspectNotice{records}));
                continue;
            }
            REQUIRE(message.suspects_);
            addOnce(used_, engine);
            sent_ += message.suspects_->records_.size();
            const auto changed = relays_.at(engine).merge(message.suspects_->records_);
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (static_cast<int>(i) != index && entries_[i]->connected_.contains(engine)
                    && !changed.empty())
                    deliver(static_cast<int>(i), engine, encode(SuspectNotice{changed}));
            }
        }
    }

    void deliver(int index, const std::string &engine, const std::string &lines)
    {
        if (isHeld_) {
            held_.push_back({index, engine, lines});
            return;
        }
        std::string buffer = lines;
        for (const std::string &line : extractLines(buffer)) {
            const AgentMessage message = decodeAgentMessage(line);
            if (message.suspects_)
                entries_[index]->received_ += message.suspects_->records_.size();
            if (message.report_)
                entries_[index]->exchange_.onReport(engine);
            entries_[index]->exchange_.receive(engine, message);
        }
    }

    struct HeldLines
    {
        int index_ = 0;
        std::string engine_;
        std::string lines_;
    };

    ManualClock clock_;
    ManualWallClock wallClock_;
    std::map<std::string, SuspectRelay> relays_; // by engine
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::string> used_;
    std::vector<std::string> asked_; // engines whose sidecars were asked for records, in order
    std::vector<HeldLines> held_;
    std::size_t sent_ = 0; // records
    std::size_t requested_ = 0; // records
    bool isHeld_ = false;
    bool isEarlierVersion_ = false;
};

std::vector<SuspectRecord> addRecords(Fleet &fleet, int count)
{
    std::vector<SuspectRecord> records;
    for (int i = 0; i < count; ++i) {
        records.push_back({"f" + std::to_string(i),
                           {{"engine-1@1", {fleet.later()}}, {"engine-2@1", {fleet.later()}}}});
        fleet.addToSidecars(records.back());
    }
    return records;
}

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

// Guards against an entry that spends its time on the same records from each sidecar: after a crash
// of many targets it got all of them on each of its links.
TEST_CASE("an entry that connects gets each record once or twice, not from each sidecar")
{
    constexpr int kRecords = 100;
    constexpr int kEngines = 120;
    for (const bool isHeld : {false, true}) {
        CAPTURE(isHeld);
        Fleet fleet(0, kEngines);
        addRecords(fleet, kRecords);
        if (isHeld)
            fleet.holdLines(); // all offers arrive before the first answer
        const int index = fleet.addEntry();
        fleet.releaseOffers();
        fleet.releaseLines();
        for (int i = 0; i < kRecords; ++i)
            CHECK(fleet.isRefused(index, "f" + std::to_string(i)));
        CHECK(fleet.received(index) <= kRecords * SuspectExchange::kMaxAsked);
        CHECK(fleet.sent() == 0);
        const std::size_t received = fleet.received(index);
        for (int i = 0; i < kEngines; ++i) {
            const std::string engine = "10.0.0." + std::to_string(i) + ":8000";
            fleet.disconnect(index, engine);
            fleet.connect(index, engine);
        }
        CHECK(fleet.received(index) == received);
        CHECK(fleet.sent() == 0);
    }
}

// Guards against records that an entry never gets because the sidecars that it asked have gone.
TEST_CASE("records are requested from other sidecars when those that were asked are lost")
{
    constexpr int kEngines = 12;
    for (const int lost : {1, 2, 3, kEngines - 1}) {
        CAPTURE(lost);
        Fleet fleet(0, kEngines);
        addRecords(fleet, 3);
        fleet.holdLines();
        const int index = fleet.addEntry();
        // The offers arrive, the answers to the requests do not.
        fleet.releaseOffers();
        CHECK(fleet.asked().size() == SuspectExchange::kMaxAsked);
        for (int i = 0; i < lost; ++i)
            fleet.disconnect(index, fleet.asked().at(static_cast<std::size_t>(i)));
        fleet.releaseLines();
        for (int i = 0; i < 3; ++i)
            CHECK(fleet.isRefused(index, "f" + std::to_string(i)));
    }
}

// Guards against a mixed fleet that loses records while it is updated.
TEST_CASE("records are exchanged with sidecars of the version before")
{
    Fleet fleet(3, 5);
    fleet.setEarlierVersion();
    fleet.crash(0, "f", "engine-1@1");
    fleet.crash(1, "f", "engine-2@1");
    CHECK(fleet.isRefused(fleet.addEntry(), "f"));
    const std::vector<std::string> used = fleet.used();
    for (const std::string &engine : used)
        fleet.restartSidecar(engine);
    CHECK(fleet.isRefused(fleet.addEntry(), "f"));
}

// Guards against records that come from all sidecars after all when some links are lost at once.
TEST_CASE("lost links cost an entry no copy of the records from each other sidecar")
{
    constexpr int kRecords = 100;
    for (const int engines : {12, 120}) {
        CAPTURE(engines);
        Fleet fleet(0, engines);
        addRecords(fleet, kRecords);
        fleet.holdLines();
        const int index = fleet.addEntry();
        fleet.releaseOffers();
        for (std::size_t i = 0; i < 8; ++i)
            fleet.disconnect(index, fleet.asked().at(i));
        fleet.releaseLines();
        CHECK(fleet.isRefused(index, "f0"));
        CHECK(fleet.received(index) <= kRecords * SuspectExchange::kMaxAsked);
    }
}

// Guards against a slow entry that is taken for one of the version before and gets all records from
// each sidecar: it read the offers over 300 ms late.
TEST_CASE("an entry shows each sidecar that it answers offers before it reads them")
{
    Fleet fleet(0, 3);
    addRecords(fleet, 3);
    fleet.holdLines();
    const int index = fleet.addEntry();
    for (int i = 0; i < 3; ++i)
        CHECK(fleet.hasRequested(index, "10.0.0." + std::to_string(i) + ":8000"));
}

// Guards against memory that grows with what sidecars say that they hold.
TEST_CASE("the missing records that an entry keeps track of are bounded")
{
    Fleet fleet(0, 3);
    fleet.holdLines();
    const int index = fleet.addEntry();
    AgentMessage message;
    SuspectOffer &offer = message.suspectOffer_.emplace();
    for (std::uint64_t digest = 1; digest <= 2 * SuspectExchange::kMaxMissing; ++digest)
        offer.digests_.push_back(digest);
    fleet.exchange(index).receive("10.0.0.0:8000", message);
    CHECK(fleet.requested() == SuspectExchange::kMaxMissing);
    // What no sidecar has sent makes room.
    fleet.exchange(index).removeExpired();
    fleet.exchange(index).removeExpired();
    fleet.exchange(index).receive("10.0.0.1:8000", message);
    CHECK(fleet.requested() == 2 * SuspectExchange::kMaxMissing);
}

} // namespace foxtailturn::gateway
