#include "quota/duty_order.h"

#include <set>

#include <doctest/doctest.h>

namespace foxtailturn::quota {

namespace {

std::map<std::string, std::int64_t> entriesOf(int count, std::int64_t milliCores = 200)
{
    std::map<std::string, std::int64_t> entries;
    for (int i = 0; i < count; ++i)
        entries["e" + std::to_string(i)] = milliCores;
    return entries;
}

} // namespace

// Guards against two entries that take the same part at the same time, or none that takes it.
TEST_CASE("each entry has its own rank for a part")
{
    for (const int count : {1, 3, 8, 9, 68}) {
        const std::map<std::string, std::int64_t> entries = entriesOf(count);
        const DutyOrder order(entries);
        for (int part = 0; part < 4; ++part) {
            std::set<int> ranks;
            for (const auto &[entry, milliCores] : entries)
                ranks.insert(order.rankOf(entry, "w", part).value_or(-1));
            CAPTURE(count);
            CHECK(static_cast<int>(ranks.size()) == count);
            CHECK(*ranks.begin() == 0);
            CHECK(*ranks.rbegin() == count - 1);
        }
    }
    CHECK_FALSE(DutyOrder(entriesOf(3)).rankOf("other", "w", 0));
    CHECK_FALSE(DutyOrder().rankOf("e0", "w", 0));
}

// Guards against a workspace that loses its whole rate with one entry, and against many writers.
TEST_CASE("parts of a subject begin with different entries, all duties with few entries")
{
    const std::map<std::string, std::int64_t> entries = entriesOf(68);
    const DutyOrder order(entries);
    std::set<std::string> onDuty;
    for (int subject = 0; subject < 64; ++subject) {
        std::set<std::string> first;
        for (int part = 0; part < 4; ++part) {
            for (const auto &[entry, milliCores] : entries) {
                if (order.rankOf(entry, "w" + std::to_string(subject), part) == 0)
                    first.insert(entry);
            }
        }
        CHECK(first.size() == 4);
        onDuty.insert(first.begin(), first.end());
    }
    CHECK(onDuty.size() == DutyOrder::kOnDuty);
}

// Guards against duties on the smallest VMs while there are larger ones.
TEST_CASE("larger VMs are on duty more often")
{
    int large = 0;
    for (int trial = 0; trial < 200; ++trial) {
        std::map<std::string, std::int64_t> entries;
        for (int i = 0; i < 40; ++i)
            entries[std::to_string(trial) + "-" + std::to_string(i)] = i % 2 == 0 ? 500 : 90;
        const DutyOrder order(entries);
        for (const auto &[entry, milliCores] : entries)
            large += milliCores == 500 && order.rankOf(entry, "w", 0) == 0 ? 1 : 0;
    }
    CHECK(large > 150); // 500 / 590 of 200 are 169
}

// Guards against duties that move when an entry that has none of them comes or goes.
TEST_CASE("an entry that is not on duty changes no order among the others")
{
    const std::map<std::string, std::int64_t> entries = entriesOf(20);
    const DutyOrder before(entries);
    std::map<std::string, std::int64_t> fewer = entries;
    for (const auto &[entry, milliCores] : entries) {
        if (before.rankOf(entry, "w", 0) == 19)
            fewer.erase(entry);
    }
    REQUIRE(fewer.size() == 19);
    const DutyOrder after(fewer);
    for (const auto &[entry, milliCores] : fewer)
        CHECK(before.rankOf(entry, "w", 0) == after.rankOf(entry, "w", 0));
}

} // namespace foxtailturn::quota
