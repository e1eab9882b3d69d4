#include "placement/cold_state.h"

namespace foxtailturn::placement {

std::string_view coldReasonName(ColdReason reason)
{
    switch (reason) {
    case ColdReason::Record:
        return "record";
    case ColdReason::Started:
        return "started";
    case ColdReason::Returned:
        return "returned";
    case ColdReason::Unreachable:
        return "unreachable";
    case ColdReason::LinkLost:
        return "link_lost";
    case ColdReason::Emptied:
        return "emptied";
    }
    return "";
}

void ColdState::presumeCold(TimePoint until, ColdReason reason)
{
    if (until <= coldUntil_)
        return;
    coldUntil_ = until;
    reason_ = reason;
}

} // namespace foxtailturn::placement
