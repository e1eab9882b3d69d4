#include "quota/quota_parts.h"

#include <algorithm>

namespace foxtailturn::quota {

namespace {

// Half of the tolerance is left for races and for owners that start anew.
constexpr std::int64_t kToleranceDivisor = 2;
constexpr int kSuccessors = 2; // entries that watch a part without an owner closely

template <typename T>
int sizeOf(const std::vector<T> &items)
{
    return static_cast<int>(items.size());
}

StoreRow rowAt(const std::string &key, std::int64_t version, std::string value = "")
{
    return {kFleetTable, kFleetPartition, key, std::move(value), version};
}

} // namespace

QuotaParts::QuotaParts(EntryIdentity self, const Clock &clock, std::int64_t tolerance)
    : self_(std::move(self))
    , clock_(clock)
    , tolerance_(tolerance)
    , startedAt_(clock.now())
{ }

void QuotaParts::configure(const std::map<std::string, TokenQuota> &quotas)
{
    std::erase_if(ledgers_, [&](const auto &entry) { return !quotas.contains(entry.first); });
    for (const auto &[workspace, quota] : quotas) {
        Ledger &ledger = ledgers_[workspace];
        ledger.quota_ = quota;
        const auto parts = static_cast<std::size_t>(partsOf(quota));
        // The rows of parts that are new since the last read are not known yet.
        needsRead_ = needsRead_ || ledger.parts_.size() < parts;
        ledger.parts_.resize(parts);
        for (Part &part : ledger.parts_) {
            if (part.share_)
                applyQuota(ledger, *part.share_);
        }
    }
}

int QuotaParts::partsOf(const TokenQuota &quota)
{
    const std::int64_t requests = quota.burst_ / std::max<std::int64_t>(quota.defaultTokens_, 1);
    return static_cast<int>(std::clamp<std::int64_t>(requests, 1, kParts));
}

void QuotaParts::applyQuota(const Ledger &ledger, QuotaShare &share) const
{
    const TimePoint now = clock_.now();
    const auto parts = static_cast<std::int64_t>(ledger.parts_.size());
    share.setQuota(ledger.quota_, now);
    share.setTolerance(tolerance_ / kToleranceDivisor / parts);
    share.setUnits(QuotaShare::kTotalUnits / parts, now);
}

QuotaParts::Ledger *QuotaParts::limitedLedger(const std::string &workspace)
{
    const auto it = ledgers_.find(workspace);
    return it == ledgers_.end() || it->second.quota_.rate_ == 0 ? nullptr : &it->second;
}

bool QuotaParts::mayGrant(const Part &part) const
{
    return part.share_ && clock_.now() < part.grantUntil_;
}

Result<void> QuotaParts::admit(const std::string &workspace, std::int64_t charge)
{
    return limitedLedger(workspace) == nullptr ? Result<void>() : grant(workspace, charge);
}

Result<void> QuotaParts::grant(const std::string &workspace, std::int64_t charge)
{
    const TimePoint now = clock_.now();
    Ledger *ledger = limitedLedger(workspace);
    std::optional<TimePoint> retryAt;
    bool isOwner = false;
    for (std::size_t i = 0; ledger != nullptr && i < ledger->parts_.size(); ++i) {
        Part &part = ledger->parts_[i];
        if (!mayGrant(part))
            continue;
        isOwner = true;
        if (part.share_->take(charge, now))
            return {};
        const std::optional<TimePoint> at = part.share_->availableAt(charge, now);
        retryAt = std::min(retryAt.value_or(TimePoint::max()), at.value_or(TimePoint::max()));
    }
    if (!isOwner)
        return notRun(ErrorCode::LeaseExpired, "this entry owns no part of the workspace's quota",
                      now + kSuccessionStep);
    return notRun(ErrorCode::RateLimited, "the workspace is over its rate", retryAt);
}

void QuotaParts::refund(const std::string &workspace, std::int64_t charge)
{
    Ledger *ledger = limitedLedger(workspace);
    if (ledger == nullptr)
        return;
    const auto own = std::find_if(ledger->parts_.begin(), ledger->parts_.end(),
                                  [this](const Part &part) { return mayGrant(part); });
    if (own != ledger->parts_.end())
        own->share_->refund(charge, clock_.now());
}

std::vector<std::string> QuotaParts::otherOwners(const std::string &workspace) const
{
    std::vector<std::string> owners;
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end())
        return owners;
    for (const Part &part : it->second.parts_) {
        const std::string &owner = part.row_.owner_;
        const bool isListed = std::find(owners.begin(), owners.end(), owner) != owners.end();
        if (owner != self_.name_ && answering_.contains(owner) && !isListed)
            owners.push_back(owner);
    }
    return owners;
}

