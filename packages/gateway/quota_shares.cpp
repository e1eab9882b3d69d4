#include "gateway/quota_shares.h"

#include <algorithm>

#include "base/hash.h"

namespace foxtailturn::gateway {

namespace {

constexpr const char *kRowPrefix = "quota/";
constexpr double kDemandHeadroom = 1.25; // multiple of the demand for which an entry wants units
constexpr double kMinPartOfEqual =
    0.15; // part of an equal share that an entry without demand keeps
// Changes below both of these are not worth a write: a percentage of the entry's own units, and a
// fraction of an equal share.
constexpr std::int64_t kMinChangePercent = 15;
constexpr std::int64_t kMinChangeDivisor = 4; // divisor: a quarter
constexpr std::int64_t kMaxMinChange = QuotaShares::kTotalUnits / 200;
constexpr double kMinOwnPart = 0.1; // of all units, for the shares of all entries together
// Part of the entries' units that is assigned while the pool has more than kPoolUnits; the rest is
// left for entries that join.
constexpr double kAssignedPart = 0.9;

// The pool and the entries' shares use a quarter of the tolerance each; half is left for races and
// refills.
constexpr std::int64_t kToleranceDivisor = 4;

std::int64_t minChange(std::int64_t units, std::size_t entries)
{
    const std::int64_t own = QuotaShares::kTotalUnits - QuotaShares::poolUnitsFor(entries);
    const std::int64_t equal = own / static_cast<std::int64_t>(entries);
    return std::max(std::min(kMaxMinChange, equal / kMinChangeDivisor),
                    units * kMinChangePercent / 100);
}

} // namespace

QuotaShares::QuotaShares(std::string holder, const Clock &clock, std::int64_t tolerance)
    : holder_(std::move(holder))
    , clock_(clock)
    , tolerance_(tolerance)
    , startedAt_(clock.now())
{ }

void QuotaShares::configure(const ServingConfig &config)
{
    const TimePoint now = clock_.now();
    for (const Workspace &workspace : config.workspaces_) {
        Ledger &ledger = ledgers_.try_emplace(workspace.name_, now).first->second;
        ledger.quota_ = workspace.quota_;
        ledger.share_.setQuota(workspace.quota_, now);
        ledger.pool_.setQuota(workspace.quota_, now);
    }
}

Result<void> QuotaShares::admit(const std::string &workspace, std::int64_t charge)
{
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end() || it->second.quota_.rate_ == 0)
        return {};
    const TimePoint now = clock_.now();
    Ledger &ledger = it->second;
    ledger.share_.recordDemand(charge, now);
    if (now >= ledger.spendUntil_)
        return notRun(ErrorCode::LeaseExpired, "the quota share was not renewed in time",
                      now + std::chrono::seconds(1));
    const bool isTaken = ledger.share_.take(charge, now)
        || (now < ledger.poolUntil_ && ledger.pool_.take(charge, now));
    if (isTaken)
        return {};
    std::optional<TimePoint> at = ledger.share_.availableAt(charge, now);
    if (now < ledger.poolUntil_)
        at = std::min(at.value_or(TimePoint::max()),
                      ledger.pool_.availableAt(charge, now).value_or(TimePoint::max()));
    return notRun(ErrorCode::RateLimited, "the workspace is over its rate", at);
}

void QuotaShares::refund(const std::string &workspace, std::int64_t charge)
{
    const auto it = ledgers_.find(workspace);
    if (it != ledgers_.end() && it->second.quota_.rate_ != 0)
        it->second.share_.refund(charge, clock_.now());
}

std::string QuotaShares::reachableOwner(const std::string &workspace) const
{
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end())
        return "";
    const Ledger &ledger = it->second;
    const bool isUsable = clock_.now() < ledger.spendUntil_ && ledger.owner_ != holder_
        && !ledger.isOwnerUnresponsive_;
    return isUsable ? ledger.owner_ : "";
}

Result<void> QuotaShares::grant(const std::string &workspace, std::int64_t charge)
{
    const TimePoint now = clock_.now();
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end() || now >= it->second.poolUntil_)
        return notRun(ErrorCode::LeaseExpired, "this entry does not own the workspace's pool",
                      now + kSuccessionStep);
    QuotaShare &pool = it->second.pool_;
    if (pool.take(charge, now))
        return {};
    return notRun(ErrorCode::RateLimited, "the workspace is over its rate",
                  pool.availableAt(charge, now));
}

