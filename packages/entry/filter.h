#pragma once

// The filter chain that each request passes before it is forwarded.
//
//     FilterChain chain;
//     chain.add(std::make_unique<RouteFilter>(clock));
//     Result<void> passed = chain.apply(context);   // the first refusal ends the chain

#include <memory>
#include <vector>

#include "base/error.h"
#include "entry/request_context.h"

namespace foxtailturn {

// One step of the chain. Thread-safe.
class Filter
{
public:
    virtual ~Filter() = default;

    // Checks the request and adds to its context, or refuses it. All errors are NotRun.
    // Thread-safe for different contexts.
    [[nodiscard]] virtual Result<void> apply(RequestContext &context) const = 0;
};

class FilterChain
{
public:
    // Appends a filter. Not thread-safe; call it before the first request is processed.
    void add(std::unique_ptr<Filter> filter);

    // Runs the filters in order until one refuses. Thread-safe for different contexts.
    [[nodiscard]] Result<void> apply(RequestContext &context) const;

private:
    std::vector<std::unique_ptr<Filter>> filters_;
};

} // namespace foxtailturn
