#include "base/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace foxtailturn {

namespace {

// A pipe that polls writable takes this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kAtomicWrite = 4096;

std::int64_t secondOf(UtcTime time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

std::size_t writeStandardOutput(std::string_view bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            break;
        const std::size_t size = std::min(kAtomicWrite, bytes.size() - written);
        const ssize_t count = ::write(STDOUT_FILENO, bytes.data() + written, size);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    return written;
}

EventLog::EventLog(std::string process, const WallClock &clock, Sink sink)
    : process_(std::move(process))
    , clock_(clock)
    , sink_(std::move(sink))
{ }

bool EventLog::admits(LogDetail detail, std::string_view kind)
{
    auto it = kinds_.find(kind);
    if (it == kinds_.end())
        it = kinds_.emplace(std::string(kind), KindCount()).first;
    KindCount &count = it->second;
    const std::int64_t second = secondOf(clock_.now());
    if (count.second_ != second) {
        count.second_ = second;
        count.written_ = 0;
    }
    const int cap = detail == LogDetail::Full ? kFullPerSecond : kSampledPerSecond;
    if (count.written_ < cap)
        return true;
    ++count.leftOut_;
    return false;
}

void EventLog::write(LogDetail detail, std::string_view kind, nlohmann::json fields)
{
    if (!admits(detail, kind))
        return;
    ++kinds_.find(kind)->second.written_;
    fields["kind"] = kind;
    fields["process"] = process_;
    fields["time_us"] = clock_.now().time_since_epoch().count();
    append(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EventLog::append(std::string_view line)
{
    if (queue_.size() + line.size() + 1 > kMostQueuedBytes) {
        ++dropped_;
        return;
    }
    queue_ += line;
    queue_ += '\n';
    constexpr std::size_t kWriteAt = 2048; // fewer, larger writes
    if (queue_.size() >= kWriteAt)
        drain();
}

void EventLog::drain()
{
    if (queue_.empty())
        return;
    queue_.erase(0, sink_(queue_));
}

void EventLog::flush()
{
    for (auto &[kind, count] : kinds_) {
        if (count.leftOut_ == 0)
            continue;
        const nlohmann::json line = {{"kind", "left_out"},
                                     {"process", process_},
                                     {"time_us", clock_.now().time_since_epoch().count()},
                                     {"of", kind},
                                     {"lines", count.leftOut_}};
        count.leftOut_ = 0;
        append(line.dump());
    }
    drain();
}

} // namespace foxtailturn
