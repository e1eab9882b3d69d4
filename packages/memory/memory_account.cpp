#include "memory/memory_account.h"

namespace foxtailturn::memory {

std::string_view memoryKindName(MemoryKind kind)
{
    switch (kind) {
    case MemoryKind::UnfinishedRequest:
        return "unfinished_request";
    case MemoryKind::Request:
        return "request";
    case MemoryKind::TargetAnswer:
        return "target_answer";
    case MemoryKind::UnsentAnswer:
        return "unsent_answer";
    }
    return "unknown";
}

void MemoryAccount::change(MemoryKind kind, std::size_t before, std::size_t after)
{
    std::size_t &held = held_[static_cast<std::size_t>(kind)];
    held = held - before + after;
    total_ = total_ - before + after;
}

} // namespace foxtailturn::memory