void QuotaShares::setOwnerAnswering(const std::string &owner, bool isAnswering)
{
    for (auto &[workspace, ledger] : ledgers_) {
        if (ledger.owner_ == owner)
            ledger.isOwnerUnresponsive_ = !isAnswering;
    }
}

std::string QuotaShares::ownerOf(const std::string &workspace) const
{
    const auto it = ledgers_.find(workspace);
    return it == ledgers_.end() ? "" : it->second.owner_;
}

std::set<std::string> QuotaShares::poolOwners() const
{
    std::set<std::string> poolOwners;
    for (const auto &[workspace, ledger] : ledgers_) {
        if (!ledger.owner_.empty() && ledger.owner_ != holder_)
            poolOwners.insert(ledger.owner_);
    }
    return poolOwners;
}

bool QuotaShares::ownsPool() const
{
    return std::any_of(ledgers_.begin(), ledgers_.end(),
                       [this](const auto &entry) { return entry.second.owner_ == holder_; });
}

std::int64_t QuotaShares::poolUnitsFor(std::size_t entries)
{
    const double own = static_cast<double>(kSmallFleetEntries) / 2 / static_cast<double>(entries);
    const auto pool = static_cast<std::int64_t>((1 - std::max(own, kMinOwnPart))
                                                * static_cast<double>(kTotalUnits));
    return std::max(pool, kPoolUnits);
}

std::int64_t QuotaShares::poolUnitsOf(const std::string &workspace) const
{
    const auto it = ledgers_.find(workspace);
    const bool isKept = it != ledgers_.end() && clock_.now() < it->second.poolUntil_;
    return isKept ? it->second.pool_.units() : 0;
}

int QuotaShares::rankOf(const std::string &workspace, const QuotaRow &row) const
{
    // Rendezvous hashing: all entries agree on the order, and pools spread over them.
    const std::uint64_t seed = hash64(workspace);
    const std::uint64_t own = hash64(holder_, seed);
    return static_cast<int>(
        std::count_if(row.holders_.begin(), row.holders_.end(), [&](const auto &holder) {
            return holder.first != row.pool_.owner_ && hash64(holder.first, seed) > own;
        }));
}

bool QuotaShares::planPool(Ledger &ledger, const std::string &workspace, QuotaRow &row)
{
    const TimePoint now = clock_.now();
    QuotaPool &pool = row.pool_;
    const bool isNewWrite = ledger.ownerWrite_.firstSeenAt_ == TimePoint{}
        || pool.owner_ != ledger.owner_ || pool.counter_ != ledger.ownerWrite_.counter_;
    if (isNewWrite) {
        ledger.isOwnerUnresponsive_ = false;
        ledger.owner_ = pool.owner_;
        ledger.ownerWrite_ = {pool.counter_, now};
    }
    if (isReleasing_) {
        const bool isOwn = pool.owner_ == holder_;
        ledger.poolUntil_ = TimePoint{};
        pool = isOwn ? QuotaPool{"", pool.counter_ + 1, pool.units_} : pool;
        return isOwn;
    }
    if (pool.owner_ != holder_) {
        // Another entry may grant from the pool, so this one must not any more.
        ledger.poolUntil_ = TimePoint{};
        const Duration turn = kSuccessionStep * rankOf(workspace, row);
        // Entries that start together first wait until all of them are listed in the row.
        const TimePoint takeAt = pool.owner_.empty()
            ? startedAt_ + kSuccessionStep + turn
            : ledger.ownerWrite_.firstSeenAt_ + kPoolReclaim + turn;
        if (now < takeAt)
            return false;
    } else if (now < ledger.poolWriteAt_ && now < ledger.poolUntil_) {
        return false;
    }
    pool.owner_ = holder_;
    ++pool.counter_;
    const std::int64_t available = std::max<std::int64_t>(kTotalUnits - row.heldUnits(), 0);
    pool.units_ = std::min(poolUnitsFor(row.holders_.size()), available);
    ledger.plannedPoolUnits_ = pool.units_;
    // Lowered units take effect before the write, as for a share.
    ledger.pool_.setUnits(std::min(ledger.pool_.units(), pool.units_), now);
    return true;
}

bool QuotaShares::dropUnresponsive(Holders &holders, std::set<std::string> &dropped) const
{
    const TimePoint now = clock_.now();
    const std::size_t before = holders.size();
    std::erase_if(holders, [&](const auto &item) {
        const bool isUnresponsive =
            item.first != holder_ && liveness_.isUnresponsive(item.first, kReclaimAfter, now);
        if (isUnresponsive)
            dropped.insert(item.first);
        return isUnresponsive;
    });
    return holders.size() < before;
}

