#include "ctl/explain.h"

#include <doctest/doctest.h>

namespace foxtailturn {

namespace {

constexpr const char *kSent =
    R"({"kind":"sent","process":"e1","request":"r","target":"t1","time_us":1000})";
constexpr const char *kFailed =
    R"({"kind":"attempt_failed","process":"e1","request":"r","target":"t1","time_us":2000,)"
    R"("what":"connection lost","execution":"outcome_unknown"})";

} // namespace

// Guards against a cause that names something else than what the lines say.
TEST_CASE("the cause of each kind of end is named")
{
    struct Case
    {
        std::string log_;
        std::string cause_; // a part of it
    };
    const std::string sent = std::string(kSent) + "\n";
    const std::string failed = sent + kFailed + "\n";
    const Case cases[] = {
        {R"({"kind":"refused","request":"r","code":"rate_limited","workspace":"w","charge":9,)"
         R"("units":250000,"retry_after_us":40000,"time_us":1})"
         "\n",
         "over the rate of workspace w"},
        {failed
             + R"({"kind":"refused","request":"r","code":"target_failed","time_us":3000})"
               "\n",
         "target t1 failed: connection lost; execution outcome_unknown"},
        {failed
             + R"({"kind":"broken_off","request":"r","code":"target_failed","events":3,)"
               R"("time_us":3000})"
               "\n"
               R"({"kind":"target_gone","target":"t1","time_us":4000})"
               "\n",
         "broke off after 3 events: the attempt at target t1 failed: connection lost; execution "
         "outcome_unknown; the target was gone"},
        {sent
             + R"({"kind":"broken_off","request":"r","by":"caller","events":2,"time_us":9})"
               "\n",
         "the caller left after 2 events"},
        {sent
             + R"({"kind":"answered","request":"r","status":200,"elapsed_us":5000,"time_us":9})"
               "\n",
         "answered with 200 after 5 ms"},
        {sent
             + R"({"kind":"end_not_stated","request":"r","target":"t1","end":"close",)"
               R"("told":"close","time_us":8})"
               "\n"
               R"({"kind":"answered","request":"r","status":200,"elapsed_us":5000,"time_us":9})"
               "\n",
         "after 5 ms; target t1 did not state the end of its answer (close), the caller was told "
         "\"close\""},
        {sent, "no end of this request"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.log_);
        LogReader reader;
        reader.read("f", c.log_);
        const Explanation explanation = reader.explain("r");
        CHECK(explanation.cause_.find(c.cause_) != std::string::npos);
        CHECK(reader.problems().empty());
    }
}

// Guards against an answer whose way from target to caller can't be told.
TEST_CASE("each attempt's answer and what the caller was told are named in order")
{
    LogReader reader;
    reader.read(
        "f",
        R"({"kind":"sent","request":"r","target":"t1","stalled":true,"report_age_us":9,)"
        R"("time_us":0})"
        "\n"
        R"({"kind":"attempt_failed","request":"r","target":"t1","framing":"last_chunk",)"
        R"("ended":"inside_event","bytes":70,"attempt_events":2,"what":"lost","time_us":1})"
        "\n"
        R"({"kind":"resumed","request":"r","last_event":"2","told":"last_chunk","events":2,)"
        R"("time_us":2})"
        "\n"
        R"({"kind":"end_not_stated","request":"r","target":"t2","end":"close","bytes":30,)"
        R"("events":1,"told":"nothing","time_us":3})"
        "\n"
        R"({"kind":"broken_off","request":"r","told":"last_chunk","events":3,)"
        R"("not_resumed":"event_without_id","time_us":4})"
        "\n");
    const std::vector<std::string> expected = {
        "target t1: stalled when the request was sent, last reported 9 us before",
        ("target t1: framed by \"last_chunk\", broke off inside_event after 70 bytes and 2 events: "
         "lost"),
        "goes on behind event 2; the caller was told \"last_chunk\" and got 2 events",
        "target t2: framed by \"close\", ended with its connection after 30 bytes and 1 events",
        ("broken off; the caller was told \"last_chunk\" and got 3 events; not resumed: "
         "event_without_id"),
    };
    CHECK(reader.explain("r").answers_ == expected);
}

// Guards against an era that is told though the logs do not hold it, and against another request's.
TEST_CASE("the configuration that admitted a request is told with the store's era")
{
    struct Case
    {
        const char *log_;
        const char *configuration_;
    };
    const Case cases[] = {
        {R"({"kind":"admitted","request":"r","revision":7,"store_era":2,"time_us":1})"
         "\n"
         R"({"kind":"admitted","request":"s","revision":8,"store_era":3,"time_us":2})",
         "revision 7, read in era 2 of the store"},
        {R"({"kind":"admitted","request":"r","revision":7,"store_era":0,"time_us":1})",
         "revision 7, read in era 0 of the store"},
        {R"({"kind":"admitted","request":"r","revision":7,"time_us":1})",
         ""}, // of an older version
        {kSent, ""},
    };
    for (const Case &c : cases) {
        LogReader reader;
        reader.read("f", std::string(c.log_) + "\n");
        CHECK(reader.explain("r").configuration_ == c.configuration_);
    }
}

TEST_CASE("lines of several logs are put in order of time")
{
    LogReader reader;
    reader.read("b", std::string("prefix 12.5 ") + kFailed + "\n");
    reader.read("a", std::string(kSent) + "\n");
    const Explanation explanation = reader.explain("r");
    REQUIRE(explanation.lines_.size() == 2);
    CHECK(explanation.lines_[0].kind_ == "sent");
    CHECK(explanation.lines_[1].kind_ == "attempt_failed");
}

// Guards against a story that looks complete although lines are missing.
TEST_CASE("missing lines are told")
{
    LogReader reader;
    reader.read("f",
                std::string("{broken}\nplain text\n")
                    + R"({"kind":"left_out","process":"e1","of":"sent","lines":7})" + "\n"
                    + R"({"kind":"answered","request":"r","sta)");
    REQUIRE(reader.problems().size() == 3);
    CHECK(reader.problems()[0] == "f: e1 left out 7 lines of kind sent");
    CHECK(reader.problems()[1] == "f: cut off in line 4");
    CHECK(reader.problems()[2] == "f: 1 lines can't be read");
    CHECK(reader.explain("r").lines_.empty());
    CHECK(reader.explain("r").cause_.empty());
}

} // namespace foxtailturn
