#include "base/metrics.h"

#include <ctime>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

constexpr int kThreads = 8;
constexpr int kRecords = 100'000;

double threadCpuSeconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

// Guards against text that a Prometheus server refuses: broken escapes, repeated headers.
TEST_CASE("counters and gauges are written with labels")
{
    MetricRegistry metrics;
    metrics.counter("c_total", "a count", {{"b", "x\"y\\z\n"}, {"a", "1"}}).add(2);
    metrics.counter("c_total", "a count", {{"a", "1"}, {"b", "x\"y\\z\n"}}).add();
    metrics.counter("c_total", "a count").add();
    metrics.gauge("g", "a value").set(-5);
    metrics.gauge("g", "a value").add(2);
    CHECK(metrics.text()
          == "# HELP c_total a count\n# TYPE c_total counter\n"
             "c_total 1\nc_total{a=\"1\",b=\"x\\\"y\\\\z\\n\"} 3\n"
             "# HELP g a value\n# TYPE g gauge\ng -3\n");
}

// Guards against latencies outside the range that vanish from the counts.
TEST_CASE("latencies are counted in the bucket that holds them")
{
    struct Case
    {
        Duration latency_;
        Duration low_;
        Duration high_;
    };
    using std::chrono::hours;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const Case cases[] = {
        {microseconds(-1), microseconds(100), microseconds(100)},
        {microseconds(50), microseconds(100), microseconds(100)},
        {milliseconds(34), milliseconds(34), milliseconds(54)},
        {milliseconds(1700), milliseconds(1700), milliseconds(2690)},
        {hours(1), seconds(999), seconds(1000)},
    };
    for (const Case &c : cases) {
        CAPTURE(c.latency_.count());
        LatencyMetric latency;
        CHECK(latency.quantile(0.5) == Duration::zero());
        latency.record(c.latency_);
        CHECK(latency.count() == 1);
        CHECK(latency.quantile(0.5) >= c.low_);
        CHECK(latency.quantile(0.5) <= c.high_);
    }
}

TEST_CASE("buckets are cumulative and end with the total")
{
    MetricRegistry metrics;
    LatencyMetric &latency = metrics.latency("l_seconds", "a latency", {{"w", "1"}});
    for (const int ms : {1, 10, 10, 2'000'000})
        latency.record(std::chrono::milliseconds(ms));
    const std::string text = metrics.text();
    for (const char *line : {
             "# TYPE l_seconds histogram\n",
             "l_seconds_bucket{w=\"1\",le=\"0.0001\"} 0\n",
             "l_seconds_bucket{w=\"1\",le=\"0.00158489\"} 1\n",
             "l_seconds_bucket{w=\"1\",le=\"0.0158489\"} 3\n",
             "l_seconds_bucket{w=\"1\",le=\"1000\"} 3\n",
             "l_seconds_bucket{w=\"1\",le=\"+Inf\"} 4\n",
             "l_seconds_sum{w=\"1\"} 2000.021000\n",
             "l_seconds_count{w=\"1\"} 4\n",
         }) {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
}

// Guards against lost updates, and against a cost that shows in the latency it measures. CPU time
// of the threads, because the machine may be busy.
TEST_CASE("concurrent updates are all counted, each in under a microsecond")
{
    MetricRegistry metrics;
    Counter &counter = metrics.counter("c_total", "c");
    LatencyMetric &latency = metrics.latency("l_seconds", "l");
    std::vector<double> seconds(kThreads);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (double &taken : seconds) {
        threads.emplace_back([&] {
            const double start = threadCpuSeconds();
            for (int i = 0; i < kRecords; ++i)
                latency.record(std::chrono::microseconds(100 + i));
            taken = threadCpuSeconds() - start;
            for (int i = 0; i < kRecords; ++i)
                counter.add();
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(counter.value() == kThreads * kRecords);
    CHECK(latency.count() == kThreads * kRecords);
    for (const double taken : seconds) {
        MESSAGE("ns per record: ", taken / kRecords * 1e9);
        CHECK(taken / kRecords < 1e-6);
    }
}

} // namespace
} // namespace foxtailturn
