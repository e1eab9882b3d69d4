#include "config/config_follower.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "config/content_json.h"

namespace foxtailturn {

namespace {

constexpr Duration kMinPollInterval = std::chrono::seconds(1);

// Half of the table service's 2,000 reads a second; leases, claims and operators use the rest.
constexpr std::size_t kPollsPerSecond = 1'000;

const Logger kLog("config");

} // namespace

Duration pollInterval(std::size_t processes)
{
    const Duration spread = kMinPollInterval * static_cast<std::int64_t>(processes)
        / static_cast<std::int64_t>(kPollsPerSecond);
    return std::max(kMinPollInterval, spread);
}

ConfigFollower::ConfigFollower(TableService &table, ObjectStore &objects, const Clock &clock,
                               FollowerSettings settings)
    : table_(table)
    , objects_(objects)
    , clock_(clock)
    , settings_(settings)
{ }

Result<bool> ConfigFollower::poll(TimePoint deadline)
{
    const TimePoint sentAt = clock_.now();
    std::uint64_t offersBefore = 0;
    {
        const std::lock_guard lock(mutex_);
        offersBefore = state_.offerCount_;
    }
    const Result<std::optional<RevisionRow>> row = readRow(deadline);
    if (!row)
        return tl::unexpected(row.error());
    if (!row->has_value())
        return snapshot() == nullptr
            ? Result<bool>(false)
            : notRun(ErrorCode::StaleConfiguration, "the store has lost row config/current");
    const RevisionEntry &newest = (*row)->entries_.front();
    noteRow(newest, sentAt, offersBefore);
    return isHeld(newest) ? Result<bool>(false) : fetch(newest, deadline);
}

Result<std::optional<RevisionRow>> ConfigFollower::readRow(TimePoint deadline)
{
    const Result<std::optional<Row>> found =
        table_.read(std::string(kCurrentRevisionKey), deadline);
    if (!found)
        return tl::unexpected(found.error());
    if (!found->has_value())
        return std::nullopt;
    return parseRevisionRow((*found)->value_).map([](RevisionRow row) {
        return std::optional(std::move(row));
    });
}

void ConfigFollower::noteRow(const RevisionEntry &row, TimePoint sentAt, std::uint64_t offersBefore)
{
    const std::lock_guard lock(mutex_);
    if (row.revision_ >= state_.row_.revision_)
        state_.row_ = row;
    // An offer that came before the read was sent, of a revision that the store doesn't have, was
    // wrong: accepted revisions are in the store.
    if (state_.offerCount_ == offersBefore)
        state_.offered_ = std::min(state_.offered_, row.revision_);
    if (!state_.store_ || state_.store_->sentAt_ <= sentAt)
        state_.store_ = Confirmation{row.revision_, sentAt};
    extendConfirmation();
}

bool ConfigFollower::isHeld(const RevisionEntry &row) const
{
    const std::lock_guard lock(mutex_);
    if (row.revision_ != state_.held())
        return row.revision_ < state_.held();
    return row.digest_ == state_.digest_;
}

Result<bool> ConfigFollower::fetch(const RevisionEntry &row, TimePoint deadline)
{
    const std::string name = contentObjectName(row.digest_);
    Result<std::optional<std::string>> text = objects_.get(name, deadline);
    if (!text)
        return tl::unexpected(text.error());
    if (!text->has_value())
        return notRun(ErrorCode::StaleConfiguration, concat("object ", name, " is missing"));
    return install({row.revision_, row.digest_, std::move(**text)});
}

Result<bool> ConfigFollower::offerContent(const ConfigOffer &offer)
{
    {
        const std::lock_guard lock(mutex_);
        if (offer.revision_ <= state_.held())
            return false;
    }
    return install(offer);
}

Result<bool> ConfigFollower::install(const ConfigOffer &offer)
{
    auto content = readConfiguration(offer.revision_, offer.digest_, offer.canonicalJson_);
    if (!content)
        return tl::unexpected(content.error());
    const std::lock_guard lock(mutex_);
    const bool isRow = offer.revision_ == state_.row_.revision_;
    if (isRow && offer.digest_ != state_.row_.digest_)
        return notRun(ErrorCode::InvalidConfiguration,
                      concat("revision ", offer.revision_, " has another digest in the store"));
    // Equal revisions with different digests mean that a peer's content was wrong; the store's
    // replaces it.
    const bool isCorrection =
        isRow && offer.revision_ == state_.held() && offer.digest_ != state_.digest_;
    if (offer.revision_ <= state_.held() && !isCorrection)
        return false;
    state_.content_ = std::move(*content);
    state_.digest_ = offer.digest_;
    rebuildSnapshot();
    extendConfirmation();
    kLog.info(concat("revision in force, revision=", offer.revision_));
    return true;
}

void ConfigFollower::rebuildSnapshot()
{
    std::erase_if(state_.pending_,
                  [this](const std::string &id) { return state_.content_->holdsWithdrawal(id); });
    state_.snapshot_ = state_.content_->withWithdrawals(state_.pending_);
    ++state_.changeCount_;
}

void ConfigFollower::offerRevision(std::uint64_t revision)
{
    const std::lock_guard lock(mutex_);
    if (revision <= state_.held())
        return;
    state_.offered_ = std::max(state_.offered_, revision);
    ++state_.offerCount_;
}

bool ConfigFollower::offerWithdrawals(const std::set<std::string> &keyIds)
{
    const std::lock_guard lock(mutex_);
    bool isNew = false;
    for (const std::string &id : keyIds) {
        if (state_.content_ && state_.content_->holdsWithdrawal(id))
            continue;
        isNew = state_.pending_.insert(id).second || isNew;
    }
    if (isNew && state_.content_)
        rebuildSnapshot();
    return isNew;
}

void ConfigFollower::confirmByWitnesses(std::uint64_t highestRevision, TimePoint sentAt)
{
    const std::lock_guard lock(mutex_);
    if (!state_.witnesses_ || state_.witnesses_->sentAt_ <= sentAt)
        state_.witnesses_ = Confirmation{highestRevision, sentAt};
    if (highestRevision > state_.held()) {
        state_.offered_ = std::max(state_.offered_, highestRevision);
        ++state_.offerCount_;
    }
    extendConfirmation();
}

void ConfigFollower::extendConfirmation()
{
    applyConfirmation(state_.store_);
    applyConfirmation(state_.witnesses_);
}

void ConfigFollower::applyConfirmation(const std::optional<Confirmation> &confirmation)
{
    const bool isHeldRevision =
        confirmation && state_.content_ && confirmation->revision_ <= state_.held();
    if (!isHeldRevision)
        return;
    // With another digest at the same revision, what is held isn't what was confirmed.
    if (state_.row_.revision_ == state_.held() && state_.row_.digest_ != state_.digest_)
        return;
    state_.confirmedUntil_ =
        std::max(state_.confirmedUntil_, confirmation->sentAt_ + settings_.confirmationLength_);
}

TimePoint ConfigFollower::confirmedUntil() const
{
    const std::lock_guard lock(mutex_);
    return state_.confirmedUntil_;
}

bool ConfigFollower::admitsKeyedRequests() const
{
    return clock_.now() < confirmedUntil();
}

std::shared_ptr<const Configuration> ConfigFollower::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return state_.snapshot_;
}

std::uint64_t ConfigFollower::changeCount() const
{
    const std::lock_guard lock(mutex_);
    return state_.changeCount_;
}

std::optional<std::uint64_t> ConfigFollower::missingRevision() const
{
    const std::lock_guard lock(mutex_);
    const std::uint64_t newest = std::max(state_.offered_, state_.row_.revision_);
    return newest > state_.held() ? std::optional(newest) : std::nullopt;
}

std::set<std::string> ConfigFollower::pendingWithdrawals() const
{
    const std::lock_guard lock(mutex_);
    return state_.pending_;
}

std::optional<ConfigOffer> ConfigFollower::offer() const
{
    std::shared_ptr<const Configuration> content;
    ConfigOffer result;
    {
        const std::lock_guard lock(mutex_);
        if (state_.content_ == nullptr)
            return std::nullopt;
        content = state_.content_;
        result.digest_ = state_.digest_;
    }
    result.revision_ = content->revision();
    result.canonicalJson_ = toCanonicalJson(content->content());
    return result;
}

} // namespace foxtailturn
