#include "config/problem.h"

#include <string_view>

#include "base/log.h"

namespace foxtailturn {

std::string placeText(const Place &place)
{
    std::string text = place.file_;
    if (place.line_ > 0)
        text += concat(":", place.line_);
    if (!text.empty() && !place.field_.empty())
        text += ": ";
    text += place.field_;
    return place.context_.empty() ? text : concat(text, " (", place.context_, ")");
}

std::string problemText(const Problem &problem)
{
    const std::string_view separator = problem.place_.field_.empty() ? ": " : " ";
    const std::string text = concat(placeText(problem.place_), separator, problem.text_);
    return problem.other_ ? concat(text, "; see ", placeText(*problem.other_)) : text;
}

Error problemError(const Problem &problem)
{
    return Error{ErrorCode::InvalidConfiguration, Execution::NotRun, problemText(problem)};
}

} // namespace foxtailturn
