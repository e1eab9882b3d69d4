#include "base/metrics.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <vector>

#include <boost/histogram.hpp>

#include "base/log.h"

namespace foxtailturn {

namespace {

namespace bh = boost::histogram;

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;
constexpr int kBuckets = 35; // five a decade: neighbouring bounds differ by a factor of 1.58
constexpr double kMicrosPerSecond = 1e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cell = bh::accumulators::count<std::uint64_t, true>; // atomic
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<Cell>>;

Histogram makeHistogram()
{
    return bh::make_histogram_with(bh::dense_storage<Cell>(),
                                   Axis(kBuckets, kLowestSeconds, kHighestSeconds));
}

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            text.push_back('\\');
        if (c == '\n')
            text += "\\n";
        else
            text.push_back(c);
    }
    return text;
}

std::string labelText(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels)
        text += concat(text.empty() ? "" : ",", name, "=\"", escaped(value), '"');
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : concat('{', labels, '}');
}

std::string header(const std::string &name, const std::string &help, std::string_view type)
{
    return concat("# HELP ", name, ' ', help, "\n# TYPE ", name, ' ', type, '\n');
}

template <typename Metric>
std::string lines(const std::string &name, const std::string &labels, const Metric &metric)
{
    return concat(name, braced(labels), ' ', metric.value(), '\n');
}

std::string lines(const std::string &name, const std::string &labels, const LatencyMetric &metric)
{
    return metric.text(name, labels);
}

template <typename Families>
void append(std::string &text, const Families &families, std::string_view type)
{
    for (const auto &[name, family] : families) {
        text += header(name, family.help_, type);
        for (const auto &[labels, metric] : family.byLabels_)
            text += lines(name, labels, *metric);
    }
}

} // namespace

std::size_t metricShard()
{
    static std::atomic<std::size_t> threads = 0;
    thread_local const std::size_t shard = threads.fetch_add(1) % kMetricShards;
    return shard;
}

std::uint64_t Counter::value() const
{
    std::uint64_t sum = 0;
    for (const Shard &shard : shards_)
        sum += shard.value_.load(std::memory_order_relaxed);
    return sum;
}

struct LatencyMetric::Shards
{
    struct Shard
    {
        Histogram histogram_ = makeHistogram();
    };

    // Returns the counts of all buckets: below the range, kBuckets, above the range.
    std::vector<std::uint64_t> counts() const
    {
        std::vector<std::uint64_t> sums(kBuckets + 2);
        for (const Shard &shard : shards_) {
            int bucket = -1;
            for (std::uint64_t &sum : sums)
                sum += shard.histogram_.at(bucket++).value();
        }
        return sums;
    }

    // Returns the upper bound of a bucket as counts() orders them.
    double upperBound(std::size_t bucket) const
    {
        return shards_[0].histogram_.axis().value(static_cast<double>(bucket));
    }

    std::array<Shard, kMetricShards> shards_;
    Counter sumMicros_;
};

LatencyMetric::LatencyMetric()
    : shards_(std::make_unique<Shards>())
{ }

LatencyMetric::~LatencyMetric() = default;

void LatencyMetric::record(Duration latency)
{
    const Duration::rep micros = std::max<Duration::rep>(latency.count(), 0);
    shards_->shards_[metricShard()].histogram_(static_cast<double>(micros) / kMicrosPerSecond);
    shards_->sumMicros_.add(static_cast<std::uint64_t>(micros));
}

std::uint64_t LatencyMetric::count() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : shards_->counts())
        sum += count;
    return sum;
}

Duration LatencyMetric::quantile(double quantile) const
{
    const std::vector<std::uint64_t> counts = shards_->counts();
    std::uint64_t total = 0;
    for (const std::uint64_t count : counts)
        total += count;
    if (total == 0)
        return Duration::zero();
    const double exactRank = std::ceil(quantile * static_cast<double>(total));
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(exactRank));
    std::uint64_t below = 0;
    std::size_t bucket = 0;
    while (bucket < kBuckets && below + counts[bucket] < rank)
        below += counts[bucket++];
    return Duration(static_cast<Duration::rep>(shards_->upperBound(bucket) * kMicrosPerSecond));
}

std::string LatencyMetric::text(const std::string &name, const std::string &labels) const
{
    const std::vector<std::uint64_t> counts = shards_->counts();
    const std::string before = concat(name, "_bucket{", labels, labels.empty() ? "" : ",", "le=\"");
    std::string text;
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i <= kBuckets; ++i) {
        sum += counts[i];
        text += concat(before, shards_->upperBound(i), "\"} ", sum, '\n');
    }
    sum += counts.back();
    const double seconds = static_cast<double>(shards_->sumMicros_.value()) / kMicrosPerSecond;
    text += concat(before, "+Inf\"} ", sum, '\n');
    text += concat(name, "_sum", braced(labels), ' ', std::to_string(seconds), '\n');
    text += concat(name, "_count", braced(labels), ' ', sum, '\n');
    return text;
}

template <typename Metric>
Metric &MetricRegistry::find(Families<Metric> &families, const std::string &name,
                             const std::string &help, const Labels &labels)
{
    const std::string key = labelText(labels);
    const std::lock_guard lock(mutex_);
    Family<Metric> &family = families[name];
    if (family.help_.empty())
        family.help_ = help;
    std::unique_ptr<Metric> &metric = family.byLabels_[key];
    if (!metric)
        metric = std::make_unique<Metric>();
    return *metric;
}

Counter &MetricRegistry::counter(const std::string &name, const std::string &help,
                                 const Labels &labels)
{
    return find(counters_, name, help, labels);
}

Gauge &MetricRegistry::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    return find(gauges_, name, help, labels);
}

LatencyMetric &MetricRegistry::latency(const std::string &name, const std::string &help,
                                       const Labels &labels)
{
    return find(latencies_, name, help, labels);
}

std::string MetricRegistry::text() const
{
    std::string text;
    const std::lock_guard lock(mutex_);
    append(text, counters_, "counter");
    append(text, gauges_, "gauge");
    append(text, latencies_, "histogram");
    return text;
}

} // namespace foxtailturn
