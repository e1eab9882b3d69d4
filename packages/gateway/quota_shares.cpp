#include "gateway/quota_shares.h"

#include <algorithm>
#include <cmath>

#include "base/json.h"

namespace foxtailturn::gateway {

namespace {

constexpr const char *kRowPrefix = "quota/";
constexpr double kHeadroom = 1.25; // units asked for, as a multiple of the demand
constexpr double kFloorShare = 0.15; // of an equal part, kept by an entry without demand
// Smaller changes are not worth a write.
constexpr std::int64_t kLeastChange = QuotaShares::kTotalUnits * 4 / 100;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::int64_t integerOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

} // namespace

double QuotaShare::rate() const
{
    return static_cast<double>(quota_.rate_) * static_cast<double>(units_)
        / static_cast<double>(QuotaShares::kTotalUnits);
}

double QuotaShare::capacity() const
{
    return static_cast<double>(quota_.burst_) * static_cast<double>(units_)
        / static_cast<double>(QuotaShares::kTotalUnits);
}

void QuotaShare::refill(TimePoint now)
{
    level_ = std::min(capacity(), level_ + rate() * secondsOf(now - refilledAt_));
    refilledAt_ = now;
}

void QuotaShare::setQuota(const TokenQuota &quota, TimePoint now)
{
    refill(now);
    quota_ = quota;
    refill(now);
}

void QuotaShare::setUnits(std::int64_t units, TimePoint now)
{
    refill(now);
    units_ = units;
    refill(now);
}

bool QuotaShare::take(std::int64_t charge, TimePoint now)
{
    refill(now);
    const auto tokens = static_cast<double>(charge);
    if (units_ == 0 || level_ < std::min(tokens - tolerance_, capacity()))
        return false;
    level_ -= tokens;
    return true;
}

void QuotaShare::giveBack(std::int64_t charge, TimePoint now)
{
    refill(now);
    level_ = std::min(capacity(), level_ + static_cast<double>(charge));
}

std::optional<TimePoint> QuotaShare::availableAt(std::int64_t charge, TimePoint now)
{
    refill(now);
    if (rate() <= 0)
        return std::nullopt;
    const double missing = std::min(static_cast<double>(charge) - tolerance_, capacity()) - level_;
    const std::chrono::duration<double> wait(std::max(missing, 0.0) / rate());
    return now + std::chrono::ceil<Duration>(wait);
}

void QuotaShare::decay(TimePoint now)
{
    demand_ *= std::exp(-secondsOf(now - measuredAt_) / secondsOf(kDemandWindow));
    measuredAt_ = now;
}

void QuotaShare::count(std::int64_t charge, TimePoint now)
{
    decay(now);
    demand_ += static_cast<double>(charge) / secondsOf(kDemandWindow);
}

double QuotaShare::demand(TimePoint now)
{
    decay(now);
    return demand_;
}

QuotaShares::QuotaShares(std::string holder, const Clock &clock, std::int64_t tolerance)
    : holder_(std::move(holder))
    , clock_(clock)
    , tolerance_(tolerance)
{ }

void QuotaShares::configure(const ServingConfig &config)
{
    const TimePoint now = clock_.now();
    for (const Workspace &workspace : config.workspaces_) {
        Ledger &ledger = ledgers_.try_emplace(workspace.name_, now).first->second;
        ledger.quota_ = workspace.quota_;
        ledger.share_.setQuota(workspace.quota_, now);
    }
}

Result<void> QuotaShares::admit(const std::string &workspace, std::int64_t charge)
{
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end() || it->second.quota_.rate_ == 0)
        return {};
    const TimePoint now = clock_.now();
    Ledger &ledger = it->second;
    ledger.share_.count(charge, now);
    if (now >= ledger.spendUntil_)
        return notRun(ErrorCode::LeaseExpired, "the quota share was not renewed in time",
                      now + std::chrono::seconds(1));
    if (ledger.share_.take(charge, now))
        return {};
    return notRun(ErrorCode::RateLimited, "the workspace is over its rate",
                  ledger.share_.availableAt(charge, now));
}

void QuotaShares::giveBack(const std::string &workspace, std::int64_t charge)
{
    const auto it = ledgers_.find(workspace);
    if (it != ledgers_.end() && it->second.quota_.rate_ != 0)
        it->second.share_.giveBack(charge, clock_.now());
}

QuotaShares::Holders QuotaShares::decode(const std::string &value)
{
    Holders holders;
    const Json json = parseUntrustedJson(value);
    if (!json.is_object())
        return holders;
    for (const auto &[name, entry] : json.items()) {
        if (entry.is_object())
            holders[name] =
                Entry{std::clamp<std::int64_t>(integerOf(entry, "units"), 0, kTotalUnits),
                      integerOf(entry, "demand"), integerOf(entry, "beat")};
    }
    return holders;
}

std::string QuotaShares::encode(const Holders &holders)
{
    Json json = Json::object();
    for (const auto &[name, entry] : holders)
        json[name] = {{"units", entry.units_}, {"demand", entry.demand_}, {"beat", entry.beat_}};
    return json.dump();
}

void QuotaShares::dropSilent(Ledger &ledger, Holders &holders) const
{
    const TimePoint now = clock_.now();
    std::erase_if(holders, [&](const auto &item) {
        const auto &[name, entry] = item;
        if (name == holder_)
            return false;
        Seen &seen = ledger.seen_[name];
        if (seen.since_ == TimePoint{} || seen.beat_ != entry.beat_)
            seen = Seen{entry.beat_, now};
        return now - seen.since_ >= kReclaimAfter;
    });
}

