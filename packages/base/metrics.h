#pragma once

// Metrics of a process: counters, gauges and latency histograms with labels, written in the
// Prometheus text format.
//
//     MetricRegistry metrics;
//     Counter &refused = metrics.counter("foxtailturn_refused_total", "requests refused",
//                                        {{"workspace", "w1"}, {"code", "rate_limited"}});
//     refused.add();
//     LatencyMetric &first = metrics.latency("foxtailturn_first_token_seconds", "...");
//     first.record(clock.now() - start);
//     answer(metrics.text());
//
// Look a metric up once and keep the reference: updates take no lock, look-ups do. Label values
// must come from a small set (workspaces, codes), never from requests.

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace foxtailturn {

// Label names and values, in the order of their names.
using Labels = std::map<std::string, std::string>;

// Updates go to one of these parts by thread, so that threads seldom share a cache line.
constexpr std::size_t kMetricShards = 16;

// Returns the part that the calling thread updates. Thread-safe.
[[nodiscard]] std::size_t metricShard();

// A count that only grows.
class Counter
{
public:
    // Adds to the count. Thread-safe, lock-free.
    void add(std::uint64_t count = 1)
    {
        shards_[metricShard()].value_.fetch_add(count, std::memory_order_relaxed);
    }

    // Returns the count so far. Thread-safe.
    [[nodiscard]] std::uint64_t value() const;

private:
    static constexpr std::size_t kCacheLine = 64;

    struct alignas(kCacheLine) Shard
    {
        std::atomic<std::uint64_t> value_ = 0;
    };

    std::array<Shard, kMetricShards> shards_;
};

// A value that goes up and down.
class Gauge
{
public:
    // Sets, or adds to, the value. Thread-safe, lock-free.
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t change) { value_.fetch_add(change, std::memory_order_relaxed); }

    // Returns the value. Thread-safe.
    [[nodiscard]] std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_ = 0;
};

// A histogram of latencies from 0.1 ms to 1000 s with five buckets a decade.
class LatencyMetric
{
public:
    LatencyMetric();
    ~LatencyMetric();
    LatencyMetric(const LatencyMetric &) = delete;
    LatencyMetric &operator=(const LatencyMetric &) = delete;

    // Counts one latency; a negative one counts as 0. Thread-safe, lock-free.
    void record(Duration latency);

    // Returns the number of latencies recorded. Thread-safe.
    [[nodiscard]] std::uint64_t count() const;

    // Returns the upper bound of the bucket that holds the given quantile; the largest bound for
    // latencies beyond the range, 0 when nothing is recorded. Precondition: 0 <= quantile <= 1.
    // Thread-safe.
    [[nodiscard]] Duration quantile(double quantile) const;

    // Returns the bucket, sum and count lines in the Prometheus format. labels is the text between
    // the braces, or empty. Thread-safe.
    [[nodiscard]] std::string text(const std::string &name, const std::string &labels) const;

private:
    struct Shards;

    std::unique_ptr<Shards> shards_;
};

// Owner of all metrics of a process. References stay valid as long as the registry.
class MetricRegistry
{
public:
    // Returns the metric of this name and labels, made at the first call. help is kept from the
    // first call of a name. Preconditions: name and label names are valid in Prometheus, and a name
    // is used for one kind of metric only. Thread-safe.
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    LatencyMetric &latency(const std::string &name, const std::string &help,
                           const Labels &labels = {});

    // Returns all metrics in the Prometheus text format. Thread-safe.
    [[nodiscard]] std::string text() const;

private:
    template <typename Metric>
    struct Family
    {
        std::string help_;
        std::map<std::string, std::unique_ptr<Metric>> byLabels_;
    };

    template <typename Metric>
    using Families = std::map<std::string, Family<Metric>>;

    template <typename Metric>
    Metric &find(Families<Metric> &families, const std::string &name, const std::string &help,
                 const Labels &labels);

    mutable std::mutex mutex_;
    Families<Counter> counters_;
    Families<Gauge> gauges_;
    Families<LatencyMetric> latencies_;
};

} // namespace foxtailturn
