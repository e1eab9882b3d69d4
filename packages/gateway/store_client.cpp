#include "gateway/store_client.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kReadTimeout =
    milliseconds(1200); // an answer takes a few milliseconds at low load
constexpr Duration kFollowTimeoutMargin = milliseconds(500); // added to the long-poll timeout
constexpr Duration kBackoffBase = milliseconds(100); // base of the exponential backoff
constexpr Duration kMaxBackoff = milliseconds(600); // bounds the time to detect a recovery
constexpr int kMaxDoublings = 3;
constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;

} // namespace

StoreClient::StoreClient(asio::io_context &context, const PlatformCodec &codec, const Clock &clock,
                         MetricRegistry &metrics, std::string address)
    : context_(context)
    , codec_(codec)
    , clock_(clock)
    , metrics_(metrics)
    , caller_(context, codec, clock)
    , address_(std::move(address))
{ }

void StoreClient::call(const HttpCall &call, Duration timeout, Handler handler)
{
    const auto recordingHandler = [this, method = call.method_, startedAt = now(),
                                   handler = std::move(handler)](const StoreAnswer &answer) {
        metrics_
            .counter("foxtailturn_store_calls_total", "calls to the store",
                     {{"method", method}, {"status", std::to_string(answer.status_)}})
            .add();
        metrics_.latency("foxtailturn_store_call_seconds", "time of a store call")
            .record(now() - startedAt);
        handler(answer);
    };
    caller_.call(address_, call, timeout, recordingHandler);
}

Duration longPollTimeoutFor(Duration silenceLimit)
{
    // The rest covers one call of the store and the configuration's way into force.
    constexpr Duration kMargin = kFollowTimeoutMargin + milliseconds(500);
    return silenceLimit - kMargin;
}

TableWatch::TableWatch(StoreClient &store, EventLog &log, TableWatchSettings settings,
                       Handler handler)
    : store_(store)
    , log_(log)
    , settings_(std::move(settings))
    , handler_(std::move(handler))
    , timer_(store.context())
{ }

void TableWatch::start()
{
    snapshotRows_.clear();
    snapshotVersion_ = 0;
    isReading_ = true;
    readNextPage();
}

void TableWatch::stop()
{
    isStopped_ = true;
    timer_.cancel();
    lifetimeToken_.reset();
}

void TableWatch::readNextPage()
{
    const std::string firstKey = snapshotRows_.empty() ? "" : snapshotRows_.back().key_ + '\0';
    store_.call(store_.codec().readCall(settings_.table_, "", firstKey), kReadTimeout,
                [this, weak = std::weak_ptr<int>(lifetimeToken_)](const StoreAnswer &answer) {
                    if (!weak.expired())
                        onPage(answer);
                });
}

void TableWatch::onPage(const StoreAnswer &answer)
{
    Result<StoreRows> rows = store_.codec().decodeRows(answer.body_);
    // A store that lags behind what was read before would revert the table to older rows.
    if (answer.status_ != kHttpOk || !rows
        || rows->version_ < std::max(version_, snapshotVersion_)) {
        onFailure(answer);
        return;
    }
    if (snapshotRows_.empty())
        snapshotVersion_ = rows->version_;
    snapshotRows_.insert(snapshotRows_.end(), std::make_move_iterator(rows->rows_.begin()),
                         std::make_move_iterator(rows->rows_.end()));
    if (rows->isTruncated_ && !rows->rows_.empty()) {
        readNextPage();
        return;
    }
    isReading_ = false;
    version_ = snapshotVersion_;
    if (failures_ > 0 || !isLoaded_)
        log_.write(
            LogDetail::Full, "store_regained",
            {{"table", settings_.table_}, {"version", version_}, {"rows", snapshotRows_.size()}});
    failures_ = 0;
    isLoaded_ = true;
    lastConfirmedAt_ = store_.now();
    handler_(std::exchange(snapshotRows_, {}), true);
    scheduleAfter(settings_.pause_, [this] { requestChanges(); });
}

void TableWatch::requestChanges()
{
    store_.call(store_.codec().followCall(settings_.table_, version_, settings_.longPollTimeout_),
                settings_.longPollTimeout_ + kFollowTimeoutMargin,
                [this, weak = std::weak_ptr<int>(lifetimeToken_)](const StoreAnswer &answer) {
                    if (!weak.expired())
                        onChanges(answer);
                });
}

void TableWatch::onChanges(const StoreAnswer &answer)
{
    if (answer.status_ == kHttpGone) {
        log_.write(LogDetail::Full, "store_history_gone",
                   {{"table", settings_.table_}, {"after", version_}});
        start();
        return;
    }
    const Result<StoreRows> rows = store_.codec().decodeRows(answer.body_);
    if (answer.status_ != kHttpOk || !rows) {
        onFailure(answer);
        return;
    }
    if (failures_ > 0)
        log_.write(LogDetail::Full, "store_regained", {{"table", settings_.table_}});
    failures_ = 0;
    lastConfirmedAt_ = store_.now();
    std::vector<StoreRow> changed;
    for (const StoreRow &row : rows->rows_) {
        if (row.version_ > version_)
            changed.push_back(row);
    }
    version_ = std::max(version_, rows->version_);
    if (!changed.empty())
        handler_(std::move(changed), false);
    scheduleAfter(settings_.pause_, [this] { requestChanges(); });
}

void TableWatch::onFailure(const StoreAnswer &answer)
{
    ++failures_;
    if (failures_ == 1)
        log_.write(LogDetail::Full, "store_lost",
                   {{"table", settings_.table_}, {"status", answer.status_}});
    const Duration wait =
        std::min(kBackoffBase * (1 << std::min(failures_, kMaxDoublings)), kMaxBackoff);
    scheduleAfter(wait, [this] {
        if (isReading_)
            readNextPage();
        else
            requestChanges();
    });
}

void TableWatch::scheduleAfter(Duration duration, std::function<void()> next)
{
    if (isStopped_)
        return;
    timer_.expires_after(duration);
    timer_.async_wait([next = std::move(next)](const asio::error_code &error) {
        if (!error)
            next();
    });
}

} // namespace foxtailturn::gateway
