#include "gateway/store_client.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kReadTime = milliseconds(1200); // an answer takes a few milliseconds at low load
constexpr Duration kFollowSlack = milliseconds(500); // added to the long-poll timeout
constexpr Duration kFirstPause = milliseconds(100); // base of the exponential backoff
constexpr Duration kLongestPause = milliseconds(600); // bounds the time to detect a recovery
constexpr int kMostDoublings = 3;
constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

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
    const auto counted = [this, method = call.method_, startedAt = now(),
                          handler = std::move(handler)](const StoreAnswer &answer) {
        metrics_
            .counter("foxtailturn_store_calls_total", "calls to the store",
                     {{"method", method}, {"status", std::to_string(answer.status_)}})
            .add();
        metrics_.latency("foxtailturn_store_call_seconds", "time of a store call")
            .record(now() - startedAt);
        handler(answer);
    };
    caller_.call(address_, call, timeout, counted);
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
    pages_.clear();
    pageVersion_ = 0;
    read("");
}

void TableWatch::stop()
{
    isStopped_ = true;
    timer_.cancel();
    alive_.reset();
}

void TableWatch::read(const std::string &from)
{
    store_.call(store_.codec().readCall(settings_.table_, "", from), kReadTime,
                [this, weak = std::weak_ptr<int>(alive_)](const StoreAnswer &answer) {
                    if (!weak.expired())
                        onRead(answer);
                });
}

void TableWatch::onRead(const StoreAnswer &answer)
{
    Result<StoreRows> rows = store_.codec().decodeRows(answer.body_);
    if (answer.status_ != kOk || !rows) {
        failed(answer);
        return;
    }
    // All pages must have the same version. A store that lags behind the version applied before
    // would revert the table to older rows.
    const bool isOtherMoment = !pages_.empty() && rows->version_ != pageVersion_;
    if (rows->version_ < version_ || isOtherMoment) {
        failed(answer);
        return;
    }
    pageVersion_ = rows->version_;
    pages_.insert(pages_.end(), std::make_move_iterator(rows->rows_.begin()),
                  std::make_move_iterator(rows->rows_.end()));
    if (rows->isTruncated_ && !rows->rows_.empty()) {
        read(pages_.back().key_ + '\0');
        return;
    }
    version_ = rows->version_;
    if (failures_ > 0 || !isLoaded_)
        log_.write(LogDetail::Full, "store_regained",
                   {{"table", settings_.table_}, {"version", version_}, {"rows", pages_.size()}});
    failures_ = 0;
    isLoaded_ = true;
    freshAt_ = store_.now();
    const std::vector<StoreRow> all = std::move(pages_);
    pages_.clear();
    handler_(all, true);
    pause(settings_.pause_, [this] { follow(); });
}

void TableWatch::follow()
{
    store_.call(store_.codec().followCall(settings_.table_, version_, settings_.wait_),
                settings_.wait_ + kFollowSlack,
                [this, weak = std::weak_ptr<int>(alive_)](const StoreAnswer &answer) {
                    if (!weak.expired())
                        onFollow(answer);
                });
}

void TableWatch::onFollow(const StoreAnswer &answer)
{
    if (answer.status_ == kHistoryGone) {
        log_.write(LogDetail::Full, "store_history_gone",
                   {{"table", settings_.table_}, {"after", version_}});
        start();
        return;
    }
    const Result<StoreRows> rows = store_.codec().decodeRows(answer.body_);
    if (answer.status_ != kOk || !rows) {
        failed(answer);
        return;
    }
    if (failures_ > 0)
        log_.write(LogDetail::Full, "store_regained", {{"table", settings_.table_}});
    failures_ = 0;
    freshAt_ = store_.now();
    std::vector<StoreRow> changed;
    for (const StoreRow &row : rows->rows_) {
        if (row.version_ > version_)
            changed.push_back(row);
    }
    version_ = std::max(version_, rows->version_);
    if (!changed.empty())
        handler_(changed, false);
    pause(settings_.pause_, [this] { follow(); });
}

void TableWatch::failed(const StoreAnswer &answer)
{
    ++failures_;
    if (failures_ == 1)
        log_.write(LogDetail::Full, "store_lost",
                   {{"table", settings_.table_}, {"status", answer.status_}});
    pages_.clear();
    const Duration wait =
        std::min(kFirstPause * (1 << std::min(failures_, kMostDoublings)), kLongestPause);
    pause(wait, [this] {
        if (isLoaded_ && pageVersion_ <= version_ && pageVersion_ != 0)
            follow();
        else
            start();
    });
}

void TableWatch::pause(Duration duration, std::function<void()> next)
{
    if (isStopped_)
        return;
    timer_.expires_after(duration);
    timer_.async_wait([next = std::move(next)](const asio::error_code &why) {
        if (!why)
            next();
    });
}

} // namespace foxtailturn::gateway