std::set<std::string> QuotaParts::allOtherOwners() const
{
    std::set<std::string> owners;
    for (const auto &[workspace, ledger] : ledgers_) {
        for (const Part &part : ledger.parts_) {
            if (!part.row_.owner_.empty() && part.row_.owner_ != self_.name_)
                owners.insert(part.row_.owner_);
        }
    }
    return owners;
}

void QuotaParts::setOwnerAnswering(const std::string &owner, bool isAnswering)
{
    if (isAnswering)
        answering_.insert(owner);
    else
        answering_.erase(owner);
}

void QuotaParts::applyRow(Part &part, const StoreRow &row)
{
    if (part.changedAt_ != TimePoint{} && row.version_ == part.version_)
        return;
    part.row_ = PartRow::decode(row.value_);
    part.version_ = row.version_;
    part.changedAt_ = clock_.now();
    part.isDoubtful_ = false;
    if (part.row_.owner_ != self_.name_) {
        // Another entry may grant from the part, so this one must not any more.
        part.share_.reset();
        part.grantUntil_ = TimePoint{};
    }
}

void QuotaParts::applyAbsence(Part &part, std::int64_t storeVersion)
{
    const bool isNews = part.changedAt_ == TimePoint{} || part.version_ != 0;
    if (!isNews || storeVersion < part.version_)
        return;
    part = Part();
    part.changedAt_ = clock_.now();
}

// Applies the row of a store that has come back from a copy, null if it has none. The copy's row
// may be older than the one that is known.
void QuotaParts::applyCopy(Part &part, const StoreRow *row)
{
    const TimePoint now = clock_.now();
    const PartRow copy = row != nullptr ? PartRow::decode(row->value_) : PartRow();
    const bool isNewer = row != nullptr && copy.counter_ > part.row_.counter_;
    part.version_ = row != nullptr ? row->version_ : 0;
    if (isNewer)
        part.row_ = copy;
    part.changedAt_ = now;
    if (isNewer && part.row_.owner_ != self_.name_) {
        part.share_.reset();
        part.grantUntil_ = TimePoint{};
    }
    part.isDoubtful_ = !mayGrant(part);
    part.renewAt_ = now;
}

void QuotaParts::update(const StoreRows &rows)
{
    if (rows.position_.era_ < era())
        return;
    const TimePoint now = clock_.now();
    const bool isRestored = era_ && rows.position_.era_ > *era_;
    era_ = rows.position_.era_;
    if (isRestored) {
        restoredAt_ = now;
        recordDueAt_ = now;
    }
    needsRead_ = false;
    records_.update(rows.rows_, now);
    std::map<std::string, const StoreRow *> byKey;
    for (const StoreRow &row : rows.rows_)
        byKey[row.key_] = &row;
    for (auto &[workspace, ledger] : ledgers_) {
        for (int i = 0; i < sizeOf(ledger.parts_); ++i) {
            Part &part = ledger.parts_[static_cast<std::size_t>(i)];
            const auto row = byKey.find(PartRow::keyOf(workspace, i));
            if (isRestored)
                applyCopy(part, row == byKey.end() ? nullptr : row->second);
            else if (row == byKey.end())
                applyAbsence(part, rows.position_.version_);
            else if (row->second->version_ >= part.version_) // a read may lag behind a write
                applyRow(part, *row->second);
        }
    }
    order_ = DutyOrder(entriesInService());
}

void QuotaParts::updateSome(const StoreRows &rows)
{
    for (auto &[workspace, ledger] : ledgers_) {
        for (int i = 0; i < sizeOf(ledger.parts_); ++i) {
            const std::string key = PartRow::keyOf(workspace, i);
            const auto row = std::find_if(rows.rows_.begin(), rows.rows_.end(),
                                          [&key](const StoreRow &r) { return r.key_ == key; });
            if (row != rows.rows_.end())
                applyRow(ledger.parts_[static_cast<std::size_t>(i)], *row);
        }
    }
}

// Returns the latest time at which the part's owner may have sent the write that its row shows.
TimePoint QuotaParts::renewedAt(const Part &part) const
{
    const TimePoint renewed =
        std::min(storeClock_.latestLocal(part.row_.renewedAtMs_).value_or(TimePoint::max()),
                 part.changedAt_);
    return part.isDoubtful_ ? std::max(renewed, restoredAt_) : renewed;
}

// Returns a time since which no entry has granted from the part; nullopt if none ever has. For a
// part that this entry is about to take, or to resume after a restart.
std::optional<TimePoint> QuotaParts::unusedSince(const Ledger &ledger, int index) const
{
    const bool hasRows = std::any_of(ledger.parts_.begin(), ledger.parts_.end(),
                                     [](const Part &part) { return part.version_ != 0; });
    if (!hasRows)
        return std::nullopt;
    const Part &part = ledger.parts_[static_cast<std::size_t>(index)];
    const TimePoint renewed = renewedAt(part);
    if (part.isDoubtful_)
        return renewed + termsOf(index).grantFor_;
    if (part.row_.owner_.empty())
        return renewed; // when it was given up
    if (part.row_.owner_ != self_.name_)
        return renewed + termsOf(index).grantFor_;
    // A row from before the start was written by a predecessor, which had ended by then.
    return renewed < startedAt_ ? startedAt_ : part.changedAt_;
}

