#include "gateway/answer_framing.h"

namespace foxtailturn::gateway {

BodyFraming callerFraming(BodyFraming target, AnswerBody body, bool canReadChunks)
{
    if (target == BodyFraming::None || target == BodyFraming::UntilClose)
        return target;
    if (body == AnswerBody::Whole)
        return BodyFraming::Length;
    if (body == AnswerBody::Plain && target == BodyFraming::Length)
        return BodyFraming::Length;
    return canReadChunks ? BodyFraming::Chunks : BodyFraming::UntilClose;
}

bool mayEnd(BodyFraming caller, BodyFraming target)
{
    return caller == BodyFraming::UntilClose || target != BodyFraming::UntilClose;
}

} // namespace foxtailturn::gateway
