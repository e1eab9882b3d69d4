#pragma once

// Interface between the gateway and sidecar and the wire formats of a platform: a codec converts
// the messages exchanged with callers, targets and the store to and from the types below. It makes
// no decisions. platform/ has the implementation for the users' platform.
//
//     Result<CallerRequest> request = codec.decodeRequest(head);
//     std::string text = codec.targetHead(head, call, body.size());
//     TargetReply reply = codec.decodeReply(responseHead);
//
// A codec holds no state: all calls are thread-safe.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/store_rows.h"
#include "callers/caller_service.h"
#include "gateway/serving_config.h"
#include "http1/message.h"
#include "placement/speed_meter.h"
#include "placement/target_speed.h"

namespace foxtailturn::gateway {

// A part of a prompt that several requests may share.
struct PromptPart
{
    std::string id_;
    std::int64_t tokens_ = 0;

    bool operator==(const PromptPart &) const = default;
};

// Decoded head of a caller's request.
struct CallerRequest
{
    std::string id_;
    std::string host_;
    std::string key_;
    std::optional<Duration> timeLeft_; // how long the caller will wait
    std::string model_; // empty for plain services
    std::string adapter_; // empty for the base model
    std::optional<std::int64_t> tokens_; // prompt tokens plus the maximum of generated tokens
    std::int64_t promptTokens_ = 0;
    std::vector<PromptPart> prefix_;
    std::optional<std::string> lastEventId_;

    bool operator==(const CallerRequest &) const = default;
};

// Fields that the gateway adds to a request that it forwards to a target.
struct TargetCall
{
    Duration timeLeft_{};
    std::string instance_; // any other instance must reject the request
    std::string workspace_; // empty on public routes
    std::optional<std::string> lastEventId_; // overrides the caller's
    std::optional<int> priority_;

    bool operator==(const TargetCall &) const = default;
};

// Decoded head of a target's response.
struct TargetReply
{
    std::string requestId_; // id of the answered request; empty if absent
    std::string instance_;
    bool isSigned_ = false; // the head carries the signature of a target's own answer
    bool isNotRun_ = false; // the target states that it did not run the request
    bool isOtherInstance_ = false; // not run because instance or weight version differ
    bool isLeaving_ = false; // the target is about to stop and wants no new requests
    std::int64_t storeEra_ = 0; // of an answer of the store, see StorePosition
    std::optional<Duration> idleTimeout_; // how long the target keeps an idle connection
    std::optional<Duration>
        retryAfter_; // how long a target that rejects the request wants no other

    bool operator==(const TargetReply &) const = default;
};

using callers::Refusal;

// An HTTP call of the gateway's own, to the store or to a target.
struct HttpCall
{
    std::string method_;
    std::string target_;
    std::string body_;
    std::string instance_ = {}; // the instance that must answer; empty for any

    bool operator==(const HttpCall &) const = default;
};

enum class TargetPhase { Ready, Draining };

// A model on a target with its adapters and their versions.
struct HostedModel
{
    std::string name_;
    std::map<std::string, std::int64_t> adapters_; // version by adapter name

    bool operator==(const HostedModel &) const = default;
};

// A target as it describes itself in the store.
struct TargetRecord
{
    std::string instance_;
    std::string service_;
    std::string address_; // IP:port
    std::string dataCentre_;
    int slots_ = 1;
    TargetPhase phase_ = TargetPhase::Ready;
    std::int64_t startTimeMs_ = 0; // start time, Unix milliseconds of the wall clock
    std::vector<HostedModel> models_;
    Duration coldFor_ = Duration::zero(); // how much longer it is cold

    bool operator==(const TargetRecord &) const = default;
};

// A version of an adapter that replaces all older ones.
struct AdapterVersion
{
    std::string model_;
    std::string adapter_;
    std::int64_t version_ = 0;

