#include "placement/prompt_work.h"

#include <algorithm>
#include <numeric>

namespace foxtailturn::placement {

namespace {

constexpr std::size_t kMaxPrompts = 256; // more than an engine queues

} // namespace

void PromptWork::add(Duration readTime, TimePoint now)
{
    if (prompts_.size() == kMaxPrompts)
        prompts_.pop_front();
    prompts_.push_back({readTime, now});
    endsAt_ = std::max(endsAt_, now) + readTime;
}

void PromptWork::onEngineReport(int unread, TimePoint now)
{
    const auto count = static_cast<std::size_t>(std::max(unread, 0));
    while (prompts_.size() > count && prompts_.front().sentAt_ + kSendTime <= now)
        prompts_.pop_front();
    const Duration all =
        std::accumulate(prompts_.begin(), prompts_.end(), Duration::zero(),
                        [](Duration sum, const Prompt &prompt) { return sum + prompt.readTime_; });
    // The first one may be read in part.
    const Duration first = prompts_.empty() ? Duration::zero() : prompts_.front().readTime_;
    endsAt_ = std::clamp(endsAt_, now + all - first, now + all);
}

Duration PromptWork::left(TimePoint now) const
{
    return std::max(endsAt_ - now, Duration::zero());
}

} // namespace foxtailturn::placement
