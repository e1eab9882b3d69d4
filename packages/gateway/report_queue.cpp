#include "gateway/report_queue.h"

#include <algorithm>
#include <utility>

namespace foxtailturn::gateway {

namespace {

// What encode() writes; other processes of the system write nothing else.
constexpr std::string_view kFullReportStart = R"({"report":)";
constexpr std::string_view kUpdateStart = R"({"update":)";

} // namespace

ReportQueue::ReportQueue(DeferredWork &work, const Clock &clock, Handlers handlers)
    : work_(work)
    , clock_(clock)
    , handlers_(std::move(handlers))
{
    work_.add(*this);
}

ReportQueue::~ReportQueue()
{
    work_.remove(*this);
}

void ReportQueue::add(const std::string &engine, std::vector<std::string> lines,
                      TimePoint readySince)
{
    Source &source = sources_[engine];
    for (std::string &line : lines) {
        if (line.empty())
            continue;
        if (line.starts_with(kFullReportStart)) {
            source.reports_.clear();
            source.reports_.push_back(std::move(line));
        } else if (line.starts_with(kUpdateStart)) {
            source.reports_.push_back(std::move(line));
        } else {
            source.others_.push_back(std::move(line));
        }
    }
    if (!source.hasTurn_)
        beginTurn(engine, source, readySince);
    source.readAt_ = clock_.now();
}

void ReportQueue::beginTurn(const std::string &engine, Source &source, TimePoint readySince)
{
    source.hasTurn_ = true;
    // The connection is not read before the lines of the last read are handled.
    const bool mayHaveWaitedUnread = source.handledAt_ >= readySince;
    source.waitsSince_ = mayHaveWaitedUnread ? std::min(readySince, source.readAt_) : readySince;
    source.linesInTurn_ = 0;
    turns_.push_back(engine);
}

void ReportQueue::erase(const std::string &engine)
{
    sources_.erase(engine);
    std::erase(turns_, engine);
}

void ReportQueue::step()
{
    const std::string engine = turns_.front(); // a handler may erase the engine
    Source &source = sources_[engine];
    const bool hasLine = !source.others_.empty() || !source.reports_.empty();
    if (hasLine && source.linesInTurn_ == kMaxLinesPerTurn) {
        source.linesInTurn_ = 0;
        turns_.pop_front();
        turns_.push_back(engine);
    } else if (!source.others_.empty()) {
        ++source.linesInTurn_;
        const std::string line = std::move(source.others_.front());
        source.others_.pop_front();
        handlers_.onMessage_(engine, decodeAgentMessage(line));
    } else if (!source.reports_.empty()) {
        ++source.linesInTurn_;
        decodeReport(engine, source);
    } else {
        endTurn(engine, source);
    }
}

void ReportQueue::decodeReport(const std::string &engine, Source &source)
{
    const std::string line = std::move(source.reports_.front());
    source.reports_.pop_front();
    AgentMessage message = decodeAgentMessage(line);
    if (message.report_) {
        source.state_ = std::move(*message.report_);
        source.isChanged_ = true;
    } else if (message.update_) {
        source.state_ = message.update_->applyTo(std::move(source.state_));
        source.isChanged_ = true;
    } else if (line.starts_with(kFullReportStart)) {
        // The reports that it replaced are gone.
        erase(engine);
        handlers_.onUnreadable_(engine);
    }
}

void ReportQueue::endTurn(const std::string &engine, Source &source)
{
    turns_.pop_front();
    source.hasTurn_ = false;
    const TimePoint arrivedAt = source.waitsSince_;
    source.handledAt_ = clock_.now();
    const Duration wait = source.handledAt_ - arrivedAt;
    if (std::exchange(source.isChanged_, false)) {
        SidecarReport state = std::move(source.state_);
        handlers_.onReport_(engine, state, arrivedAt);
        // The handler may have erased the engine.
        if (const auto it = sources_.find(engine); it != sources_.end())
            it->second.state_ = std::move(state);
    }
    handlers_.onHandled_(engine, wait);
}

} // namespace foxtailturn::gateway
