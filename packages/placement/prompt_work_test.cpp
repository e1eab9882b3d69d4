#include "placement/prompt_work.h"

#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn::placement {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr int kLong = 240; // ms
constexpr int kShort = 22; // ms

struct Step
{
    int atMs_;
    std::optional<int> addMs_; // a prompt; nullopt: a report
    int unread_ = 0;
    int leftMs_ = 0; // expected afterwards
};

struct Case
{
    std::string load_;
    std::vector<Step> steps_;
};

const std::vector<Case> kCases = {
    {"long prompts of two entries, then a short one",
     {{0, kLong, 0, 240}, {10, kLong, 0, 470}, {100, kShort, 0, 402}}},
    {"the work of an idle engine does not become negative",
     {{0, kShort, 0, 22}, {500, kLong, 0, 240}}},
    {"a report before the prompt has reached the engine",
     {{0, kLong, 0, 240}, {20, std::nullopt, 0, 220}}},
    {"an engine that is faster than expected",
     {{0, kLong, 0, 240},
      {0, kLong, 0, 480},
      {120, std::nullopt, 1, 240},
      {160, std::nullopt, 0, 0}}},
    {"an engine that is slower than expected",
     {{0, kLong, 0, 240}, {0, kLong, 0, 480}, {470, std::nullopt, 2, 240}}},
    {"prompts of which no entry has said anything",
     {{0, kShort, 0, 22}, {120, std::nullopt, 5, 0}}},
};

} // namespace

TEST_CASE("the work follows the prompts that are sent and those that the engine has not read")
{
    for (const Case &c : kCases) {
        CAPTURE(c.load_);
        PromptWork work;
        for (const Step &step : c.steps_) {
            CAPTURE(step.atMs_);
            const TimePoint now = kStart + milliseconds(step.atMs_);
            if (step.addMs_)
                work.add(milliseconds(*step.addMs_), now);
            else
                work.onEngineReport(step.unread_, now);
            CHECK(work.left(now) == milliseconds(step.leftMs_));
        }
    }
}

TEST_CASE("an engine that starts again has no prompts")
{
    PromptWork work;
    work.add(milliseconds(kLong), kStart);
    work.clear();
    CHECK(work.left(kStart) == Duration::zero());
}

} // namespace foxtailturn::placement
