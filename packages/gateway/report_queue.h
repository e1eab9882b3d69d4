#pragma once

// Lines from sidecars that wait to be decoded. Of the reports of one engine that wait, only the
// newest state is handed on: a full report replaces those before it, and updates are applied
// before the state is handed on once.
//
//     ReportQueue queue(work, clock, {.onReport_ = [&](const std::string &engine,
//                                               const SidecarReport &report) { ... }, ...});
//     queue.add(engine, lines);
//     queue.erase(engine);            // its connection is lost
//
// Its memory is bounded by its users: they read on only when a source's lines are handled
// (onHandled_).

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/agent_messages.h"
#include "net/deferred_work.h"

namespace foxtailturn::gateway {

// Sources are the addresses of engines. Not thread-safe.
class ReportQueue final : public WorkSource
{
public:
    struct Handlers
    {
        // The oldest bytes of the report may have arrived at arrivedAt.
        std::function<void(const std::string &engine, const SidecarReport &report,
                           TimePoint arrivedAt)>
            onReport_;
        // Any other message.
        std::function<void(const std::string &engine, const AgentMessage &message)> onMessage_;
        // All lines of the engine are handled; the first of them has waited for this long.
        std::function<void(const std::string &engine, Duration wait)> onHandled_;
        // A full report can't be decoded, so that the engine's state is unknown.
        std::function<void(const std::string &engine)> onUnreadable_;
    };

    // Lines of one engine that are decoded before those of the next one.
    static constexpr int kMaxLinesPerTurn = 64;

    // work and the clock must outlive the queue.
    ReportQueue(DeferredWork &work, const Clock &clock, Handlers handlers);
    ~ReportQueue() override;
    ReportQueue(const ReportQueue &) = delete;
    ReportQueue &operator=(const ReportQueue &) = delete;

    // Adds lines without line feeds, whose bytes became ready at readySince or later. May be called
    // by a handler.
    void add(const std::string &engine, std::vector<std::string> lines, TimePoint readySince);
    void add(const std::string &engine, std::vector<std::string> lines)
    {
        add(engine, std::move(lines), clock_.now());
    }

    // Discards the lines and the state of an engine, whose next connection starts with a full
    // report. May be called by a handler.
    void erase(const std::string &engine);

    [[nodiscard]] bool isWaiting() const override { return !turns_.empty(); }
    [[nodiscard]] WorkKind kind() const override { return WorkKind::Reports; }
    void step() override;

private:
    struct Source
    {
        std::deque<std::string> others_; // messages other than reports
        std::deque<std::string> reports_; // full reports and updates
        SidecarReport state_;
        bool isChanged_ = false; // since it was handed on
        bool hasTurn_ = false;
        TimePoint waitsSince_{}; // the first line of the turn
        TimePoint readAt_{}; // the latest lines
        TimePoint handledAt_{}; // all lines before this turn
        int linesInTurn_ = 0;
    };

    void beginTurn(const std::string &engine, Source &source, TimePoint readySince);
    void decodeReport(const std::string &engine, Source &source);
    void endTurn(const std::string &engine, Source &source);

    DeferredWork &work_;
    const Clock &clock_;
    Handlers handlers_;
    std::map<std::string, Source> sources_; // by the engine's address
    std::deque<std::string> turns_; // engines with lines or with a state to hand on
};

} // namespace foxtailturn::gateway