std::int64_t QuotaShares::wantedUnits(Ledger &ledger, const Holders &holders) const
{
    // The part of the rate that is divided among the entries' shares; the rest is the pool's.
    const std::int64_t pool = poolUnitsFor(holders.size());
    const double assigned = pool > kPoolUnits ? kAssignedPart : 1;
    const double ownUnits = static_cast<double>(kTotalUnits - pool) * assigned;
    const double rate =
        static_cast<double>(ledger.quota_.rate_) * ownUnits / static_cast<double>(kTotalUnits);
    const auto count = static_cast<double>(holders.size());
    const double floor = kMinPartOfEqual * rate / count;
    const auto weight = [floor](double demand) {
        return std::max(kDemandHeadroom * demand, floor);
    };
    const double own = weight(ledger.share_.demand(clock_.now()));
    double sum = own;
    for (const auto &[name, entry] : holders) {
        if (name != holder_)
            sum += weight(static_cast<double>(entry.demand_));
    }
    const double part = sum <= rate ? (own + (rate - sum) / count) / rate : own / sum;
    return static_cast<std::int64_t>(part * ownUnits);
}

std::optional<QuotaRow> QuotaShares::planLedger(Ledger &ledger, const std::string &workspace,
                                                QuotaRow row, std::int64_t version,
                                                std::set<std::string> &dropped)
{
    Holders &holders = row.holders_;
    const TimePoint now = clock_.now();
    for (const auto &[name, entry] : holders)
        liveness_.track(name, now);
    const bool isDropping = dropUnresponsive(holders, dropped);
    const bool isNew = !holders.contains(holder_);
    QuotaHolding &own = holders[holder_];
    if (!isNew)
        ledger.spendUntil_ = livenessSentAt_ + kSpendFor;
    const bool isUnresolved = version <= ledger.unresolvedVersion_;
    if (isUnresolved) {
        // The write of unknown outcome may still be applied and lower the row's units, so the
        // smaller value is used.
        ledger.share_.setUnits(std::min(ledger.share_.units(), own.units_), now);
    } else {
        ledger.unresolvedVersion_ = -1;
        ledger.share_.setUnits(own.units_, now);
    }
    const auto entries = static_cast<std::int64_t>(holders.size());
    ledger.share_.setTolerance(tolerance_ / kToleranceDivisor / entries);
    // If many shares each went into debt for one large request, together they would exceed the
    // quota.
    ledger.share_.setOverdraftAllowed(entries <= kSmallFleetEntries);
    const std::int64_t wanted = wantedUnits(ledger, holders);
    const std::int64_t minDelta = minChange(wanted, holders.size());
    const std::int64_t others = row.heldUnits() - own.units_;
    const std::int64_t assignable = kTotalUnits - std::max(row.pool_.units_, kPoolUnits);
    const std::int64_t units = std::min(wanted, std::max<std::int64_t>(assignable - others, 0));
    ledger.entries_ = static_cast<int>(entries);
    ledger.isUnderAllocated_ = units + minDelta < wanted;
    const bool isChange = isNew || std::abs(units - own.units_) > minDelta
        || (units < own.units_ && others + own.units_ > assignable);
    own.units_ = isChange ? units : own.units_;
    const auto demand = static_cast<std::int64_t>(ledger.share_.demand(now));
    // Other entries lower their units only after they have read this entry's demand.
    const bool hasDemandChanged = ledger.isUnderAllocated_
        && std::abs(demand - own.demand_) > std::max(own.demand_, demand) / 4;
    ledger.isPoolPlanned_ = planPool(ledger, workspace, row);
    const bool isDue =
        isChange || hasDemandChanged || isUnresolved || isDropping || ledger.isPoolPlanned_;
    if (!isDue)
        return std::nullopt;
    own.demand_ = demand;
    ledger.share_.setUnits(std::min(ledger.share_.units(), own.units_), now);
    ledger.plannedUnits_ = own.units_;
    ledger.plannedVersion_ = version;
    return row;
}

std::optional<StoreWrite> QuotaShares::plan(const StoreRows &rows)
{
    const TimePoint now = clock_.now();
    sentAt_ = now;
    isLivenessAcknowledged_ = false;
    liveness_.read(rows, now);
    const bool isSignDue = now >= livenessDueAt_ && !isReleasing_ && hasQuota();
    StoreWrite write = isSignDue ? planLivenessRecord() : planLedgers(rows);
    if (write.puts_.empty())
        return std::nullopt;
    return write;
}

