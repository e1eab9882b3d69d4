#include "config/revision_row.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

// At 430 changes a day this covers about an hour of lost answers; the row stays under 4 KB.
constexpr std::size_t kMaxEntries = 20;

Json toJson(const RevisionEntry &entry)
{
    return {{"revision", entry.revision_},
            {"object", contentObjectName(entry.digest_)},
            {"digest", entry.digest_},
            {"attempt", entry.attempt_}};
}

RevisionEntry readEntry(JsonObject &object)
{
    RevisionEntry entry;
    entry.revision_ = static_cast<std::uint64_t>(object.integer("revision", {.min_ = 1}));
    entry.digest_ = object.string("digest");
    entry.attempt_ = object.string("attempt");
    if (object.string("object") != contentObjectName(entry.digest_))
        object.fail("object", "doesn't belong to the digest");
    return entry;
}

} // namespace

std::uint64_t RevisionRow::revision() const
{
    return entries_.empty() ? 0 : entries_.front().revision_;
}

std::string RevisionRow::digest() const
{
    return entries_.empty() ? "" : entries_.front().digest_;
}

RevisionRow RevisionRow::advanced(std::string digest, std::string attempt) const
{
    RevisionRow next;
    next.entries_.push_back({revision() + 1, std::move(digest), std::move(attempt)});
    const std::size_t kept = std::min(entries_.size(), kMaxEntries - 1);
    next.entries_.insert(next.entries_.end(), entries_.begin(),
                         entries_.begin() + static_cast<std::ptrdiff_t>(kept));
    return next;
}

const RevisionEntry *RevisionRow::findAttempt(std::string_view attempt) const
{
    const auto it = std::ranges::find(entries_, attempt, &RevisionEntry::attempt_);
    return it == entries_.end() ? nullptr : &*it;
}

bool RevisionRow::remembers(std::uint64_t revision) const
{
    return entries_.empty() || entries_.back().revision_ <= revision;
}

std::string contentObjectName(std::string_view digest)
{
    return concat("config/", digest);
}

std::string toJson(const RevisionRow &row)
{
    Json json = row.entries_.empty() ? Json::object() : toJson(row.entries_.front());
    Json earlier = Json::array();
    for (std::size_t i = 1; i < row.entries_.size(); ++i)
        earlier.push_back(toJson(row.entries_[i]));
    json["earlier"] = std::move(earlier);
    return json.dump();
}

Result<RevisionRow> parseRevisionRow(std::string_view text)
{
    const Result<Json> json = parseJson(text, kCurrentRevisionKey);
    if (!json)
        return tl::unexpected(json.error());
    JsonObject object(*json, std::string(kCurrentRevisionKey));
    RevisionRow row;
    row.entries_.push_back(readEntry(object));
    const Json &earlier = object.child("earlier");
    if (!earlier.is_array())
        object.fail("earlier", "must be a list");
    if (object.error())
        return tl::unexpected(*object.error());
    for (const Json &item : earlier) {
        JsonObject entry(item, object.fieldPath("earlier"));
        row.entries_.push_back(readEntry(entry));
        if (entry.error())
            return tl::unexpected(*entry.error());
    }
    return row;
}

} // namespace foxtailturn
