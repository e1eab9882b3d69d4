// Plays engines that end, by a part of prompts or in groups, and checks which parts are
// quarantined.

#include <algorithm>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "retry/part_policy.h"
#include "retry/quarantine.h"

namespace foxtailturn {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFirst = "first"; // a part that all prompts share
const std::string kDeadly = "deadly";

Suspect partOf(const std::string &name)
{
    return {name, SuspectKind::PromptPart};
}

// What ends engines, and how many requests there are.
struct Load
{
    int engines_ = 40;
    int requestsPerSecond_ = 100;
    int parts_ = 69; // middle parts of sound prompts
    double deadlyShare_ = 0; // of the requests, while it lasts
    Duration wavePause_ = Duration::max(); // between two times that many engines end together
    double waveShare_ = 0.4; // of the engines that then end
};

// A fleet whose entries know at once what any of them has seen.
class Fleet
{
public:
    Fleet(const Load &load, unsigned seed)
        : load_(load)
        , random_(seed)
        , engines_(load.engines_)
    { }

    void run(Duration length)
    {
        const TimePoint end = clock_.now() + length;
        TimePoint nextWave = load_.wavePause_ == Duration::max() ? TimePoint::max()
                                                                 : clock_.now() + load_.wavePause_;
        while (clock_.now() < end) {
            if (clock_.now() >= nextWave) {
                nextWave += load_.wavePause_;
                endSome();
            }
            arrive();
            progress();
            clock_.advance(kStep);
            wallClock_.advance(kStep);
        }
    }

    int crashes_ = 0;
    int deadlySends_ = 0;
    int lateDeadlySends_ = 0; // later than kContact after the fifth crash
    int soundSends_ = 0;
    int soundRefused_ = 0;

private:
    static constexpr Duration kStep = milliseconds(10);
    static constexpr Duration kDownTime = seconds(3);
    static constexpr Duration kContact = seconds(3); // the users' bound
    static constexpr Duration kSecondEvent = milliseconds(40); // after the begin

    struct Request
    {
        std::string part_;
        int engine_ = 0;
        TimePoint beginsAt_{};
        int attempts_ = 0;
    };

    struct Engine
    {
        TimePoint upAt_{};
        int starts_ = 0;
    };

    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
    int number(int limit) { return std::uniform_int_distribution<>(0, limit - 1)(random_); }

    void arrive()
    {
        const double perStep = load_.requestsPerSecond_ * 0.01;
        int count = std::poisson_distribution<>(perStep)(random_);
        for (; count > 0; --count) {
            const bool isDeadly = chance(load_.deadlyShare_);
            send({isDeadly ? kDeadly : "part" + std::to_string(number(load_.parts_))});
        }
    }

    void send(Request request)
    {
        const bool isDeadly = request.part_ == kDeadly;
        if (!quarantine_.admit(kFirst) || !quarantine_.admit(request.part_)) {
            soundRefused_ += isDeadly ? 0 : 1;
            return;
        }
        std::vector<int> up;
        for (int i = 0; i < load_.engines_; ++i) {
            if (engines_[i].upAt_ <= clock_.now())
                up.push_back(i);
        }
        if (up.empty())
            return;
        request.engine_ = up[number(static_cast<int>(up.size()))];
        request.beginsAt_ = clock_.now() + milliseconds(50 + number(200));
        ++request.attempts_;
        (isDeadly ? deadlySends_ : soundSends_) += 1;
        lateDeadlySends_ += isDeadly && clock_.now() > fifthCrashAt_ + kContact ? 1 : 0;
        requests_.push_back(request);
    }

    void progress()
    {
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            if (requests_[i].part_ == kDeadly && requests_[i].beginsAt_ <= clock_.now())
                end(requests_[i].engine_);
        }
        std::erase_if(requests_, [this](const Request &request) {
            if (request.beginsAt_ + kSecondEvent > clock_.now())
                return false;
            quarantine_.completed(kFirst);
            quarantine_.completed(request.part_);
            return true;
        });
    }

    void end(int engine)
    {
        if (engines_[engine].upAt_ > clock_.now())
            return;
        if (++crashes_ == 5)
            fifthCrashAt_ = clock_.now();
        const std::string crashId =
            std::to_string(engine) + "@" + std::to_string(engines_[engine].starts_++);
        engines_[engine].upAt_ = clock_.now() + kDownTime;
        std::vector<Request> lost;
        std::erase_if(requests_, [&](const Request &request) {
            if (request.engine_ == engine)
                lost.push_back(request);
            return request.engine_ == engine;
        });
        for (const Request &request : lost) {
            quarantine_.crashed(partOf(kFirst), crashId);
            quarantine_.crashed(partOf(request.part_), crashId);
        }
        for (const Request &request : lost) {
            if (request.attempts_ < 2)
                send(request);
        }
    }

    void endSome()
    {
        for (int i = 0; i < load_.engines_; ++i) {
            if (chance(load_.waveShare_))
                end(i);
        }
    }

    Load load_;
    std::mt19937 random_;
    ManualClock clock_;
    ManualWallClock wallClock_;
    Quarantine quarantine_{"a", {clock_, wallClock_}, seconds(60)};
    std::vector<Engine> engines_;
    std::vector<Request> requests_;
    TimePoint fifthCrashAt_ = TimePoint::max() - kContact;
};

} // namespace