bool QuotaShares::hasQuota() const
{
    return std::any_of(ledgers_.begin(), ledgers_.end(),
                       [](const auto &entry) { return entry.second.quota_.rate_ != 0; });
}

StoreWrite QuotaShares::planLivenessRecord()
{
    for (auto &[workspace, ledger] : ledgers_)
        ledger.plannedUnits_ = -1;
    isLivenessPlanned_ = true;
    ++livenessCounter_;
    StoreWrite write;
    write.puts_.push_back({kFleetTable, kFleetPartition, LivenessTracker::keyOf(holder_),
                           std::to_string(livenessCounter_)});
    return write;
}

StoreWrite QuotaShares::planLedgers(const StoreRows &rows)
{
    StoreWrite write;
    std::set<std::string> dropped;
    for (auto &[workspace, ledger] : ledgers_) {
        ledger.plannedUnits_ = -1;
        if (ledger.quota_.rate_ == 0)
            continue;
        const std::string key = kRowPrefix + workspace;
        const auto row = std::find_if(rows.rows_.begin(), rows.rows_.end(),
                                      [&key](const StoreRow &r) { return r.key_ == key; });
        const bool exists = row != rows.rows_.end();
        const std::int64_t version = exists ? row->version_ : 0;
        const std::optional<QuotaRow> next =
            planLedger(ledger, workspace, exists ? QuotaRow::decode(row->value_) : QuotaRow(),
                       version, dropped);
        if (!next)
            continue;
        write.expected_.push_back({kFleetTable, kFleetPartition, key, "", version});
        write.puts_.push_back({kFleetTable, kFleetPartition, key, next->encode()});
    }
    for (const std::string &name : dropped) {
        const std::int64_t version = liveness_.versionOf(name);
        write.expected_.push_back(
            {kFleetTable, kFleetPartition, LivenessTracker::keyOf(name), "", version});
        if (version != 0)
            write.removes_.push_back(
                {kFleetTable, kFleetPartition, LivenessTracker::keyOf(name), ""});
    }
    return write;
}

void QuotaShares::finishWrite(WriteOutcome outcome)
{
    const TimePoint now = clock_.now();
    if (isLivenessPlanned_ && outcome == WriteOutcome::Applied) {
        livenessSentAt_ = sentAt_;
        livenessDueAt_ = sentAt_ + kLivenessInterval;
        isLivenessAcknowledged_ = true;
    }
    isLivenessPlanned_ = false;
    for (auto &[workspace, ledger] : ledgers_) {
        if (ledger.plannedUnits_ < 0)
            continue;
        if (outcome == WriteOutcome::Applied) {
            ledger.share_.setUnits(ledger.plannedUnits_, now);
            ledger.unresolvedVersion_ = -1;
            ledger.spendUntil_ = livenessSentAt_ + kSpendFor;
            if (ledger.isPoolPlanned_ && !isReleasing_)
                takePool(ledger);
        } else if (outcome == WriteOutcome::Unknown) {
            ledger.unresolvedVersion_ = std::max(ledger.unresolvedVersion_, ledger.plannedVersion_);
        }
        ledger.plannedUnits_ = -1;
    }
}

void QuotaShares::takePool(Ledger &ledger)
{
    const TimePoint now = clock_.now();
    // How much of the pool the previous owner has spent is unknown, so the bucket starts empty.
    if (ledger.poolUntil_ == TimePoint{}) {
        ledger.pool_ = QuotaShare(now);
        ledger.pool_.setQuota(ledger.quota_, now);
        ledger.pool_.setTolerance(tolerance_ / kToleranceDivisor);
    }
    ledger.pool_.setUnits(ledger.plannedPoolUnits_, now);
    ledger.owner_ = holder_;
    ledger.isOwnerUnresponsive_ = false;
    ledger.poolUntil_ = sentAt_ + kPoolSpendFor;
    ledger.poolWriteAt_ = sentAt_ + kPoolWriteInterval;
}

bool QuotaShares::wantsEarlySync()
{
    const TimePoint now = clock_.now();
    return std::any_of(ledgers_.begin(), ledgers_.end(), [now](auto &entry) {
        Ledger &ledger = entry.second;
        if (ledger.quota_.rate_ == 0)
            return false;
        const double part = static_cast<double>(ledger.share_.units())
            / static_cast<double>(kTotalUnits) * static_cast<double>(ledger.quota_.rate_);
        return ledger.isUnderAllocated_ || ledger.share_.units() == 0
            || ledger.share_.demand(now) > part || ledger.owner_.empty()
            || ledger.isOwnerUnresponsive_;
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
