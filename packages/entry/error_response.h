#pragma once

// HTTP error responses to callers.
//
//     const HttpError error = toHttpError(failure, requestId, clock.now());
//     // error.status_ == 429, error.body_ == {"error":{"type":...,"execution":"not_run",...}}

#include <optional>
#include <string>

#include "base/error.h"

namespace foxtailturn {

struct HttpError
{
    int status_ = 500;
    std::string body_; // JSON
    std::optional<std::int64_t> retryAfterSeconds_; // whole seconds, at least 1

    bool operator==(const HttpError &) const = default;
};

// Returns the status, JSON body and Retry-After value for an error. Thread-safe.
[[nodiscard]] HttpError toHttpError(const Error &error, const std::string &requestId,
                                    TimePoint now);

} // namespace foxtailturn