// Guards against a part of prompts that ends one engine after the other.
TEST_CASE("a part that crashes engines is quarantined, and no sound request is refused for it")
{
    for (const Load &load : {Load{.deadlyShare_ = 0.05}, Load{.deadlyShare_ = 0.01},
                             Load{.engines_ = 12, .requestsPerSecond_ = 43, .deadlyShare_ = 0.02},
                             Load{.parts_ = 2, .deadlyShare_ = 0.05}}) {
        CAPTURE(load.deadlyShare_);
        for (unsigned seed = 0; seed < 50; ++seed) {
            CAPTURE(seed);
            Fleet fleet(load, seed);
            fleet.run(seconds(22));
            CHECK(fleet.deadlySends_ > 0);
            CHECK(fleet.lateDeadlySends_ <= 3);
            CHECK(fleet.soundRefused_ == 0);
            CHECK(fleet.soundSends_ > 0);
        }
    }
}

// Guards against parts that are quarantined, and their requests refused, because many engines end
// together, again and again.
TEST_CASE("engines that end in groups blame no part")
{
    for (const Duration pause : {Duration(milliseconds(500)), Duration(milliseconds(2500))}) {
        for (unsigned seed = 0; seed < 50; ++seed) {
            CAPTURE(seed);
            Fleet fleet({.wavePause_ = pause}, seed);
            fleet.run(seconds(18));
            CHECK(fleet.crashes_ > 50);
            CHECK(fleet.soundRefused_ == 0);
        }
    }
}

// Guards against a part that is not blamed because engines end for another reason at the same time.
TEST_CASE("a part that crashes engines is quarantined while engines end in groups")
{
    for (const Duration pause : {Duration(milliseconds(500)), Duration(milliseconds(1400))}) {
        for (unsigned seed = 0; seed < 50; ++seed) {
            CAPTURE(seed);
            Fleet fleet({.deadlyShare_ = 0.05, .wavePause_ = pause, .waveShare_ = 0.1}, seed);
            fleet.run(seconds(22));
            CHECK(fleet.lateDeadlySends_ <= 3);
            CHECK(fleet.soundRefused_ == 0);
        }
    }
}

TEST_CASE("a part is blamed for crashes that it was at, one after the other")
{
    struct Case
    {
        std::vector<int> crashesAtMs_; // of targets where the part was in flight
        std::vector<int> othersAtMs_;
        bool isCause_;
    };
    const Case cases[] = {
        {{0, 300, 600}, {}, true},
        {{0, 300}, {}, false},
        {{0, 100, 200, 250, 299}, {}, false}, // one group
        {{0, 300, 600}, {-1, 10, 610}, true}, // at two thirds and more of the crashes meanwhile
        {{0, 300, 600}, {10, 310}, false},
        {{0, 300, 600, 900, 1200, 1500}, {1, 2, 301, 302, 601, 602, 901, 902, 1201, 1202}, true},
    };
    const UtcTime start{seconds(1'700'000'000)};
    for (const Case &c : cases) {
        CAPTURE(c.crashesAtMs_.size());
        CAPTURE(c.othersAtMs_.size());
        SuspectRecord part{.fingerprint_ = "p", .kind_ = SuspectKind::PromptPart};
        std::map<std::string, UtcTime> times;
        for (const int at : c.crashesAtMs_) {
            times["p" + std::to_string(at)] = start + milliseconds(at);
            part.crashes_["p" + std::to_string(at)] = {start + milliseconds(at) + seconds(60)};
        }
        for (const int at : c.othersAtMs_)
            times["o" + std::to_string(at)] = start + milliseconds(at);
        CHECK(isCauseOfCrashes(part, times, seconds(60)) == c.isCause_);
        for (auto &[id, crash] : part.crashes_)
            crash.isCleared_ = true;
        CHECK_FALSE(isCauseOfCrashes(part, times, seconds(60)));
    }
}

TEST_CASE("a part that a target has begun to answer is cleared, and a quarantine ends on probation")
{
    ManualClock clock;
    ManualWallClock wallClock;
    Quarantine quarantine("a", {clock, wallClock}, seconds(60));
    const auto advance = [&](Duration step) {
        clock.advance(step);
        wallClock.advance(step);
    };
    const auto crash = [&](const std::string &id) {
        quarantine.crashed(partOf("p"), id);
        return quarantine.admit("p");
    };
    CHECK(crash("a") == Standing::Suspect);
    advance(kCrashGroupLength);
    CHECK(crash("b") == Standing::Suspect);
    CHECK(quarantine.completed("p"));
    CHECK(quarantine.admit("p") == Standing::Clear);
    advance(kCrashGroupLength);
    CHECK(crash("c") == Standing::Suspect);
    advance(kCrashGroupLength);
    CHECK(crash("d") == Standing::Suspect);
    advance(kCrashGroupLength);
    CHECK_FALSE(crash("e"));
    advance(Quarantine::kPartTerm);
    CHECK(quarantine.admit("p") == Standing::Clear);
    CHECK_FALSE(crash("f"));
    const SuspectRecord record = *quarantine.find("p");
    CHECK(SuspectRecord::ofJson(record.toJson()) == record);
    advance(Quarantine::kPartRetention);
    CHECK(crash("g") == Standing::Suspect);
}

} // namespace foxtailturn
