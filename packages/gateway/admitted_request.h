#pragma once

// A request of a caller that an entry has taken on.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/serving_config.h"
#include "http1/message.h"
#include "retry/suspect_record.h"

namespace foxtailturn::gateway {

struct AdmittedRequest
{
    MessageHead head_;
    std::string body_;
    CallerRequest caller_;
    std::shared_ptr<const ServingConfig> config_;
    const Route *route_ = nullptr; // in config_
    std::string service_;
    std::string workspace_;
    int priority_ = 0;
    std::int64_t charge_ = 0; // quota tokens (or requests) that the request costs its workspace
    bool needsGrant_ = false; // the entry's own parts of the quota do not cover the charge
    std::vector<Suspect>
        suspects_; // the request itself, and the parts of its prompt that it shares
    TimePoint receivedAt_{};
    TimePoint deadline_{};
};

} // namespace foxtailturn::gateway
