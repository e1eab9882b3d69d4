#pragma once

// The state of one request as it passes through the filter chain and the forwarder.

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "config/configuration.h"
#include "entry/caller_key.h"
#include "entry/token_limiter.h"

namespace foxtailturn {

// A request as the caller sent it.
struct CallerRequest
{
    std::string id_;
    std::string method_;
    std::string path_; // without the query
    std::string query_;
    HeaderMap headers_;
    std::string body_;

    bool operator==(const CallerRequest &) const = default;
};

// Filled by the filters in chain order; a filter may rely on the fields that earlier ones have set.
// Pointers point into configuration_.
struct RequestContext
{
    CallerRequest request_;
    std::shared_ptr<const Configuration> configuration_;
    TimePoint deadline_ = TimePoint::max();
    const Route *route_ = nullptr;
    const Key *key_ = nullptr; // null on open routes
    const Workspace *workspace_ = nullptr; // null on open routes
    const AdapterVersion *adapter_ = nullptr; // null for plain services
    std::string idempotencyKey_;
    std::string targetPath_; // path and query as the target sees them
    std::string targetBody_;
    bool streaming_ = false;
    std::uint64_t maxTokens_ = 0; // upper bound of prompt and answer together
    std::string fingerprint_; // digest of workspace, route, path and body
    bool solo_ = false; // suspected of crashing targets, so it runs alone on its target
    std::unique_ptr<TokenReservation> reservation_; // null on open routes
};

} // namespace foxtailturn
