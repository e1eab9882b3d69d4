#pragma once

// Answers to callers for failures.
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

// Returns status, JSON body and Retry-After of a failure. Thread-safe.
[[nodiscard]] HttpError toHttpError(const Error &error, const std::string &requestId,
                                    TimePoint now);

} // namespace foxtailturn
