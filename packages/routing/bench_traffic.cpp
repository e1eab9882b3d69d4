#include "routing/bench_traffic.h"

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <set>
#include <unordered_map>

namespace foxtailturn::bench {

namespace {

constexpr double kChatFraction = 0.85;
constexpr double kChatSeconds = 1.5;
constexpr double kBatchSeconds = 12;
constexpr double kShiftedFraction = 0.19;

// Adapters of one workspace in order of popularity.
class Ranking
{
public:
    Ranking(int first, int count)
        : adapters_(static_cast<std::size_t>(count))
    {
        double sum = 0;
        for (int i = 0; i < count; ++i) {
            adapters_[static_cast<std::size_t>(i)] = first + i;
            cumulative_.push_back(sum += 1.0 / (i + 1));
        }
    }

    int draw(std::mt19937_64 &random) const
    {
        const double value = std::uniform_real_distribution(0.0, cumulative_.back())(random);
        const auto it = std::lower_bound(cumulative_.begin(), cumulative_.end(), value);
        return adapters_[static_cast<std::size_t>(it - cumulative_.begin())];
    }

    void shift(std::mt19937_64 &random)
    {
        std::uniform_int_distribution<std::size_t> randomIndex(0, adapters_.size() - 1);
        const auto swaps =
            static_cast<int>(kShiftedFraction * static_cast<double>(adapters_.size()) / 2);
        for (int i = 0; i < swaps; ++i)
            std::swap(adapters_[randomIndex(random)], adapters_[randomIndex(random)]);
        // The random swaps may miss the most popular adapters, so some of those are always swapped.
        for (std::size_t i = 0; i < adapters_.size() / 20; i += 5)
            std::swap(adapters_[i], adapters_[randomIndex(random)]);
    }

private:
    std::vector<int> adapters_;
    std::vector<double> cumulative_;
};

int drawWorkspace(std::mt19937_64 &random, bool flood)
{
    std::array<double, kWorkspaces> rates{};
    std::copy(std::begin(kTrafficShares), std::end(kTrafficShares), rates.begin());
    if (flood)
        rates[kFloodWorkspace] *= kFloodFactor;
    return std::discrete_distribution<int>(rates.begin(), rates.end())(random);
}

} // namespace

std::vector<Arrival> makeTraffic(const TrafficSettings &settings)
{
    std::mt19937_64 random(settings.seed_);
    std::vector<Ranking> rankings;
    int first = 0;
    for (const double share : kTrafficShares) {
        const int count = static_cast<int>(share * kAdapters);
        rankings.emplace_back(first, count);
        first += count;
    }
    const double floodRate = 1 + kTrafficShares[kFloodWorkspace] * (kFloodFactor - 1);
    std::vector<Arrival> traffic;
    bool shifted = false;
    for (double now = 0; now < settings.seconds_;) {
        const bool flood = now >= settings.floodFrom_ && now < settings.floodTo_;
        const double rate = settings.requestsPerSecond_ * (flood ? floodRate : 1);
        now += std::exponential_distribution(rate)(random);
        if (!shifted && now >= settings.shiftAt_) {
            for (Ranking &ranking : rankings)
                ranking.shift(random);
            shifted = true;
        }
        Arrival arrival{.at_ = now, .workspace_ = drawWorkspace(random, flood)};
        arrival.adapter_ = rankings[static_cast<std::size_t>(arrival.workspace_)].draw(random);
        const bool chat = std::bernoulli_distribution(kChatFraction)(random);
        arrival.priority_ = chat ? Priority::Chat : Priority::Batch;
        arrival.serviceSeconds_ =
            std::exponential_distribution(1 / (chat ? kChatSeconds : kBatchSeconds))(random);
        traffic.push_back(arrival);
    }
    return traffic;
}

double clairvoyantLoads(const std::vector<Arrival> &traffic, std::size_t slots, double warmUp)
{
    constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> nextUse(traffic.size(), kNever);
    std::unordered_map<int, std::size_t> nextIndex;
    for (std::size_t i = traffic.size(); i-- > 0;) {
        const auto it = nextIndex.find(traffic[i].adapter_);
        nextUse[i] = it == nextIndex.end() ? kNever : it->second;
        nextIndex[traffic[i].adapter_] = i;
    }
    std::set<std::pair<std::size_t, int>> byNextUse;
    std::unordered_map<int, std::size_t> resident;
    int loads = 0;
    int measured = 0;
    for (std::size_t i = 0; i < traffic.size(); ++i) {
        const int adapter = traffic[i].adapter_;
        const auto it = resident.find(adapter);
        const bool isMeasured = traffic[i].at_ >= warmUp;
        measured += isMeasured ? 1 : 0;
        if (it != resident.end()) {
            byNextUse.erase({it->second, adapter});
        } else {
            loads += isMeasured ? 1 : 0;
            if (resident.size() == slots) {
                resident.erase(byNextUse.rbegin()->second);
                byNextUse.erase(std::prev(byNextUse.end()));
            }
        }
        resident[adapter] = nextUse[i];
        byNextUse.emplace(nextUse[i], adapter);
    }
    return 1000.0 * loads / std::max(measured, 1);
}

} // namespace foxtailturn::bench