// Returns the processor shares of the entries that are alive, without those that have let a term
// run out: a takeover need not wait for their turn.
std::map<std::string, std::int64_t> QuotaParts::entriesInService() const
{
    const TimePoint now = clock_.now();
    std::map<std::string, std::int64_t> entries = records_.alive(now);
    for (const auto &[workspace, ledger] : ledgers_) {
        for (const Part &part : ledger.parts_) {
            if (part.row_.owner_ != self_.name_
                && renewedAt(part) + kShortTerms.reclaimAfter_ <= now)
                entries.erase(part.row_.owner_);
        }
    }
    return entries;
}

std::optional<TimePoint> QuotaParts::takeAt(const std::string &workspace, int part) const
{
    const Part &known = ledgers_.at(workspace).parts_[static_cast<std::size_t>(part)];
    const std::optional<int> rank = order_.rankOf(self_.name_, workspace, part);
    if (!rank || known.changedAt_ == TimePoint{})
        return std::nullopt;
    const Duration turn = kSuccessionStep * *rank;
    if (known.row_.owner_.empty() && !known.isDoubtful_)
        return std::max(startedAt_ + kSettleTime, known.changedAt_) + turn;
    return renewedAt(known) + termsOf(part).reclaimAfter_ + turn;
}

std::optional<PartRow> QuotaParts::nextRow(const std::string &workspace, int index)
{
    const TimePoint now = clock_.now();
    Part &part = ledgers_.at(workspace).parts_[static_cast<std::size_t>(index)];
    const bool isOwn = part.row_.owner_ == self_.name_ && !part.isDoubtful_;
    if (isReleasing_) {
        part.share_.reset();
        part.grantUntil_ = TimePoint{};
        if (!isOwn)
            return std::nullopt;
        return PartRow{"", part.row_.counter_ + 1, storeClock_.latest(sentAt_)};
    }
    const std::optional<TimePoint> dueAt = isOwn ? part.renewAt_ : takeAt(workspace, index);
    if (!dueAt || now < *dueAt)
        return std::nullopt;
    return PartRow{self_.name_, part.row_.counter_ + 1, storeClock_.latest(sentAt_)};
}

bool QuotaParts::hasQuota() const
{
    return std::any_of(ledgers_.begin(), ledgers_.end(),
                       [](const auto &entry) { return entry.second.quota_.rate_ != 0; });
}

void QuotaParts::planRecord(StoreWrite &write)
{
    const TimePoint now = clock_.now();
    const std::string key = EntryRecords::keyOf(self_.name_);
    if (isReleasing_) {
        if (!write.puts_.empty())
            write.removes_.push_back(rowAt(key, 0));
        return;
    }
    if (now < recordDueAt_)
        return;
    isRecordPlanned_ = true;
    write.puts_.push_back(
        rowAt(key, 0, EntryRecords::encode({++recordCounter_, self_.milliCores_})));
    // One entry removes the records of entries that are gone.
    if (order_.rankOf(self_.name_, "", 0) != 0)
        return;
    for (const auto &[entry, version] : records_.expired(now)) {
        write.expected_.push_back(rowAt(EntryRecords::keyOf(entry), version));
        write.removes_.push_back(rowAt(EntryRecords::keyOf(entry), 0));
        return;
    }
}

void QuotaParts::planPart(StoreWrite &write, const std::string &workspace, int index,
                          const PartRow &next)
{
    const auto position = static_cast<std::size_t>(index);
    const std::string key = PartRow::keyOf(workspace, index);
    const Ledger &ledger = ledgers_.at(workspace);
    write.expected_.push_back(rowAt(key, ledger.parts_[position].version_));
    write.puts_.push_back(rowAt(key, 0, next.encode()));
    planned_.push_back({workspace, position, next, unusedSince(ledger, index)});
}

std::optional<StoreWrite> QuotaParts::plan()
{
    planned_.clear();
    isRecordPlanned_ = false;
    sentAt_ = clock_.now();
    if (!hasQuota())
        return std::nullopt;
    StoreWrite write;
    for (auto &[workspace, ledger] : ledgers_) {
        for (int i = 0; ledger.quota_.rate_ != 0 && i < sizeOf(ledger.parts_); ++i) {
            if (planned_.size() >= kMaxPartsPerWrite)
                break;
            if (const std::optional<PartRow> next = nextRow(workspace, i))
                planPart(write, workspace, i, *next);
        }
    }
    planRecord(write);
    if (write.puts_.empty())
        return std::nullopt;
    return write;
}

