#pragma once

// Keeps a process at the newest configuration, from the store and from peers. It has no threads:
// a controller calls poll() about once per pollInterval(), and at once when missingRevision() is
// set; the peer service passes on what peers offer.
//
//     ConfigFollower follower(table, objects, clock, {.confirmationLength_ = 10s});
//     follower.poll(clock.now() + 1s);
//     if (follower.admitsKeyedRequests())
//         follower.snapshot()->findKey(secret);
//
// It never goes back to an older revision, and keeps the last good one when an object is missing or
// broken. Withdrawals offered by peers or operators apply on top of the content until a revision
// holds them.

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "config/configuration.h"
#include "config/revision_row.h"
#include "storage/platform.h"

namespace foxtailturn {

// Returns how often each of this many processes polls: at least a second apart, and so that all
// polls together use at most half of the table service's reads.
[[nodiscard]] Duration pollInterval(std::size_t processes);

struct FollowerSettings
{
    // How long after a confirmation keyed requests are admitted. It bounds for how long a process
    // that is cut off can honour a withdrawn key.
    Duration confirmationLength_ = std::chrono::seconds(10);

    bool operator==(const FollowerSettings &) const = default;
};

// A revision as passed between peers.
struct ConfigOffer
{
    std::uint64_t revision_ = 0;
    std::string digest_;
    std::string canonicalJson_;

    bool operator==(const ConfigOffer &) const = default;
};

// Thread-safe. No lock is held while the store is called.
class ConfigFollower
{
public:
    // The first three must outlive this object.
    ConfigFollower(TableService &table, ObjectStore &objects, const Clock &clock,
                   FollowerSettings settings);

    // Reads the row and, when it names a newer revision, its object. Returns whether the snapshot
    // changed. Errors: StoreUnavailable; StaleConfiguration when the object is missing or the row
    // is gone; InvalidConfiguration when row or object is broken. The snapshot stays on any error.
    Result<bool> poll(TimePoint deadline);

    // Notes that a peer knows of this revision; missingRevision() then tells it until the revision
    // is held, or until a poll sent later shows that the store has no such revision.
    void offerRevision(std::uint64_t revision);

    // Takes the content from a peer if it is newer. Returns whether the snapshot changed. Error:
    // InvalidConfiguration when the content is broken or isn't what the store's row names.
    Result<bool> offerContent(const ConfigOffer &offer);

    // Withdraws keys on top of the content. Returns whether any is new; the caller then passes them
    // on to its peers.
    bool offerWithdrawals(const std::set<std::string> &keyIds);

    // Notes that a majority of the witnesses answered a question sent at sentAt, and that the
    // newest revision that any of them knew is highestRevision.
    void confirmByWitnesses(std::uint64_t highestRevision, TimePoint sentAt);

    // Returns the deadline after which keyed requests must not be admitted. The epoch when the
    // revision was never confirmed.
    [[nodiscard]] TimePoint confirmedUntil() const;

    // Returns whether keyed requests may be admitted now.
    [[nodiscard]] bool admitsKeyedRequests() const;

    // Returns the configuration with all withdrawals; null before the first one.
    [[nodiscard]] std::shared_ptr<const Configuration> snapshot() const;

    // Returns a number that grows with every change of the snapshot, to find changes cheaply.
    [[nodiscard]] std::uint64_t changeCount() const;

    // Returns the newest revision known but not held, if any.
    [[nodiscard]] std::optional<std::uint64_t> missingRevision() const;

    // Returns the withdrawals that the held revision doesn't hold yet, for peers and for
    // ConfigStore::withdrawKeys().
    [[nodiscard]] std::set<std::string> pendingWithdrawals() const;

    // Returns the held revision for a peer; nullopt before the first. Serializes on each call,
    // since a stored copy would take as much memory as the configuration.
    [[nodiscard]] std::optional<ConfigOffer> offer() const;

private:
    // Newest revision that a source knew when it was asked.
    struct Confirmation
    {
        std::uint64_t revision_ = 0;
        TimePoint sentAt_;
    };

    struct State
    {
        std::shared_ptr<const Configuration> content_; // as published
        std::shared_ptr<const Configuration> snapshot_; // content_ with pending_
        std::string digest_;
        std::set<std::string> pending_;
        RevisionEntry row_; // newest row that was read
        std::optional<Confirmation> store_;
        std::optional<Confirmation> witnesses_;
        TimePoint confirmedUntil_;
        std::uint64_t offered_ = 0; // highest revision offered by peers
        std::uint64_t offerCount_ = 0;
        std::uint64_t changeCount_ = 0;

        [[nodiscard]] std::uint64_t held() const { return content_ ? content_->revision() : 0; }
    };

    Result<std::optional<RevisionRow>> readRow(TimePoint deadline);
    void noteRow(const RevisionEntry &row, TimePoint sentAt, std::uint64_t offersBefore);
    [[nodiscard]] bool isHeld(const RevisionEntry &row) const;
    Result<bool> fetch(const RevisionEntry &row, TimePoint deadline);
    Result<bool> install(const ConfigOffer &offer);
    void rebuildSnapshot();
    void extendConfirmation();
    void applyConfirmation(const std::optional<Confirmation> &confirmation);

    TableService &table_;
    ObjectStore &objects_;
    const Clock &clock_;
    const FollowerSettings settings_;
    mutable std::mutex mutex_;
    State state_;
};

} // namespace foxtailturn
