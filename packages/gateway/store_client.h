#pragma once

// Client of the platform's store, and a watch that follows the changes of one table.
//
//     StoreClient store(context, codec, clock, metrics, "10.0.0.9:8225");
//     store.call(codec.readCall("t", "", ""), timeout, [](const StoreAnswer &answer) { ... });
//     TableWatch watch(store, log, {.table_ = "t"}, onRows);   // onRows: a TableWatch::Handler
//     watch.start();

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "base/metrics.h"
#include "gateway/codec.h"
#include "gateway/http_caller.h"

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

    // Calls the store once. After a timeout all idle connections to the store are closed, since
    // they may be broken without a reset.
    void call(const HttpCall &call, Duration timeout, Handler handler);

    // Uses another address for later calls.
    void setAddress(std::string address) { address_ = std::move(address); }

    asio::io_context &context() { return context_; }
    [[nodiscard]] const PlatformCodec &codec() const { return codec_; }
    [[nodiscard]] TimePoint now() const { return clock_.now(); }

private:
    asio::io_context &context_;
    const PlatformCodec &codec_;
    const Clock &clock_;
    MetricRegistry &metrics_;
    HttpCaller caller_;
    std::string address_;
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

// Follows the rows of one table. Not thread-safe.
//
// A table is read page by page, while others write to it, so the pages may show different versions.
// The changes since the version of the first page make the read whole: they hold each row that was
// written or removed meanwhile. So a read ends however much is written.
class TableWatch
{
public:
    // isSnapshot: rows holds the whole table, in which rows that have changed during the read may
    // be missing or outdated; they follow at once. Otherwise rows holds the changed rows only,
    // including removed ones.
    using Handler = std::function<void(std::vector<StoreRow> rows, bool isSnapshot)>;

    TableWatch(StoreClient &store, EventLog &log, TableWatchSettings settings, Handler handler);

    void start();
    void stop();

    // Returns whether the whole table has been read at least once.
    [[nodiscard]] bool isLoaded() const { return isLoaded_; }
    // Returns when the store last confirmed that the rows are current.
    [[nodiscard]] TimePoint lastConfirmedAt() const { return lastConfirmedAt_; }

private:
    void readNextPage();
    void onPage(const StoreAnswer &answer);
    void requestChanges();
    void onChanges(const StoreAnswer &answer);
    void scheduleAfter(Duration duration, std::function<void()> next);
    void onFailure(const StoreAnswer &answer);

    StoreClient &store_;
    EventLog &log_;
    TableWatchSettings settings_;
    Handler handler_;
    asio::steady_timer timer_;
    std::shared_ptr<int> lifetimeToken_ =
        std::make_shared<int>(0); // callbacks hold a weak reference
    std::vector<StoreRow> snapshotRows_; // of the read in progress
    std::int64_t version_ = 0; // all changes up to this version were applied; never decreases
    std::int64_t snapshotVersion_ = 0; // of the first page of the read in progress
    bool isReading_ = false; // the whole table, page by page
    int failures_ = 0;
    bool isLoaded_ = false;
    bool isStopped_ = false;
    TimePoint lastConfirmedAt_{};
};

} // namespace foxtailturn::gateway
