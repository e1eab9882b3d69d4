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
constexpr Duration kMaxCallDelay = milliseconds(300); // of a call after the pause
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
        if (answer.status_ == kHttpOk)
            observeEra(answer.storeEra_);
        handler(answer);
    };
    caller_.call(address_, call, timeout, recordingHandler);
}

void StoreClient::observeEra(std::int64_t era)
{
    if (era_ && era <= *era_)
        return;
    const bool isFirst = !era_;
    era_ = era;
    if (isFirst)
        return;
    metrics_
        .counter("foxtailturn_store_restores_total",
                 "times that the store has come back from a copy")
        .add();
    for (const std::function<void()> &handler : restoreHandlers_)
        handler();
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
    readNext();
}

void TableWatch::stop()
{
    isStopped_ = true;
    timer_.cancel();
    lifetimeToken_.reset();
}

void TableWatch::readNext()
{
    const HttpCall call = reader_.isReading()
        ? store_.codec().readCall(settings_.table_, "", reader_.nextKey())
        : store_.codec().followCall(settings_.table_, reader_.position().version_,
                                    settings_.longPollTimeout_);
    const Duration timeout =
        reader_.isReading() ? kReadTimeout : settings_.longPollTimeout_ + kFollowTimeoutMargin;
    calledAt_ = store_.now();
    store_.call(call, timeout,
                [this, weak = std::weak_ptr<int>(lifetimeToken_)](const StoreAnswer &answer) {
                    if (!weak.expired())
                        onAnswer(answer);
                });
}

void TableWatch::onAnswer(const StoreAnswer &answer)
{
    const StorePosition before = reader_.position();
    const bool wasReading = reader_.isReading();
    if (answer.status_ == kHttpGone && !wasReading) {
        log_.write(LogDetail::Full, "store_history_gone",
                   {{"table", settings_.table_}, {"after", before.version_}, {"era", before.era_}});
        reader_.onHistoryGone();
        readNext();
        return;
    }
    Result<StoreRows> rows = store_.rowsOf(answer);
    if (answer.status_ != kHttpOk || !rows) {
        onFailure(answer);
        return;
    }
    Result<TableNews> news =
        wasReading ? reader_.onPage(std::move(*rows)) : reader_.onChanges(std::move(*rows));
    if (!news) {
        onFailure(answer);
        return;
    }
    if (reader_.isReading()) {
        readNext();
        return;
    }
    handOn(std::move(*news), before);
    scheduleAfter(settings_.pause_);
}

void TableWatch::handOn(TableNews news, StorePosition before)
{
    const StorePosition position = reader_.position();
    if (news.content_ == TableContent::Copy)
        log_.write(LogDetail::Full, "store_restored",
                   {{"table", settings_.table_},
                    {"era", position.era_},
                    {"version", position.version_},
                    {"era_before", before.era_},
                    {"version_before", before.version_},
                    {"rows", news.rows_.size()}});
    else if (failures_ > 0 || !isLoaded_)
        log_.write(LogDetail::Full, "store_regained",
                   {{"table", settings_.table_},
                    {"version", position.version_},
                    {"rows", news.rows_.size()}});
    isFresh_ = news.content_ == TableContent::Changes && failures_ == 0
        && calledAt_ - lastConfirmedAt_ <= settings_.pause_ + kMaxCallDelay;
    failures_ = 0;
    isLoaded_ = true;
    lastConfirmedAt_ = store_.now();
    if (news.content_ != TableContent::Nothing)
        handler_(std::move(news.rows_), news.content_);
}

void TableWatch::onFailure(const StoreAnswer &answer)
{
    ++failures_;
    if (failures_ == 1)
        log_.write(LogDetail::Full, "store_lost",
                   {{"table", settings_.table_}, {"status", answer.status_}});
    const Duration wait =
        std::min(kBackoffBase * (1 << std::min(failures_, kMaxDoublings)), kMaxBackoff);
    scheduleAfter(wait);
}

void TableWatch::scheduleAfter(Duration duration)
{
    if (isStopped_)
        return;
    timer_.expires_after(duration);
    timer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            readNext();
    });
}

} // namespace foxtailturn::gateway
