#include "gateway/agent_messages.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

TEST_CASE("decoding an encoded message returns the same message")
{
    const LoadRequest load{"m/a1", 3, "i-1", 8};
    CHECK(decodeAgentMessage(encode(load)).load_ == load);
    const UseNotice use{"m/a1", false};
    CHECK(decodeAgentMessage(encode(use)).use_ == use);
    CHECK(decodeAgentMessage(encode(LoadRefusal{"m"})).refusal_ == LoadRefusal{"m"});
    const GrantRequest grantRequest{7, "w", 2'000};
    CHECK(decodeAgentMessage(encode(grantRequest)).grantRequest_ == grantRequest);
    const GrantAnswer answer{7, false, true, std::chrono::milliseconds(40)};
    CHECK(decodeAgentMessage(encode(answer)).grantAnswer_ == answer);
    const SuspectOffer offer{{1, UINT64_MAX}};
    CHECK(decodeAgentMessage(encode(offer)).suspectOffer_ == offer);
    CHECK(decodeAgentMessage(encode(SuspectOffer{})).suspectOffer_ == SuspectOffer{});
    const SuspectRequest suspectRequest{{7}};
    CHECK(decodeAgentMessage(encode(suspectRequest)).suspectRequest_ == suspectRequest);
    const PermitRequest permitRequest{7, "i-1", 1'767'000'000'123, 2, 6.5};
    CHECK(decodeAgentMessage(encode(permitRequest)).permitRequest_ == permitRequest);
    const PermitAnswer permitAnswer{7, true, std::chrono::milliseconds(40)};
    CHECK(decodeAgentMessage(encode(permitAnswer)).permitAnswer_ == permitAnswer);
    const EngineState state{true, 1'767'000'000'123, std::chrono::milliseconds(1500)};
    CHECK(decodeAgentMessage(encode(state)).engineState_ == state);
    SidecarReport report;
    report.engine_ = EngineReport{5, 7, true, true, 1, 2, 3, 4, 9, {{"m", {{"a1", 2}}}}, {"m/a2"}};
    report.evictionCost_ = 1.5;
    report.speed_ = {Duration(2435), true};
    CHECK(decodeAgentMessage(encode(report)).report_ == report);
}

// Guards against a caller that waits for a permit behind the reports of many engines.
TEST_CASE("answers about permits and the engine's run are urgent")
{
    CHECK(isUrgent(encode(PermitAnswer{INT64_MAX, true, std::chrono::hours(1)})));
    CHECK(isUrgent(encode(EngineState{false, INT64_MAX, std::chrono::hours(1)})));
    CHECK_FALSE(isUrgent(encode(PermitRequest{7, "i-1", 5, 2, 6.5})));
    CHECK_FALSE(isUrgent(encode(SidecarReport())));
    CHECK_FALSE(isUrgent(encode(UseNotice{"m/a1", true})));
}

// Guards against an entry whose view of the load or of the adapters differs from what the sidecar
// reported.
TEST_CASE("applying each update results in the sender's report")
{
    SidecarReport first;
    first.engine_ = {5, 7, true, true, 1, 2, 3, 4, 9, {{"m", {{"a1", 2}, {"a3", 1}}}}, {"m/a2"}};
    SidecarReport load = first;
    load.engine_.running_ = 40;
    load.speed_ = {Duration(2435), true};
    SidecarReport adapters = load;
    adapters.engine_.models_ = {{"m", {{"a1", 3}, {"a2", 1}}}};
    adapters.engine_.loading_ = {};
    SidecarReport other = adapters;
    other.engine_.models_ = {{"n", {}}};
    other.engine_.isDraining_ = false;
    other.evictionCost_ = 0.25;
    other.speed_.isStalled_ = false;
    const SidecarReport reports[] = {SidecarReport(), first, load,           load,
                                     adapters,        other, SidecarReport()};
    SidecarReport known;
    for (std::size_t i = 1; i < std::size(reports); ++i) {
        CAPTURE(i);
        // Receivers of all versions apply updates as JSON merge patches.
        Json merged = Json::parse(encode(reports[i - 1]))["report"];
        merged.merge_patch(Json::parse(encodeUpdate(reports[i - 1], reports[i]))["update"]);
        CHECK(merged == Json::parse(encode(reports[i]))["report"]);
        const AgentMessage message = decodeAgentMessage(encodeUpdate(reports[i - 1], reports[i]));
        REQUIRE(message.update_);
        known = message.update_->applyTo(known);
        CHECK(known == reports[i]);
    }
}

// Guards against traffic between data centres that grows with the number of adapters: most reports
// change only the load.
TEST_CASE("an update of the load is short")
{
    SidecarReport report;
    report.engine_.models_ = {{"model", {}}};
    for (int i = 0; i < 15; ++i)
        report.engine_.models_[0].adapters_["a" + std::to_string(1000 + i)] = 1;
    SidecarReport next = report;
    next.engine_.running_ = 12;
    next.engine_.kvUsed_ = 140'000;
    constexpr std::size_t kMaxUpdateBytes = 64; // bytes
    CHECK(encodeUpdate(report, next).size() <= kMaxUpdateBytes);
    CHECK(encodeUpdate(report, next).size() * 5 < encode(next).size());
}

// Guards against processes of different versions that misunderstand each other.
TEST_CASE("lines of the version before are understood, and written as it wrote them")
{
    SidecarReport report;
    report.engine_ = {5, 7, true, false, 1, 2, 3, 4, 9, {{"m", {{"a1", 2}}}}, {"m/a2"}};
    report.evictionCost_ = 1.504;
    const std::string full =
        R"({"report":{"born":5,"busy":true,"draining":false,"eviction_cost":1.5,"kv_total":9,)"
        R"("kv_used":4,"loading":["m/a2"],"models":{"m":{"a1":2}},"prefilling":3,"queued":1,)"
        R"("running":2,"sequence":7}})"
        "\n";
    CHECK(encode(report) == full);
    SidecarReport next = report;
    next.engine_.models_ = {{"m", {{"a3", 1}}}, {"n", {}}};
    next.engine_.loading_ = {};
    next.engine_.running_ = 0;
    const std::string update =
        R"({"update":{"loading":[],"models":{"m":{"a1":null,"a3":1},"n":{}},"running":0}})"
        "\n";
    CHECK(encodeUpdate(report, next) == update);
    CHECK(encodeUpdate(report, report) == "{\"update\":{}}\n");
    const SuspectNotice suspects{{{"f",
                                   {{"e1@1", {UtcTime(Duration(5)), true}}},
                                   {{"e", {3, RunState::Ended, UtcTime(Duration(9))}}},
                                   SuspectKind::PromptPart}}};
    const std::string notice =
        R"({"suspects":[{"crashes":{"e1@1":{"cleared":true,"forget_at_us":5}},"fingerprint":"f",)"
        R"("kind":"prompt_part","runs":{"e":{"sequence":3,"state":2,"until_us":9}}}]})"
        "\n";
    CHECK(encode(suspects) == notice);
    CHECK(decodeAgentMessage(notice).suspects_ == suspects);
    // Fields of an unexpected type leave the others in force.
    const auto odd = decodeAgentMessage(
        R"({"update":{"queued":-3,"running":1e9,"prefilling":99999999999,"busy":1,"new":[[]]}})");
    REQUIRE(odd.update_);
    const SidecarReport applied = odd.update_->applyTo(report);
    CHECK(applied.engine_.queued_ == 0);
    CHECK(applied.engine_.running_ == 2);
    CHECK(applied.engine_.prefilling_ == 1'000'000'000);
    CHECK(applied.engine_.isBusy_);
}

// Guards against a crash on a line from another version or from a port scanner.
TEST_CASE("a line that is not a message decodes to an empty message")
{
    for (const std::string line :
         {"", "x", "[]", "{\"load\":1e400}", "{\"report\":7}", "\xff", "{\"ask\":[]}",
          "{\"report\":{\"models\":{\"m\":3},\"loading\":[1]}}", "{\"update\":3}",
          "{\"update\":{\"models\":7,\"loading\":{},\"queued\":\"x\"}}"}) {
        CAPTURE(line);
        const AgentMessage message = decodeAgentMessage(line);
        CHECK_FALSE(message.use_);
        CHECK_FALSE(message.refusal_);
        CHECK((!message.grantRequest_ || message.grantRequest_->workspace_.empty()));
        CHECK((!message.load_ || message.load_->name_.empty()));
    }
}

TEST_CASE("complete lines are removed from the buffer; a partial line stays")
{
    std::string buffer = "a\nb\nc";
    CHECK(extractLines(buffer) == std::vector<std::string>{"a", "b"});
    CHECK(buffer == "c");
}

TEST_CASE("suspects are split into lines that a receiver accepts")
{
    const UtcTime forgetAt{std::chrono::seconds(1'700'000'000)};
    SuspectNotice notice;
    for (int i = 0; i < 250; ++i)
        notice.records_.push_back({std::to_string(i), {{"engine-1@1", {forgetAt, i % 2 == 0}}}});
    std::string buffer = encode(notice);
    const std::vector<std::string> lines = extractLines(buffer);
    CHECK(lines.size() == 3);
    SuspectNotice decoded;
    for (const std::string &line : lines) {
        CHECK(line.size() < 65'536);
        const auto part = decodeAgentMessage(line).suspects_;
        REQUIRE(part);
        decoded.records_.insert(decoded.records_.end(), part->records_.begin(),
                                part->records_.end());
    }
    CHECK(decoded == notice);
    CHECK(encode(SuspectNotice{}).empty());
    SuspectOffer offer;
    for (std::uint64_t i = 0; i < 4096; ++i)
        offer.digests_.push_back(UINT64_MAX - i);
    buffer = encode(offer);
    SuspectOffer decodedOffer;
    for (const std::string &line : extractLines(buffer)) {
        CHECK(line.size() < 65'536);
        const auto part = decodeAgentMessage(line).suspectOffer_;
        REQUIRE(part);
        decodedOffer.digests_.insert(decodedOffer.digests_.end(), part->digests_.begin(),
                                     part->digests_.end());
    }
    CHECK(decodedOffer == offer);
    // Records of another version of the program are skipped.
    CHECK(decodeAgentMessage(R"({"suspects":[1,{"fingerprint":2}]})").suspects_ == SuspectNotice{});
}

} // namespace foxtailturn::gateway
