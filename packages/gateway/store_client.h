#pragma once

// Calls to the platform's store and the following of one of its tables.
//
//     StoreClient store(context, codec, clock, pool, "10.0.0.9:8225");
//     store.call(codec.readCall("t", "", ""), timeout, [](const StoreAnswer &answer) { ... });
//     TableWatch watch(store, log, {.table_ = "t"}, onRows);
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

// status_ 0: no answer came, a write may have been applied or may be applied later.
using StoreAnswer = HttpAnswer;

// Not thread-safe. Callbacks run from the loop.
class StoreClient
{
public:
    using Handler = std::function<void(const StoreAnswer &answer)>;

    // All references must outlive the client.
    StoreClient(asio::io_context &context, const PlatformCodec &codec, const Clock &clock,
                MetricRegistry &metrics, std::string address);

    // Calls the store once. A connection that gives no answer in time is closed, since it may have
    // gone silent.
    void call(const HttpCall &call, Duration timeout, Handler handler);

    // Takes another address from a changed settings file.
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

struct TableWatchSettings
{
    std::string table_;
    // The store answers a call at the first change or after this time. Short enough to notice a
    // silent connection within the bounds for configuration.
    Duration wait_ = std::chrono::milliseconds(2000);
    Duration pause_ = std::chrono::milliseconds(20); // between calls; each is charged
};

// Follows the rows of one table. Not thread-safe.
class TableWatch
{
public:
    // isSnapshot: the rows are all there are; otherwise those that changed, removed ones included.
    using Handler = std::function<void(const std::vector<StoreRow> &rows, bool isSnapshot)>;

    TableWatch(StoreClient &store, EventLog &log, TableWatchSettings settings, Handler handler);

    void start();
    void stop();

    // Returns whether the table was read once.
    [[nodiscard]] bool isLoaded() const { return isLoaded_; }
    [[nodiscard]] TimePoint freshAt() const { return freshAt_; }

private:
    void read(const std::string &from);
    void onRead(const StoreAnswer &answer);
    void follow();
    void onFollow(const StoreAnswer &answer);
    void pause(Duration duration, std::function<void()> next);
    void failed(const StoreAnswer &answer);

    StoreClient &store_;
    EventLog &log_;
    TableWatchSettings settings_;
    Handler handler_;
    asio::steady_timer timer_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); // callbacks hold a weak reference
    std::vector<StoreRow> pages_;
    std::int64_t version_ = 0; // newest that was seen; never goes back
    std::int64_t pageVersion_ = 0;
    int failures_ = 0;
    bool isLoaded_ = false;
    bool isStopped_ = false;
    TimePoint freshAt_{};
};

} // namespace foxtailturn::gateway
