#include "config/config_store.h"

#include <optional>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "config/content_json.h"
#include "config/key_merge.h"

namespace foxtailturn {

namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(100);

const std::string kRowKey(kCurrentRevisionKey);

tl::unexpected<PublishFailure> failure(Error error, std::uint64_t currentRevision = 0)
{
    return tl::unexpected(PublishFailure{std::move(error), currentRevision});
}

tl::unexpected<PublishFailure> conflict(std::uint64_t expected, std::uint64_t current)
{
    return failure(
        Error{ErrorCode::StoreConflict, Execution::NotRun,
              concat("expected revision ", expected, ", but revision ", current, " is in force")},
        current);
}

void sleepFor(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace

// The row as read, and the version that a write has to expect.
struct ConfigStore::State
{
    RevisionRow row_;
    RowVersion version_ = kAbsent;
};

ConfigStore::ConfigStore(TableService &table, ObjectStore &objects, const Clock &clock, Pause pause)
    : table_(table)
    , objects_(objects)
    , clock_(clock)
    , pause_(pause ? std::move(pause) : sleepFor)
{ }

Result<ConfigStore::State> ConfigStore::read(TimePoint deadline)
{
    const Result<std::optional<Row>> found = table_.read(kRowKey, deadline);
    if (!found)
        return tl::unexpected(found.error());
    if (!found->has_value())
        return State{};
    Result<RevisionRow> row = parseRevisionRow((*found)->value_);
    if (!row)
        return tl::unexpected(row.error());
    return State{std::move(*row), (*found)->version_};
}

Result<RevisionRow> ConfigStore::revisions(TimePoint deadline)
{
    return read(deadline).map([](State state) { return std::move(state.row_); });
}

Result<std::shared_ptr<const Configuration>> ConfigStore::load(TimePoint deadline)
{
    const Result<State> state = read(deadline);
    if (!state)
        return tl::unexpected(state.error());
    return fetch(state->row_, deadline);
}

Result<std::shared_ptr<const Configuration>> ConfigStore::fetch(const RevisionRow &row,
                                                                TimePoint deadline)
{
    if (row.entries_.empty())
        return std::shared_ptr<const Configuration>();
    const std::string name = contentObjectName(row.digest());
    const Result<std::optional<std::string>> text = objects_.get(name, deadline);
    if (!text)
        return tl::unexpected(text.error());
    if (!text->has_value())
        return notRun(ErrorCode::StaleConfiguration, concat("object ", name, " is missing"));
    return readConfiguration(row.revision(), row.digest(), **text);
}

PublishResult ConfigStore::publish(ConfigurationContent content, std::uint64_t expectedRevision,
                                   TimePoint deadline)
{
    const Result<State> state = read(deadline);
    if (!state)
        return failure(state.error());
    if (state->row_.revision() != expectedRevision)
        return conflict(expectedRevision, state->row_.revision());
    const auto current = fetch(state->row_, deadline);
    if (!current)
        return failure(current.error(), expectedRevision);
    if (*current) {
        Result<ConfigurationContent> merged =
            withCurrentKeys(std::move(content), (*current)->content());
        if (!merged)
            return failure(merged.error(), expectedRevision);
        content = std::move(*merged);
    }
    return write(*state, std::move(content), deadline);
}

PublishResult ConfigStore::withdrawKeys(const std::set<std::string> &keyIds, TimePoint deadline)
{
    const auto change = [&](ConfigurationContent content) -> Result<ConfigurationContent> {
        withdrawIn(content, keyIds);
        return content;
    };
    return edit(change, deadline);
}

PublishResult ConfigStore::addKey(const Key &key, TimePoint deadline)
{
    const auto change = [&](ConfigurationContent content) -> Result<ConfigurationContent> {
        ConfigurationContent added = content;
        added.keys_ = {key};
        // Merging into the single key refuses an id that stands for another secret.
        Result<ConfigurationContent> merged = withCurrentKeys(std::move(added), content);
        if (!merged)
            return merged;
        std::erase_if(content.keys_, [&](const Key &other) { return other.id_ == key.id_; });
        content.keys_.push_back(merged->keys_.front());
        return content;
    };
    return edit(change, deadline);
}

PublishResult ConfigStore::edit(const Edit &change, TimePoint deadline)
{
    while (true) {
        const Result<State> state = read(deadline);
        if (!state)
            return failure(state.error());
        const std::uint64_t revision = state->row_.revision();
        const auto current = fetch(state->row_, deadline);
        if (!current)
            return failure(current.error(), revision);
        if (*current == nullptr)
            return failure(Error{ErrorCode::InvalidConfiguration, Execution::NotRun,
                                 "no configuration was published yet"});
        Result<ConfigurationContent> next = change((*current)->content());
        if (!next)
            return failure(next.error(), revision);
        PublishResult result = write(*state, std::move(*next), deadline);
        const bool isConflict = !result && result.error().error_.code_ == ErrorCode::StoreConflict;
        if (!isConflict || clock_.now() >= deadline)
            return result;
    }
}

PublishResult ConfigStore::write(const State &state, ConfigurationContent content,
                                 TimePoint deadline)
{
    const std::uint64_t revision = state.row_.revision();
    const auto configuration = Configuration::create(revision + 1, std::move(content));
    if (!configuration)
        return failure(configuration.error(), revision);
    const std::string text = toCanonicalJson((*configuration)->content());
    const std::string digest = contentDigest(text);
    if (digest == state.row_.digest())
        return Published{revision, false};
    const Result<void> stored = objects_.put(contentObjectName(digest), text, deadline);
    if (!stored) {
        // Whether or not the object was stored: without the row nothing is in force.
        Error error = stored.error();
        error.execution_ = Execution::NotRun;
        return failure(std::move(error), revision);
    }
    return writeRow(state, state.row_.advanced(digest, randomId()), deadline);
}

PublishResult ConfigStore::writeRow(const State &state, const RevisionRow &next, TimePoint deadline)
{
    const std::uint64_t revision = next.revision();
    const std::string &attempt = next.entries_.front().attempt_;
    const std::string value = toJson(next);
    bool mayHaveRun = false;
    while (true) {
        const Result<RowVersion> written = table_.write(kRowKey, value, state.version_, deadline);
        if (written)
            return Published{revision, true};
        const bool isConflict = written.error().code_ == ErrorCode::StoreConflict;
        mayHaveRun = mayHaveRun || written.error().execution_ == Execution::OutcomeUnknown;
        if (!isConflict && !mayHaveRun)
            return failure(written.error(), state.row_.revision());
        const Result<State> now = read(deadline);
        if (now && now->row_.findAttempt(attempt) != nullptr)
            return Published{revision, true};
        // A row with another version refuses the write for ever, so a late one can't take effect.
        const bool isReplaced = now && now->version_ != state.version_;
        if (isReplaced && (!mayHaveRun || now->row_.remembers(revision)))
            return conflict(state.row_.revision(), now->row_.revision());
        if (isReplaced || clock_.now() >= deadline) {
            const auto execution = mayHaveRun ? Execution::OutcomeUnknown : Execution::NotRun;
            return failure(Error{ErrorCode::StoreUnavailable, execution,
                                 concat("it could not be read back whether revision ", revision,
                                        " was accepted; see status")});
        }
        pause_(kRetryPause);
    }
}

} // namespace foxtailturn
