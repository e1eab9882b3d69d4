#include "stub_lib/load_run.h"

#include <atomic>
#include <chrono>
#include <cmath>
#include <optional>
#include <random>
#include <thread>

#include <httplib.h>

#include "base/hash.h"
#include "base/log.h"
#include "stub_lib/answer_check.h"
#include "stub_lib/engine_answer.h"

namespace foxtailturn {

namespace {

using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

constexpr int kOk = 200;

// A start this much after its plan counts as late; the sleep itself is late by less.
constexpr auto kLateStart = std::chrono::milliseconds(10);

double millisBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

SteadyClock::duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<SteadyClock::duration>(
        std::chrono::duration<double>(seconds));
}

// Prompts differ, so that an answer to another request is seen.
std::string makePrompt(int words)
{
    std::string prompt = randomId();
    for (int i = 1; i < words; ++i)
        prompt += concat(" word", i);
    return prompt;
}

// One request from its planned start to its end.
class Exchange
{
public:
    Exchange(const LoadOptions &options, const LoadModel &model, SteadyTime planned)
        : options_(options)
        , model_(model)
        , prompt_(makePrompt(options.promptWords_))
        , check_({model.adapter_, model.name_, promptDigest(prompt_)})
        , planned_(planned)
        , lastToken_(planned)
    { }

    LoadResult run(httplib::Client &client, const std::string &key)
    {
        httplib::Request request = makeRequest(key);
        request.response_handler = [&](const httplib::Response &response) {
            status_ = response.status;
            return true;
        };
        request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
            receive(std::string(data, size));
            return true;
        };
        const httplib::Result answer = client.send(request);
        finish(answer.error());
        return result_;
    }

private:
    httplib::Request makeRequest(const std::string &key) const
    {
        Json body = {{"model", model_.name_},
                     {"max_tokens", options_.maxTokens_},
                     {"stream", options_.isStream_}};
        if (options_.isChat_)
            body["messages"] = Json::array({{{"role", "user"}, {"content", prompt_}}});
        else
            body["prompt"] = prompt_;
        if (options_.isStream_)
            body["stream_options"] = {{"include_usage", true}};
        httplib::Request request;
        request.method = "POST";
        request.path = options_.isChat_ ? "/v1/chat/completions" : "/v1/completions";
        request.body = body.dump();
        request.set_header("Content-Type", "application/json");
        if (!key.empty())
            request.set_header("Authorization", concat("Bearer ", key));
        return request;
    }

    void receive(const std::string &bytes)
    {
        if (status_ != kOk || !options_.isStream_) {
            body_ += bytes;
            return;
        }
        const int tokens = check_.feed(bytes);
        for (int i = 0; i < tokens; ++i)
            countToken();
    }

    void countToken()
    {
        const SteadyTime now = SteadyClock::now();
        if (result_.tokens_++ == 0)
            result_.firstTokenMs_ = millisBetween(planned_, now);
        else
            result_.gapsMs_.push_back(millisBetween(lastToken_, now));
        lastToken_ = now;
    }

    void finish(httplib::Error error)
    {
        if (status_ == 0) {
            result_.code_ = httplib::to_string(error);
            return;
        }
        if (status_ != kOk) {
            result_.outcome_ = LoadOutcome::Refused;
            result_.code_ = errorCodeOfBody(body_, status_);
            return;
        }
        const bool isWhole = error == httplib::Error::Success;
        if (!options_.isStream_ && isWhole) {
            countToken();
            check_.takeBody(body_);
        }
        result_.outcome_ = outcomeOf(check_.verdict());
        result_.code_ = check_.errorCode();
        if (result_.outcome_ == LoadOutcome::Complete && !isWhole)
            result_.outcome_ = LoadOutcome::Cut;
    }

    static LoadOutcome outcomeOf(Verdict verdict)
    {
        switch (verdict) {
        case Verdict::Complete:
            return LoadOutcome::Complete;
        case Verdict::Cut:
            return LoadOutcome::Cut;
        case Verdict::Wrong:
            return LoadOutcome::Wrong;
        case Verdict::Failed:
            return LoadOutcome::Failed;
        }
        return LoadOutcome::Failed;
    }

    const LoadOptions &options_;
    const LoadModel &model_;
    const std::string prompt_;
    AnswerCheck check_;
    const SteadyTime planned_;
    SteadyTime lastToken_;
    int status_ = 0;
    std::string body_;
    LoadResult result_;
};

// Hands out the starts of requests to all streams. Thread-safe.
class Schedule
{
public:
    explicit Schedule(const LoadOptions &options)
        : options_(options)
        , begin_(SteadyClock::now())
    { }

    // Returns the next request's index and planned start; nullopt at the end of the run.
    std::optional<std::pair<int, SteadyTime>> next()
    {
        const int index = next_++;
        const SteadyTime planned =
            options_.rate_ > 0 ? begin_ + secondsOf(index / options_.rate_) : SteadyClock::now();
        const bool isOver =
            index >= options_.requests_ || planned >= begin_ + secondsOf(options_.seconds_);
        if (isOver)
            return std::nullopt;
        return std::pair(index, planned);
    }

private:
    const LoadOptions &options_;
    const SteadyTime begin_;
    std::atomic<int> next_ = 0;
};

std::discrete_distribution<std::size_t> popularity(const LoadOptions &options)
{
    std::vector<double> weights;
    for (std::size_t i = 1; i <= options.models_.size(); ++i)
        weights.push_back(std::pow(static_cast<double>(i), -options.skew_));
    return {weights.begin(), weights.end()};
}

void runStream(const LoadOptions &options, Schedule &schedule, LoadReport &report)
{
    std::mt19937_64 random{std::random_device{}()};
    auto models = popularity(options);
    httplib::Client client(options.host_, options.port_);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::milliseconds(options.timeoutMs_));
    while (const auto start = schedule.next()) {
        const auto &[index, planned] = *start;
        std::this_thread::sleep_until(planned);
        const bool isLate = SteadyClock::now() - planned > kLateStart;
        const std::size_t key =
            options.keys_.empty() ? 0 : static_cast<std::size_t>(index) % options.keys_.size();
        Exchange exchange(options, options.models_[models(random)], planned);
        LoadResult result = exchange.run(client, options.keys_.empty() ? "" : options.keys_[key]);
        result.isLate_ = isLate;
        report.add(concat("key ", key), result);
    }
}

} // namespace

LoadReport runLoad(const LoadOptions &options)
{
    Schedule schedule(options);
    std::vector<LoadReport> reports(static_cast<std::size_t>(options.streams_));
    std::vector<std::thread> threads;
    threads.reserve(reports.size());
    for (LoadReport &report : reports)
        threads.emplace_back([&] { runStream(options, schedule, report); });
    for (std::thread &thread : threads)
        thread.join();
    LoadReport total;
    for (const LoadReport &report : reports)
        total.merge(report);
    return total;
}

} // namespace foxtailturn
