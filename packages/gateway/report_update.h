#pragma once

// A sidecar's report as JSON, and the changes from one report to the next.
//
//     const Json changes = reportChanges(before, after);
//     known = ReportUpdate(changes).applyTo(std::move(known));

#include <utility>

#include "base/json.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

// The changes since a sidecar's last report.
class ReportUpdate
{
public:
    explicit ReportUpdate(Json fields)
        : fields_(std::move(fields))
    { }

    // Returns the given report with the changes applied. Fields of an unexpected type are ignored.
    [[nodiscard]] SidecarReport applyTo(SidecarReport before) const;

    bool operator==(const ReportUpdate &) const = default;

private:
    Json fields_; // changed fields; null for a model or adapter that was removed
};

// Returns all fields of the report. Thread-safe.
[[nodiscard]] Json reportToJson(const SidecarReport &sidecar);

// Returns the JSON merge patch (RFC 7396) from before to after: the fields of after that differ,
// and null for models and adapters that it lacks. Thread-safe.
[[nodiscard]] Json reportChanges(const SidecarReport &before, const SidecarReport &after);

// Returns a whole number as a count: at least 0, and bounded above. Precondition: it is an integer.
// Thread-safe.
[[nodiscard]] int boundedCount(const Json &number);

} // namespace foxtailturn::gateway
