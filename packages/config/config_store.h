#pragma once

// Publishes configuration revisions through the table and object service.
//
//     ConfigStore store(table, objects, clock);
//     PublishResult result = store.publish(rendered.content_, 6, deadline);
//     if (!result && result.error().error_.code_ == ErrorCode::StoreConflict)
//         std::cerr << "revision " << result.error().currentRevision_ << " is in force\n";
//
// The content is written first, as an object named by its digest, then the row `config/current` by
// a conditional write. A failure between the two leaves an object that no row names, which is
// harmless.

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "config/configuration.h"
#include "config/revision_row.h"
#include "storage/platform.h"

namespace foxtailturn {

struct Published
{
    std::uint64_t revision_ = 0;
    bool isChanged_ = false; // false: the content was already in force, nothing was written

    bool operator==(const Published &) const = default;
};

struct PublishFailure
{
    Error error_;
    std::uint64_t currentRevision_ = 0; // as last read; 0 when unknown or none

    bool operator==(const PublishFailure &) const = default;
};

using PublishResult = tl::expected<Published, PublishFailure>;

// Thread-safe: it has no state of its own.
class ConfigStore
{
public:
    // Waits between two attempts; tests pass one that moves a ManualClock.
    using Pause = std::function<void(Duration)>;

    // All three must outlive this object.
    ConfigStore(TableService &table, ObjectStore &objects, const Clock &clock, Pause pause = {});

    // Returns the row; one without entries when nothing was published yet. Errors:
    // StoreUnavailable, InvalidConfiguration.
    [[nodiscard]] Result<RevisionRow> revisions(TimePoint deadline);

    // Returns the configuration in force; null when nothing was published yet. Errors:
    // StoreUnavailable, StaleConfiguration when the object is missing, InvalidConfiguration.
    [[nodiscard]] Result<std::shared_ptr<const Configuration>> load(TimePoint deadline);

    // Publishes the content as revision expectedRevision + 1, with the keys that withCurrentKeys()
    // carries over. Errors: InvalidConfiguration; StoreConflict (NotRun) when another revision is
    // in force; StoreUnavailable, OutcomeUnknown when a lost answer could not be settled by reading
    // back before the deadline.
    [[nodiscard]] PublishResult publish(ConfigurationContent content,
                                        std::uint64_t expectedRevision, TimePoint deadline);

    // Withdraws the keys in the revision in force; retried on conflict until the deadline. Keys
    // that the revision doesn't have are skipped. Errors as publish().
    [[nodiscard]] PublishResult withdrawKeys(const std::set<std::string> &keyIds,
                                             TimePoint deadline);

    // Adds a key to the revision in force; retried on conflict until the deadline. Adding the same
    // key again changes nothing. Errors as publish().
    [[nodiscard]] PublishResult addKey(const Key &key, TimePoint deadline);

private:
    struct State;
    using Edit = std::function<Result<ConfigurationContent>(ConfigurationContent)>;

    Result<State> read(TimePoint deadline);
    Result<std::shared_ptr<const Configuration>> fetch(const RevisionRow &row, TimePoint deadline);
    PublishResult edit(const Edit &change, TimePoint deadline);
    PublishResult write(const State &state, ConfigurationContent content, TimePoint deadline);
    PublishResult writeRow(const State &state, const RevisionRow &next, TimePoint deadline);

    TableService &table_;
    ObjectStore &objects_;
    const Clock &clock_;
    Pause pause_;
};

} // namespace foxtailturn
