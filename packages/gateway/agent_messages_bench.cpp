// Prints the processor time that messages between entries and sidecars cost: decoding with
// applying, and encoding. The ratio is to parsing the same line as JSON, so that it can be compared
// between machines.
//
//     agent_messages_bench

#include <cstdio>
#include <ctime>
#include <functional>
#include <utility>

#include "gateway/agent_messages.h"

namespace foxtailturn::gateway {

namespace {

constexpr int kRounds = 5; // the fastest one counts, as other processes disturb the rest
constexpr double kRoundMicros = 40'000; // processor time of a round
constexpr int kAdapters = 16; // of an engine

double processorMicros()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Returns the processor time of one call, in microseconds.
double microsPerCall(const std::function<void()> &call)
{
    int calls = 1;
    for (double elapsed = 0; elapsed < kRoundMicros / 4; calls *= 2) {
        const double start = processorMicros();
        for (int i = 0; i < calls; ++i)
            call();
        elapsed = processorMicros() - start;
    }
    double fastest = 1e9;
    for (int round = 0; round < kRounds; ++round) {
        const double start = processorMicros();
        for (int i = 0; i < calls; ++i)
            call();
        fastest = std::min(fastest, (processorMicros() - start) / calls);
    }
    return fastest;
}

std::size_t checksum = 0; // keeps results from being optimized away

void print(const char *name, const std::string &line, const std::function<void()> &call)
{
    const double parse = microsPerCall([&line] { checksum += Json::parse(line).size(); });
    const double micros = microsPerCall(call);
    std::printf("%-42s %7zu %9.2f %9.2f %7.2f\n", name, line.size(), micros, parse, micros / parse);
}

SidecarReport engineReport()
{
    SidecarReport report;
    report.engine_ = {1'700'000'000'123, 41, false, false, 3, 24, 2, 141'300, 262'144, {}, {}};
    report.engine_.models_ = {{"be-base-70b", {}}};
    for (int i = 0; i < kAdapters; ++i)
        report.engine_.models_[0].adapters_["workshop-" + std::to_string(1000 + i)] = 3;
    report.engine_.loading_ = {"be-base-70b/workshop-2001"};
    report.evictionCost_ = 0.37;
    return report;
}

SuspectNotice suspects(int count)
{
    const UtcTime forgetAt{std::chrono::seconds(1'700'000'060)};
    SuspectNotice notice;
    for (int i = 0; i < count; ++i) {
        SuspectRecord record{std::to_string(1'234'567'890'123'456'789 + i)
                             + "-9876543210987654321"};
        record.crashes_["engine-be-central-a-7@1700000000123"] = {forgetAt, false};
        record.runs_["front-be-central-a-13-0123456789abcdef"] = {7, RunState::Ended, forgetAt};
        notice.records_.push_back(std::move(record));
    }
    return notice;
}

void benchUpdate(const char *name, const SidecarReport &before, const SidecarReport &after)
{
    const std::string there = encodeUpdate(before, after);
    const std::string back = encodeUpdate(after, before);
    SidecarReport known = before;
    bool isAfter = false;
    print((std::string("decode and apply ") + name).c_str(), there, [&] {
        known = decodeAgentMessage(isAfter ? back : there).update_->applyTo(std::move(known));
        isAfter = !isAfter;
    });
    print((std::string("encode ") + name).c_str(), there,
          [&] { checksum += encodeUpdate(before, after).size(); });
}

int benchAll()
{
    std::printf("%-42s %7s %9s %9s %7s\n", "message", "bytes", "us", "parse us", "ratio");
    const SidecarReport report = engineReport();
    SidecarReport load = report;
    load.engine_.queued_ = 4;
    load.engine_.kvUsed_ = 140'100;
    benchUpdate("update of load figures", report, load);
    benchUpdate("update without a change", report, report);
    SidecarReport adapter = load;
    adapter.engine_.models_[0].adapters_.erase("workshop-1003");
    adapter.engine_.models_[0].adapters_["workshop-2001"] = 5;
    adapter.engine_.loading_.clear();
    benchUpdate("update of an adapter", report, adapter);
    const std::string full = encode(report);
    print("decode full report", full,
          [&full] { checksum += decodeAgentMessage(full).report_->engine_.models_.size(); });
    print("encode full report", full, [&report] { checksum += encode(report).size(); });
    for (const int count : {1, 10, 100}) {
        const SuspectNotice notice = suspects(count);
        const std::string line = encode(notice);
        const std::string records = "suspects: " + std::to_string(count);
        print(("decode " + records).c_str(), line,
              [&line] { checksum += decodeAgentMessage(line).suspects_->records_.size(); });
        print(("encode " + records).c_str(), line,
              [&notice] { checksum += encode(notice).size(); });
    }
    return checksum == 0 ? 1 : 0;
}

} // namespace
} // namespace foxtailturn::gateway

int main()
{
    return foxtailturn::gateway::benchAll();
}
