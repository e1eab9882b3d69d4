#include "memory/body_buffer.h"

#include <algorithm>
#include <utility>

namespace foxtailturn::memory {

void BodyBuffer::append(std::string_view data)
{
    while (!data.empty()) {
        const std::size_t size = std::min(data.size(), kBlockBytes - last_.size());
        if (!last_.empty())
            last_.reserve(kBlockBytes);
        last_ += data.substr(0, size);
        data.remove_prefix(size);
        if (last_.size() == kBlockBytes) {
            full_.push_back(std::move(last_));
            last_ = std::string();
        }
    }
}

std::string BodyBuffer::take()
{
    if (full_.empty())
        return std::exchange(last_, std::string());
    std::string body;
    body.reserve(size());
    for (; !full_.empty(); full_.pop_front())
        body += full_.front();
    body += last_;
    last_ = std::string();
    return body;
}

void BodyBuffer::clear()
{
    full_.clear();
    last_ = std::string();
}

} // namespace foxtailturn::memory