void QuotaParts::finishWrite(WriteOutcome outcome, std::int64_t version)
{
    if (outcome == WriteOutcome::Unknown)
        needsRead_ = true;
    if (outcome != WriteOutcome::Applied)
        return;
    if (isRecordPlanned_)
        recordDueAt_ = sentAt_ + kRecordInterval;
    for (const Planned &planned : planned_) {
        const auto it = ledgers_.find(planned.workspace_);
        // The configuration may have changed meanwhile.
        if (it == ledgers_.end())
            continue;
        if (planned.part_ >= it->second.parts_.size())
            continue;
        Part &part = it->second.parts_[planned.part_];
        part.row_ = planned.row_;
        part.version_ = version;
        part.changedAt_ = clock_.now();
        part.isDoubtful_ = false;
        if (planned.row_.owner_ == self_.name_)
            startGrants(planned);
    }
    // More parts may be due than one write takes.
    needsRead_ = needsRead_ || planned_.size() >= kMaxPartsPerWrite;
    planned_.clear();
}

void QuotaParts::startGrants(const Planned &planned)
{
    const TimePoint now = clock_.now();
    Ledger &ledger = ledgers_.at(planned.workspace_);
    Part &part = ledger.parts_[planned.part_];
    if (!part.share_) {
        part.share_.emplace(now);
        applyQuota(ledger, *part.share_);
        // Bounds on the store's clock may lie ahead of this one.
        part.share_->addUnused(
            planned.unusedSince_ ? std::max<Duration>(now - *planned.unusedSince_, Duration::zero())
                                 : Duration::max());
    }
    part.grantUntil_ = sentAt_ + termsOf(static_cast<int>(planned.part_)).grantFor_;
    part.renewAt_ = sentAt_ + kRenewInterval;
}

TimePoint QuotaParts::nextWriteAt() const
{
    if (!hasQuota())
        return TimePoint::max();
    TimePoint at = isReleasing_ ? TimePoint::max() : recordDueAt_;
    for (const auto &[workspace, ledger] : ledgers_) {
        if (ledger.quota_.rate_ == 0)
            continue;
        for (const Part &part : ledger.parts_) {
            if (part.row_.owner_ == self_.name_ && !part.isDoubtful_)
                at = std::min(at, isReleasing_ ? TimePoint{} : part.renewAt_);
        }
    }
    return at;
}

bool QuotaParts::hasUsableOwner(const Part &part) const
{
    return mayGrant(part) || answering_.contains(part.row_.owner_);
}

bool QuotaParts::lacksOwner() const
{
    return std::any_of(ledgers_.begin(), ledgers_.end(), [this](const auto &entry) {
        const Ledger &ledger = entry.second;
        return ledger.quota_.rate_ != 0
            && !std::all_of(ledger.parts_.begin(), ledger.parts_.end(),
                            [this](const Part &part) { return hasUsableOwner(part); });
    });
}

bool QuotaParts::isSuccessor() const
{
    for (const auto &[workspace, ledger] : ledgers_) {
        for (int i = 0; ledger.quota_.rate_ != 0 && i < sizeOf(ledger.parts_); ++i) {
            const std::optional<int> rank = order_.rankOf(self_.name_, workspace, i);
            if (rank && *rank < kSuccessors
                && !hasUsableOwner(ledger.parts_[static_cast<std::size_t>(i)]))
                return true;
        }
    }
    return false;
}

bool QuotaParts::canSpend() const
{
    return std::all_of(ledgers_.begin(), ledgers_.end(), [this](const auto &entry) {
        const Ledger &ledger = entry.second;
        return ledger.quota_.rate_ == 0
            || std::any_of(ledger.parts_.begin(), ledger.parts_.end(),
                           [this](const Part &part) { return hasUsableOwner(part); });
    });
}

int QuotaParts::entryCount() const
{
    return std::max(static_cast<int>(order_.size()), 1);
}

std::int64_t QuotaParts::unitsOf(const std::string &workspace) const
{
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end())
        return 0;
    return QuotaShare::kTotalUnits / sizeOf(it->second.parts_)
        * std::count_if(it->second.parts_.begin(), it->second.parts_.end(),
                        [this](const Part &part) { return mayGrant(part); });
}

std::vector<std::string> QuotaParts::ownersOf(const std::string &workspace) const
{
    std::vector<std::string> owners;
    const auto it = ledgers_.find(workspace);
    if (it == ledgers_.end())
        return owners;
    for (const Part &part : it->second.parts_)
        owners.push_back(part.row_.owner_);
    return owners;
}

} // namespace foxtailturn::quota
