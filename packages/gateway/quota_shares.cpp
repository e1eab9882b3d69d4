#include "gateway/quota_shares.h"

#include <algorithm>
#include <cmath>

#include "base/json.h"

namespace foxtailturn::gateway {

namespace {

constexpr const char *kRowPrefix = "quota/";
constexpr double kHeadroom = 1.25; // units asked for, as a multiple of the demand
constexpr double kFloorShare = 0.15; // of an equal part, kept by an entry without demand
// Smaller changes are not worth a write: a part of the entry's own units, or of all.
constexpr std::int64_t kLeastChangePercent = 15;
constexpr std::int64_t kLeastChange = QuotaShares::kTotalUnits / 200;

std::int64_t leastChange(std::int64_t units)
{
    return std::max(kLeastChange, units * kLeastChangePercent / 100);
}

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

bool QuotaShares::mayGrant(const std::string &workspace, std::int64_t) const
{
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end())
        return false;
    const TimePoint now = clock_.now();
    return now < it->second.spendUntil_ && now >= it->second.poolAt_;
}

void QuotaShares::requestGrant(const std::string &workspace, std::int64_t charge,
                               GrantHandler handler)
{
    const TimePoint now = clock_.now();
    Ledger &ledger = ledgers_.try_emplace(workspace, now).first->second;
    ledger.grants_.push_back({charge, now + kGrantTime, std::move(handler)});
}

bool QuotaShares::hasGrantRequests() const
{
    return std::any_of(ledgers_.begin(), ledgers_.end(),
                       [](const auto &entry) { return !entry.second.grants_.empty(); });
}

void QuotaShares::expireGrants()
{
    const TimePoint now = clock_.now();
    std::vector<GrantRequest> expired;
    for (auto &[workspace, ledger] : ledgers_) {
        auto &grants = ledger.grants_;
        const auto late =
            std::stable_partition(grants.begin(), grants.end(),
                                  [now](const GrantRequest &grant) { return now < grant.until_; });
        expired.insert(expired.end(), std::make_move_iterator(late),
                       std::make_move_iterator(grants.end()));
        grants.erase(late, grants.end());
    }
    for (const GrantRequest &grant : expired)
        grant.handler_(notRun(ErrorCode::RateLimited, "no grant from the quota's pool in time",
                              now + kGrantTime));
}

double QuotaShares::poolRate(const Ledger &ledger) const
{
    return static_cast<double>(ledger.quota_.rate_) * static_cast<double>(kPoolUnits)
        / static_cast<double>(kTotalUnits);
}

bool QuotaShares::planGrants(Ledger &ledger, Row &row, std::int64_t nowMs)
{
    constexpr double kMillisPerSecond = 1000;
    const TimePoint now = clock_.now();
    const double rate = poolRate(ledger);
    const double capacity = static_cast<double>(ledger.quota_.burst_)
        * static_cast<double>(kPoolUnits) / static_cast<double>(kTotalUnits);
    if (!row.pool_)
        row.pool_ = Pool{0, nowMs};
    Pool &pool = *row.pool_;
    const auto elapsed = static_cast<double>(std::max<std::int64_t>(nowMs - pool.atMs_, 0));
    pool.level_ = std::min(capacity, pool.level_ + rate * elapsed / kMillisPerSecond);
    pool.atMs_ = std::max(pool.atMs_, nowMs);
    bool isGranted = false;
    std::vector<GrantRequest> waiting;
    std::vector<GrantRequest> refused;
    for (GrantRequest &grant : ledger.grants_) {
        const auto charge = static_cast<double>(grant.charge_);
        const double needed = std::min(charge, capacity);
        if (pool.level_ >= needed) {
            pool.level_ -= charge;
            grant.isInWrite_ = true;
            isGranted = true;
            waiting.push_back(std::move(grant));
            continue;
        }
        if (rate > 0) {
            const std::chrono::duration<double> wait((needed - pool.level_) / rate);
            ledger.poolAt_ = now + std::chrono::ceil<Duration>(wait);
        }
        refused.push_back(std::move(grant));
    }
    ledger.grants_ = std::move(waiting);
    for (const GrantRequest &grant : refused) {
        const std::optional<TimePoint> own = ledger.share_.availableAt(grant.charge_, now);
        grant.handler_(notRun(ErrorCode::RateLimited, "the workspace is over its rate",
                              std::min(own.value_or(ledger.poolAt_), ledger.poolAt_)));
    }
    return isGranted;
}

void QuotaShares::finishGrants(Ledger &ledger, WriteOutcome outcome)
{
    std::vector<GrantRequest> done;
    std::vector<GrantRequest> waiting;
    for (GrantRequest &grant : ledger.grants_) {
        const bool isTriedAgain = !grant.isInWrite_ || outcome == WriteOutcome::Conflict;
        grant.isInWrite_ = false;
        (isTriedAgain ? waiting : done).push_back(std::move(grant));
    }
    ledger.grants_ = std::move(waiting);
    for (const GrantRequest &grant : done) {
        if (outcome == WriteOutcome::Applied)
            grant.handler_({});
        else
            grant.handler_(notRun(ErrorCode::RateLimited, "the pool's answer was lost",
                                  clock_.now() + kGrantTime));
    }
}

QuotaShares::Row QuotaShares::decode(const std::string &value)
{
    Row row;
    const Json json = parseUntrustedJson(value);
    if (!json.is_object())
        return row;
    const auto holders = json.find("holders");
    if (holders != json.end() && holders->is_object()) {
        for (const auto &[name, entry] : holders->items()) {
            // [units, demand, beat]: short, since each row holds all entries.
            const bool isEntry = entry.is_array() && entry.size() == 3
                && std::all_of(entry.begin(), entry.end(),
                               [](const Json &field) { return field.is_number_integer(); });
            if (isEntry)
                row.holders_[name] =
                    Entry{std::clamp<std::int64_t>(entry[0].get<std::int64_t>(), 0, kTotalUnits),
                          entry[1].get<std::int64_t>(), entry[2].get<std::int64_t>()};
        }
    }
    const auto pool = json.find("pool");
    if (pool != json.end() && pool->is_object()) {
        const auto level = pool->find("level");
        const bool isNumber = level != pool->end() && level->is_number();
        row.pool_ = Pool{isNumber ? level->get<double>() : 0, integerOf(*pool, "at_ms")};
    }
    return row;
}

std::string QuotaShares::encode(const Row &row)
{
    Json holders = Json::object();
    for (const auto &[name, entry] : row.holders_)
        holders[name] = Json::array({entry.units_, entry.demand_, entry.beat_});
    Json json = {{"holders", std::move(holders)}};
    if (row.pool_)
        json["pool"] = {{"level", row.pool_->level_}, {"at_ms", row.pool_->atMs_}};
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
    // The entries' part of the rate; the rest is the pool's.
    constexpr std::int64_t kOwnUnits = kTotalUnits - kPoolUnits;
    const double rate = static_cast<double>(ledger.quota_.rate_) * static_cast<double>(kOwnUnits)
        / static_cast<double>(kTotalUnits);
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
    return static_cast<std::int64_t>(part * static_cast<double>(kOwnUnits));
}

std::optional<QuotaShares::Row> QuotaShares::planLedger(Ledger &ledger, Row row,
                                                        std::int64_t version, std::int64_t nowMs)
{
    Holders &holders = row.holders_;
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
    const std::int64_t units =
        std::min(wanted, std::max<std::int64_t>(kTotalUnits - kPoolUnits - others, 0));
    ledger.entries_ = static_cast<int>(holders.size());
    ledger.isShort_ = units + leastChange(wanted) < wanted;
    const bool isNew = own.beat_ == 0;
    const bool isChange = isNew || std::abs(units - own.units_) > leastChange(wanted)
        || (units < own.units_ && others + own.units_ > kTotalUnits - kPoolUnits);
    const auto demand = static_cast<std::int64_t>(ledger.share_.demand(now));
    // Others give up units only when they see the demand.
    const bool isDemandNews =
        ledger.isShort_ && std::abs(demand - own.demand_) > std::max(own.demand_, demand) / 4;
    const bool isGranted = planGrants(ledger, row, nowMs);
    if (!isChange && !isDemandNews && !isUnresolved && !isGranted && now < ledger.writeAt_)
        return std::nullopt;
    own.units_ = isChange ? units : own.units_;
    own.demand_ = demand;
    ++own.beat_;
    ledger.share_.setUnits(std::min(ledger.share_.units(), own.units_), now);
    ledger.planned_ = own.units_;
    ledger.plannedVersion_ = version;
    return row;
}

std::optional<StoreWrite> QuotaShares::plan(const StoreRows &rows)
{
    sentAt_ = clock_.now();
    StoreWrite write;
    for (auto &[workspace, ledger] : ledgers_) {
        ledger.planned_ = -1;
        if (ledger.quota_.rate_ == 0)
            continue;
        const std::string key = kRowPrefix + workspace;
        const auto row = std::find_if(rows.rows_.begin(), rows.rows_.end(),
                                      [&key](const StoreRow &r) { return r.key_ == key; });
        const bool isThere = row != rows.rows_.end();
        const std::int64_t version = isThere ? row->version_ : 0;
        const std::optional<Row> next =
            planLedger(ledger, isThere ? decode(row->value_) : Row(), version, rows.nowMs_);
        if (!next)
            continue;
        write.expected_.push_back({kFleetTable, kFleetPart, key, "", version});
        write.puts_.push_back({kFleetTable, kFleetPart, key, encode(*next)});
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
        finishGrants(ledger, outcome);
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

int QuotaShares::entryCount() const
{
    int count = 1;
    for (const auto &[workspace, ledger] : ledgers_)
        count = std::max(count, ledger.entries_);
    return count;
}

bool QuotaShares::canSpend() const
{
    const TimePoint now = clock_.now();
    return std::all_of(ledgers_.begin(), ledgers_.end(), [now](const auto &entry) {
        const Ledger &ledger = entry.second;
        return ledger.quota_.rate_ == 0 || (ledger.share_.units() > 0 && now < ledger.spendUntil_);
    });
}

std::int64_t QuotaShares::unitsOf(const std::string &workspace) const
{
    const auto it = ledgers_.find(workspace);
    return it == ledgers_.end() ? 0 : it->second.share_.units();
}

std::int64_t QuotaShares::demandOf(const std::string &workspace)
{
    const auto it = ledgers_.find(workspace);
    return it == ledgers_.end() ? 0
                                : static_cast<std::int64_t>(it->second.share_.demand(clock_.now()));
}

} // namespace foxtailturn::gateway
