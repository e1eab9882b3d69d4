#pragma once

// Client of the platform's store, and a watch that follows the changes of one table.
//
// A store that comes back from a copy names a higher era in its answers (StorePosition).
//
//     StoreClient store(context, codec, clock, metrics, "10.0.0.9:8225");
//     store.call(codec.readCall("t", "", ""), timeout, [](const StoreAnswer &answer) { ... });
//     TableWatch watch(store, log, {.table_ = "t"}, onRows);   // onRows: a TableWatch::Handler
//     watch.start();

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/event_log.h"
#include "base/metrics.h"
#include "gateway/codec.h"
#include "gateway/http_caller.h"
#include "gateway/table_reader.h"

namespace foxtailturn::gateway {

// status_ 0: no complete answer; a write may have been applied or may be applied later.
using StoreAnswer = HttpAnswer;

// Not thread-safe. Callbacks run on the event loop.
class StoreClient
{
public:
    using Handler = std::function<void(const StoreAnswer &answer)>;

    // All references must outlive the client.
    StoreClient(asio::io_context &context, const PlatformCodec &codec, const Clock &clock,
                MetricRegistry &metrics, std::string address);

    // Counts what is done with the store's answers. The meter must outlive the client.
    void setMeter(LoopMeter &meter) { caller_.setMeter(meter, WorkKind::Store); }

    // Calls the store once. After a timeout all idle connections to the store are closed, since
    // they may be broken without a reset.
    void call(const HttpCall &call, Duration timeout, Handler handler);

    // Adds a handler for the first answer of each further era. It runs before the call's own.
    void onRestore(std::function<void()> handler)
    {
        restoreHandlers_.push_back(std::move(handler));
    }

    // Returns the rows of an answer, or StoreUnavailable.
    [[nodiscard]] Result<StoreRows> rowsOf(const StoreAnswer &answer) const
    {
        return codec().decodeRows(answer.body_, answer.storeEra_);
    }

    // Returns the highest era that an answer has named; 0 before.
    [[nodiscard]] std::int64_t era() const { return era_.value_or(0); }

    // Uses another address for later calls.
    void setAddress(std::string address) { address_ = std::move(address); }

    asio::io_context &context() { return context_; }
    [[nodiscard]] const PlatformCodec &codec() const { return codec_; }
    [[nodiscard]] TimePoint now() const { return clock_.now(); }

private:
    void observeEra(std::int64_t era);

    asio::io_context &context_;
    const PlatformCodec &codec_;
    const Clock &clock_;
    MetricRegistry &metrics_;
    HttpCaller caller_;
    std::string address_;
    std::optional<std::int64_t> era_; // nullopt: no answer yet
    std::vector<std::function<void()>> restoreHandlers_;
};

// Returns the long-poll timeout with which a connection that has become unresponsive is detected,
// and the changes are requested again, within the limit. Precondition: silenceLimit is at least 1.5
// s. Thread-safe.
[[nodiscard]] Duration longPollTimeoutFor(Duration silenceLimit);

struct TableWatchSettings
{
    std::string table_;
    // Long-poll timeout: the store answers at the first change or after this time; see
    // longPollTimeoutFor().
    Duration longPollTimeout_ = std::chrono::milliseconds(2000);
    Duration pause_ = std::chrono::milliseconds(20); // between calls, since each call is charged
};

// Follows the rows of one table, as TableReader says. Not thread-safe.
class TableWatch
{
public:
    // content is not Nothing.
    using Handler = std::function<void(std::vector<StoreRow> rows, TableContent content)>;

    TableWatch(StoreClient &store, EventLog &log, TableWatchSettings settings, Handler handler);

    void start();
    void stop();

    // Returns whether the whole table has been read at least once.
    [[nodiscard]] bool isLoaded() const { return isLoaded_; }
    // Returns when the store last confirmed that the rows are current.
    [[nodiscard]] TimePoint lastConfirmedAt() const { return lastConfirmedAt_; }

    // Returns whether rows that are being handed on were written after the answer before, which was
    // received just before they were asked for.
    [[nodiscard]] bool isFresh() const { return isFresh_; }

private:
    void readNext();
    void onAnswer(const StoreAnswer &answer);
    void handOn(TableNews news, StorePosition before);
    void scheduleAfter(Duration duration);
    void onFailure(const StoreAnswer &answer);

    StoreClient &store_;
    EventLog &log_;
    TableWatchSettings settings_;
    Handler handler_;
    asio::steady_timer timer_;
    std::shared_ptr<int> lifetimeToken_ =
        std::make_shared<int>(0); // callbacks hold a weak reference
    TableReader reader_;
    int failures_ = 0;
    bool isLoaded_ = false;
    bool isStopped_ = false;
    TimePoint lastConfirmedAt_{};
    TimePoint calledAt_{}; // the last call
    bool isFresh_ = false;
};

} // namespace foxtailturn::gateway
