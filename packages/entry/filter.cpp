#include "entry/filter.h"

#include <utility>

namespace foxtailturn {

void FilterChain::add(std::unique_ptr<Filter> filter)
{
    filters_.push_back(std::move(filter));
}

Result<void> FilterChain::apply(RequestContext &context) const
{
    for (const std::unique_ptr<Filter> &filter : filters_) {
        Result<void> passed = filter->apply(context);
        if (!passed)
            return passed;
    }
    return {};
}

} // namespace foxtailturn