std::int64_t QuotaShares::wantedUnits(Ledger &ledger, const Holders &holders) const
{
    const auto rate = static_cast<double>(ledger.quota_.rate_);
    const auto count = static_cast<double>(holders.size());
    const double floor = kFloorShare * rate / count;
    const auto weight = [floor](double demand) { return std::max(kHeadroom * demand, floor); };
    const double own = weight(ledger.share_.demand(clock_.now()));
    double sum = own;
    for (const auto &[name, entry] : holders) {
        if (name != holder_)
            sum += weight(static_cast<double>(entry.demand_));
    }
    const double part = sum <= rate ? (own + (rate - sum) / count) / rate : own / sum;
    return static_cast<std::int64_t>(part * static_cast<double>(kTotalUnits));
}

std::optional<QuotaShares::Holders> QuotaShares::planLedger(Ledger &ledger, Holders holders,
                                                            std::int64_t version)
{
    const TimePoint now = clock_.now();
    dropSilent(ledger, holders);
    Entry &own = holders[holder_];
    const bool isUnresolved = version <= ledger.unresolvedVersion_;
    if (isUnresolved) {
        // The unanswered write may still lower the row's units, so the smaller value counts.
        ledger.share_.setUnits(std::min(ledger.share_.units(), own.units_), now);
    } else {
        ledger.unresolvedVersion_ = -1;
        ledger.share_.setUnits(own.units_, now);
    }
    constexpr std::int64_t kUsedPart = 2; // half of the tolerance stays for races and refills
    ledger.share_.setTolerance(tolerance_ / kUsedPart / static_cast<std::int64_t>(holders.size()));
    const std::int64_t wanted = wantedUnits(ledger, holders);
    std::int64_t others = 0;
    for (const auto &[name, entry] : holders)
        others += name == holder_ ? 0 : entry.units_;
    const std::int64_t units = std::min(wanted, std::max<std::int64_t>(kTotalUnits - others, 0));
    ledger.isShort_ = units + kLeastChange < wanted;
    const bool isChange = std::abs(units - own.units_) > kLeastChange || own.units_ == 0
        || (units < own.units_ && others + own.units_ > kTotalUnits);
    const auto demand = static_cast<std::int64_t>(ledger.share_.demand(now));
    // Others give up units only when they see the demand.
    const bool isDemandNews = ledger.isShort_
        && std::abs(demand - own.demand_) * kTotalUnits > ledger.quota_.rate_ * kLeastChange;
    if (!isChange && !isDemandNews && !isUnresolved && now < ledger.writeAt_)
        return std::nullopt;
    own.units_ = isChange ? units : own.units_;
    own.demand_ = demand;
    ++own.beat_;
    ledger.share_.setUnits(std::min(ledger.share_.units(), own.units_), now);
    ledger.planned_ = own.units_;
    ledger.plannedVersion_ = version;
    return holders;
}

std::optional<StoreWrite> QuotaShares::plan(const std::vector<StoreRow> &rows)
{
    sentAt_ = clock_.now();
    StoreWrite write;
    for (auto &[workspace, ledger] : ledgers_) {
        ledger.planned_ = -1;
        if (ledger.quota_.rate_ == 0)
            continue;
        const std::string key = kRowPrefix + workspace;
        const auto row = std::find_if(rows.begin(), rows.end(),
                                      [&key](const StoreRow &r) { return r.key_ == key; });
        const std::int64_t version = row == rows.end() ? 0 : row->version_;
        const std::optional<Holders> holders =
            planLedger(ledger, row == rows.end() ? Holders() : decode(row->value_), version);
        if (!holders)
            continue;
        write.expected_.push_back({kFleetTable, kFleetPart, key, "", version});
        write.puts_.push_back({kFleetTable, kFleetPart, key, encode(*holders)});
    }
    if (write.puts_.empty())
        return std::nullopt;
    return write;
}

void QuotaShares::settle(WriteOutcome outcome)
{
    const TimePoint now = clock_.now();
    for (auto &[workspace, ledger] : ledgers_) {
        if (ledger.planned_ < 0)
            continue;
        if (outcome == WriteOutcome::Applied) {
            ledger.share_.setUnits(ledger.planned_, now);
            ledger.unresolvedVersion_ = -1;
            ledger.spendUntil_ = sentAt_ + kSpendFor;
            ledger.writeAt_ = sentAt_ + kWriteEvery;
        } else if (outcome == WriteOutcome::Unknown) {
            ledger.unresolvedVersion_ = std::max(ledger.unresolvedVersion_, ledger.plannedVersion_);
        }
        ledger.planned_ = -1;
    }
}

bool QuotaShares::wantsRound()
{
    const TimePoint now = clock_.now();
    return std::any_of(ledgers_.begin(), ledgers_.end(), [now](auto &entry) {
        Ledger &ledger = entry.second;
        if (ledger.quota_.rate_ == 0)
            return false;
        const double part = static_cast<double>(ledger.share_.units())
            / static_cast<double>(kTotalUnits) * static_cast<double>(ledger.quota_.rate_);
        return ledger.isShort_ || ledger.share_.units() == 0 || ledger.share_.demand(now) > part;
    });
}

bool QuotaShares::canSpend() const
{
    const TimePoint now = clock_.now();
    return std::all_of(ledgers_.begin(), ledgers_.end(), [now](const auto &entry) {
        const Ledger &ledger = entry.second;
        return ledger.quota_.rate_ == 0
            || (ledger.share_.units() > 0 && now < ledger.spendUntil_);
    });
}

std::int64_t QuotaShares::unitsOf(const std::string &workspace) const
{
    const auto it = ledgers_.find(workspace);
    return it == ledgers_.end() ? 0 : it->second.share_.units();
}

} // namespace foxtailturn::gateway
