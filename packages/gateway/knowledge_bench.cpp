// Measures what messages of sidecars cost an entry: processor time of Gateway::onReport at 12, 120
// and 850 targets with 8 adapters each, without decoding. Prints one line for each size and kind of
// report: load figures only, and an adapter that is replaced by another one.

#include <array>
#include <cstdio>
#include <ctime>

#include "gateway/codec_testing.h"
#include "gateway/gateway.h"

namespace foxtailturn::gateway {
namespace {

constexpr std::array kSizes = {12, 120, 850}; // targets
constexpr int kAdapters = 8; // of each target
constexpr int kAdapterNames = 100; // hosted in the fleet
constexpr int kReports = 20'000;

std::string addressOf(int target)
{
    return "10.0." + std::to_string(target / 250) + "." + std::to_string(target % 250) + ":80";
}

// The n-th report of a target. Every report has other load figures than the one before.
SidecarReport reportOf(int target, int n, bool changesAdapter)
{
    SidecarReport report;
    report.engine_.startTimeMs_ = 1;
    report.engine_.running_ = n % 16;
    HostedModel model{"m", {}};
    for (int i = 0; i < kAdapters; ++i)
        model.adapters_["adapter-" + std::to_string((target + i) % kAdapterNames)] = 1;
    if (changesAdapter)
        model.adapters_["adapter-" + std::to_string(kAdapterNames + n % 2)] = 1;
    report.engine_.models_ = {model};
    return report;
}

double processorMicros()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

void run(int size, bool changesAdapter)
{
    asio::io_context context;
    const PlainCodec codec;
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    const ManualWallClock wallClock;
    EventLog log("entry", wallClock, [](std::string_view bytes) { return bytes.size(); });
    MetricRegistry metrics;
    Gateway gateway({context, codec, clock, wallClock, log, metrics}, {.name_ = "entry"});
    for (int i = 0; i < size; ++i) {
        TargetRecord record;
        record.instance_ = "engine-" + std::to_string(i);
        record.service_ = "models";
        record.address_ = addressOf(i);
        record.startTimeMs_ = 1;
        gateway.targets().list(record, gateway.now());
        gateway.targets().setAgentConnected(record.address_, true);
        gateway.onReport(record.address_, reportOf(i, 0, changesAdapter));
    }
    // The operator has declared one version, which all hold already.
    gateway.declareVersion({"m", "adapter-0", 1});
    double micros = 0;
    for (int n = 1; n <= kReports; ++n) {
        const SidecarReport report = reportOf(n % size, n / size + 1, changesAdapter);
        const std::string address = addressOf(n % size);
        const double before = processorMicros();
        gateway.onReport(address, report);
        micros += processorMicros() - before;
    }
    std::printf("%4d targets, %s: %6.2f us\n", size,
                changesAdapter ? "an adapter replaced" : "load figures only  ", micros / kReports);
}

} // namespace
} // namespace foxtailturn::gateway

int main()
{
    for (const int size : foxtailturn::gateway::kSizes) {
        foxtailturn::gateway::run(size, false);
        foxtailturn::gateway::run(size, true);
    }
}