    bool operator==(const AdapterVersion &) const = default;
};

// An engine's own report of its load.
struct EngineReport
{
    std::int64_t startTimeMs_ = 0;
    std::int64_t sequence_ = 0; // orders accepted
    bool isBusy_ = false; // an order is being carried out
    bool isDraining_ = false;
    int queued_ = 0;
    int running_ = 0;
    int prefilling_ = 0; // running requests before their first event
    std::int64_t kvUsed_ = 0; // tokens that can't be evicted
    std::int64_t kvTotal_ = 0;
    std::vector<HostedModel> models_;
    std::vector<std::string> loading_; // MODEL/ADAPTER
    std::vector<placement::EngineRun> runs_ = {}; // not sent to the entries

    bool operator==(const EngineReport &) const = default;
};

// An engine's report with the state of its sidecar.
struct SidecarReport
{
    EngineReport engine_; // loading_ includes adapters whose load order is about to be sent
    double evictionCost_ = 0; // expected uses of the adapter that the next load would evict
    placement::TargetSpeed speed_ = {};

    bool operator==(const SidecarReport &) const = default;
};

enum class OrderKind { Load, Unload };

// An order to an engine. The engine obeys only the holder with the largest fencing token.
struct EngineOrder
{
    OrderKind kind_ = OrderKind::Load;
    std::string model_;
    std::string adapter_; // empty: the model itself
    std::string instance_; // the instance that must carry it out
    std::string holder_;
    std::int64_t fencingToken_ = 0;
    std::optional<std::int64_t> expectedSequence_;

    bool operator==(const EngineOrder &) const = default;
};

class PlatformCodec
{
public:
    virtual ~PlatformCodec() = default;

    // Callers. Error: BadRequest when a field is malformed or given twice.
    [[nodiscard]] virtual Result<CallerRequest> decodeRequest(const MessageHead &head) const = 0;
    [[nodiscard]] virtual std::string refusal(const Refusal &refusal) const = 0;
    [[nodiscard]] virtual std::string readyTarget() const = 0;

    // Targets. targetHead() is the head of the forwarded request with its framing.
    [[nodiscard]] virtual std::string targetHead(const MessageHead &head, const TargetCall &call,
                                                 std::size_t bodyBytes) const = 0;
    [[nodiscard]] virtual TargetReply decodeReply(const MessageHead &head) const = 0;

    // Engines. Error: Internal when the body is no report.
    [[nodiscard]] virtual HttpCall reportCall() const = 0;
    [[nodiscard]] virtual Result<EngineReport> decodeReport(std::string_view body) const = 0;
    [[nodiscard]] virtual HttpCall orderCall(const EngineOrder &order) const = 0;

    // Store calls. era is the one that the head of the answer names. Error of decodeRows():
    // StoreUnavailable when the body is no answer.
    [[nodiscard]] virtual HttpCall readCall(const std::string &table, const std::string &part,
                                            const std::string &from) const = 0;
    [[nodiscard]] virtual HttpCall followCall(const std::string &table, std::int64_t after,
                                              Duration wait) const = 0;
    [[nodiscard]] virtual HttpCall writeCall(const StoreWrite &write) const = 0;
    [[nodiscard]] virtual Result<StoreRows> decodeRows(std::string_view body,
                                                       std::int64_t era) const = 0;
    [[nodiscard]] virtual std::string callHead(const HttpCall &call,
                                               const std::string &host) const = 0;

    // Rows that the operator and the targets write. nullopt: not a row of that kind, or malformed.
    [[nodiscard]] virtual std::string operatorTable() const = 0;
    [[nodiscard]] virtual std::string targetTable() const = 0;
    [[nodiscard]] virtual std::optional<ServingConfig> decodeConfig(const StoreRow &row) const = 0;
    [[nodiscard]] virtual std::optional<AdapterVersion>
    decodeAdapterVersion(const StoreRow &row) const = 0;
    [[nodiscard]] virtual std::optional<TargetRecord> decodeTarget(const StoreRow &row) const = 0;
    // Returns the data centre that a row evacuates, also for a removed row, which takes it back.
    [[nodiscard]] virtual std::optional<std::string>
    evacuatedDataCentre(const StoreRow &row) const = 0;
};

} // namespace foxtailturn::gateway
