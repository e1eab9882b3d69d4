#include "retry/quarantine.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "retry/part_policy.h"

namespace foxtailturn {

Quarantine::Quarantine(std::string holder, const QuarantineClocks &clocks, Duration crashRetention)
    : holderId_(std::move(holder))
    , clocks_(clocks)
    , crashRetention_(crashRetention)
{ }

std::size_t Quarantine::shardIndex(const std::string &fingerprint)
{
    return hash64(fingerprint) % kShards;
}

SuspectRecord &Quarantine::findOrCreateRecord(Shard &shard, const Suspect &suspect, UtcTime now)
{
    SuspectRecord &record = shard.records_[suspect.fingerprint_];
    if (record.isExpired(now))
        record = SuspectRecord{.fingerprint_ = suspect.fingerprint_, .kind_ = suspect.kind_};
    return record;
}

Duration Quarantine::retentionOf(SuspectKind kind) const
{
    return kind == SuspectKind::PromptPart ? kPartRetention : crashRetention_;
}

Standing Quarantine::standingOf(const SuspectRecord &record) const
{
    const Standing standing = record.standing();
    if (record.kind_ == SuspectKind::Request || standing == Standing::Clear)
        return standing;
    const std::lock_guard lock(crashTimesMutex_);
    const bool isCause = isCauseOfCrashes(record, crashTimes_, retentionOf(record.kind_));
    return isCause ? Standing::Quarantined : Standing::Suspect;
}

void Quarantine::addCrashTimes(const SuspectRecord &record)
{
    const std::lock_guard lock(crashTimesMutex_);
    for (const auto &[id, crash] : record.crashes_)
        crashTimes_.try_emplace(id, crash.forgetAt_ - retentionOf(record.kind_));
}

Result<Standing> Quarantine::effectiveStanding(const SuspectRecord &record, UtcTime now) const
{
    std::optional<UtcTime> until = record.latestUnclearedExpiry();
    if (until && record.kind_ == SuspectKind::PromptPart)
        until = *until - (kPartRetention - kPartTerm);
    if (!until || *until <= now)
        return Standing::Clear;
    if (const Standing standing = standingOf(record); standing != Standing::Quarantined)
        return standing;
    return notRun(ErrorCode::Quarantined, "the request crashed its targets repeatedly",
                  clocks_.clock_.now() + (*until - now));
}

Result<Standing> Quarantine::admit(const std::string &fingerprint) const
{
    const Shard &shard = shards_[shardIndex(fingerprint)];
    const std::lock_guard lock(shard.mutex_);
    const auto it = shard.records_.find(fingerprint);
    if (it == shard.records_.end())
        return Standing::Clear;
    return effectiveStanding(it->second, clocks_.wallClock_.now());
}

SuspectRecord Quarantine::crashed(const Suspect &suspect, const std::string &crashId)
{
    Shard &shard = shards_[shardIndex(suspect.fingerprint_)];
    const UtcTime now = clocks_.wallClock_.now();
    const std::lock_guard lock(shard.mutex_);
    SuspectRecord &record = findOrCreateRecord(shard, suspect, now);
    record.crashes_.try_emplace(crashId, CrashMark{now + retentionOf(suspect.kind_)});
    addCrashTimes(record);
    return record;
}

std::optional<SuspectRecord> Quarantine::completed(const std::string &fingerprint)
{
    Shard &shard = shards_[shardIndex(fingerprint)];
    const std::lock_guard lock(shard.mutex_);
    const auto it = shard.records_.find(fingerprint);
    if (it == shard.records_.end() || it->second.standing() == Standing::Clear)
        return std::nullopt;
    for (auto &[id, crash] : it->second.crashes_)
        crash.isCleared_ = true;
    return it->second;
}

std::optional<SuspectRecord> Quarantine::requestRun(const std::string &fingerprint, UtcTime until)
{
    Shard &shard = shards_[shardIndex(fingerprint)];
    const UtcTime now = clocks_.wallClock_.now();
    const std::lock_guard lock(shard.mutex_);
    SuspectRecord &record = findOrCreateRecord(shard, {fingerprint}, now);
    RunMark &mark =
        record.runs_.try_emplace(holderId_, RunMark{0, RunState::Ended, now}).first->second;
    if (mark.state_ != RunState::Ended && mark.until_ > now)
        return std::nullopt;
    // A peer may still report a mark that this process set before it dropped the expired record.
    // Sequence numbers are at least the current time in microseconds, so a new mark is larger.
    const auto micros = static_cast<std::uint64_t>(now.time_since_epoch().count());
    mark = RunMark{std::max(mark.sequence_ + 1, micros), RunState::Waiting, until};
    return record;
}

bool Quarantine::hasPrecedence(const SuspectRecord &record, UtcTime now) const
{
    return std::none_of(record.runs_.begin(), record.runs_.end(), [&](const auto &entry) {
        const auto &[holder, run] = entry;
        if (holder == holderId_ || run.state_ == RunState::Ended || run.until_ <= now)
            return false;
        return run.state_ == RunState::Running || holder < holderId_;
    });
}

Result<bool> Quarantine::confirmRun(const std::string &fingerprint)
{
    Shard &shard = shards_[shardIndex(fingerprint)];
    const UtcTime now = clocks_.wallClock_.now();
    const std::lock_guard lock(shard.mutex_);
    SuspectRecord &record = findOrCreateRecord(shard, {fingerprint}, now);
    const Result<Standing> standing = effectiveStanding(record, now);
    if (!standing)
        return tl::unexpected(standing.error());
    const auto mark = record.runs_.find(holderId_);
    if (mark == record.runs_.end() || mark->second.state_ == RunState::Ended
        || mark->second.until_ <= now)
        return notRun(ErrorCode::DeadlineExceeded, "the time to run the suspect has passed");
    if (!hasPrecedence(record, now))
        return false;
    mark->second.state_ = RunState::Running;
    return true;
}

SuspectRecord Quarantine::endRun(const std::string &fingerprint)
{
    Shard &shard = shards_[shardIndex(fingerprint)];
    const UtcTime now = clocks_.wallClock_.now();
    const std::lock_guard lock(shard.mutex_);
    SuspectRecord &record = findOrCreateRecord(shard, {fingerprint}, now);
    if (const auto mark = record.runs_.find(holderId_); mark != record.runs_.end())
        mark->second.state_ = RunState::Ended;
    return record;
}

SuspectRecord Quarantine::merge(const SuspectRecord &report)
{
    Shard &shard = shards_[shardIndex(report.fingerprint_)];
    const UtcTime now = clocks_.wallClock_.now();
    if (report.isExpired(now))
        return report;
    const std::lock_guard lock(shard.mutex_);
    SuspectRecord &record = findOrCreateRecord(shard, {report.fingerprint_, report.kind_}, now);
    record.merge(report);
    addCrashTimes(report);
    return record;
}

std::optional<SuspectRecord> Quarantine::find(const std::string &fingerprint) const
{
    const Shard &shard = shards_[shardIndex(fingerprint)];
    const std::lock_guard lock(shard.mutex_);
    const auto it = shard.records_.find(fingerprint);
    return it == shard.records_.end() ? std::nullopt : std::optional(it->second);
}

void Quarantine::removeExpired()
{
    const UtcTime now = clocks_.wallClock_.now();
    {
        const std::lock_guard lock(crashTimesMutex_);
        std::erase_if(crashTimes_,
                      [now](const auto &crash) { return crash.second + kPartRetention <= now; });
    }
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex_);
        std::erase_if(shard.records_,
                      [now](const auto &entry) { return entry.second.isExpired(now); });
    }
}

std::vector<SuspectRecord> Quarantine::records()
{
    removeExpired();
    std::vector<SuspectRecord> unexpired;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex_);
        for (const auto &[fingerprint, record] : shard.records_)
            unexpired.push_back(record);
    }
    return unexpired;
}

} // namespace foxtailturn
