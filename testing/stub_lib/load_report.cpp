#include "stub_lib/load_report.h"

#include <algorithm>
#include <cmath>

namespace foxtailturn {

namespace {

// Precondition: sorted is sorted.
double quantile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

Json quantiles(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {{"p50", quantile(values, 0.50)},
            {"p95", quantile(values, 0.95)},
            {"p99", quantile(values, 0.99)},
            {"max", quantile(values, 1.0)},
            {"count", values.size()}};
}

template <typename T>
void append(std::vector<T> &to, const std::vector<T> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

void LoadReport::Group::add(const LoadResult &result)
{
    ++requests_;
    late_ += result.isLate_ ? 1 : 0;
    tokens_ += static_cast<std::uint64_t>(result.tokens_);
    switch (result.outcome_) {
    case LoadOutcome::Complete:
        ++complete_;
        break;
    case LoadOutcome::Refused:
        ++refusals_[result.code_];
        return;
    case LoadOutcome::Wrong:
        ++wrong_;
        break;
    case LoadOutcome::Cut:
        ++cut_;
        break;
    case LoadOutcome::Failed:
        ++failed_;
        ++failures_[result.code_];
        break;
    }
    if (result.tokens_ > 0)
        firstTokensMs_.push_back(result.firstTokenMs_);
    append(gapsMs_, result.gapsMs_);
}

void LoadReport::Group::merge(const Group &other)
{
    requests_ += other.requests_;
    complete_ += other.complete_;
    wrong_ += other.wrong_;
    cut_ += other.cut_;
    failed_ += other.failed_;
    late_ += other.late_;
    tokens_ += other.tokens_;
    for (const auto &[code, count] : other.refusals_)
        refusals_[code] += count;
    for (const auto &[code, count] : other.failures_)
        failures_[code] += count;
    append(firstTokensMs_, other.firstTokensMs_);
    append(gapsMs_, other.gapsMs_);
}

Json LoadReport::Group::toJson(double seconds) const
{
    return {{"requests", requests_},
            {"complete", complete_},
            {"wrong_answers", wrong_},
            {"cut_streams", cut_},
            {"failed", failed_},
            {"late_starts", late_},
            {"tokens", tokens_},
            {"requests_per_second", static_cast<double>(requests_) / seconds},
            {"tokens_per_second", static_cast<double>(tokens_) / seconds},
            {"refusals", refusals_},
            {"failures", failures_},
            {"first_token_ms", quantiles(firstTokensMs_)},
            {"between_tokens_ms", quantiles(gapsMs_)}};
}

void LoadReport::add(const std::string &group, const LoadResult &result)
{
    total_.add(result);
    groups_[group].add(result);
}

void LoadReport::merge(const LoadReport &other)
{
    total_.merge(other.total_);
    for (const auto &[name, group] : other.groups_)
        groups_[name].merge(group);
}

Json LoadReport::toJson(double seconds) const
{
    Json json = total_.toJson(seconds);
    json["seconds"] = seconds;
    for (const auto &[name, group] : groups_)
        json["groups"][name] = group.toJson(seconds);
    return json;
}

} // namespace foxtailturn
