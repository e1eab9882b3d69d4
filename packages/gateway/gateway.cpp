#include "gateway/gateway.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCrashRetention = seconds(60); // how long a crash counts against a request
constexpr Duration kCheckTimeout = milliseconds(400); // enough for one lost SYN or SYN-ACK
constexpr Duration kNoConfigRetry = milliseconds(500);
constexpr Duration kLoadRequestInterval = seconds(2); // interval between requests for the same load

// Parts of a prompt that are watched; each crash makes a record for each of them.
constexpr std::size_t kMaxSuspectParts = 64;
constexpr std::size_t kMaxPartKeyBytes = 150; // the store bounds the keys of rows

// 128 bits in all, to make collisions unlikely.
constexpr std::uint64_t kSecondHashSeed = 0x9e3779b97f4a7c15;

std::string fingerprintOf(const std::string &workspace, const MessageHead &head,
                          const std::string &body)
{
    const std::uint64_t first = hash64(body, hash64(head.target_, hash64(workspace)));
    const std::uint64_t second = hash64(body, hash64(head.target_, kSecondHashSeed));
    return std::to_string(first) + "-" + std::to_string(second);
}

bool isPrintableAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// Readable for operators, unless the part's id is long or can't be written as JSON.
std::string fingerprintOfPart(const std::string &service, const std::string &partId)
{
    const std::string key = "part/" + service + "/" + partId;
    if (key.size() <= kMaxPartKeyBytes && isPrintableAscii(key))
        return key;
    return "part/" + std::to_string(hash64(key)) + "-"
        + std::to_string(hash64(key, kSecondHashSeed));
}

// Returns the request and the parts of its prompt but the last, which belongs to it or its session.
std::vector<Suspect> suspectsOf(const AdmittedRequest &request, const MessageHead &head,
                                const std::string &body)
{
    std::vector<Suspect> suspects{{fingerprintOf(request.workspace_, head, body)}};
    const std::vector<PromptPart> &parts = request.caller_.prefix_;
    for (std::size_t i = 0; i + 1 < std::min(parts.size(), kMaxSuspectParts + 1); ++i)
        suspects.push_back(
            {fingerprintOfPart(request.service_, parts[i].id_), SuspectKind::PromptPart});
    return suspects;
}

constexpr std::size_t kMegabyte = 1'000'000;

} // namespace

Gateway::Gateway(const GatewayDependencies &parts, const GatewayOptions &identity)
    : parts_(parts)
    , options_(identity)
    , memory_(memory::MemoryAccount::create(memory::MemoryBounds::forMachine(
          static_cast<std::size_t>(identity.memoryMb_) * kMegabyte)))
    , evacuations_(identity.evacuationNotice_)
    , targets_(identity.unlistedGrace_)
    , pool_(parts.context_, parts.codec_, parts.clock_)
    , quotas_({identity.name_, identity.milliCores_}, parts.clock_, identity.quotaTolerance_)
    , budget_(parts.clock_, {.percent_ = identity.retryPercent_, .floor_ = identity.retryFloor_})
    , quarantine_(identity.name_ + "-" + randomId(), {parts.clock_, parts.wallClock_},
                  kCrashRetention)
    , outdatedCopies_(targets_.hosts(), versions_)
    , randomState_(hash64(randomId()))
    , serving_(parts.metrics_)
    , permits_(parts.context_, parts.clock_, parts.metrics_)
{ }

bool Gateway::configure(ServingConfig config)
{
    if (config_ && config.revision_ <= config_->revision_)
        return false;
    config_ = std::make_shared<const ServingConfig>(std::move(config));
    std::map<std::string, TokenQuota> quotas;
    for (const Workspace &workspace : config_->workspaces_)
        quotas[workspace.name_] = workspace.quota_;
    quotas_.configure(quotas);
    std::map<std::string, Duration> coldTimes;
    for (const auto &[name, service] : config_->services_) {
        placements_.try_emplace(name);
        if (service.needsPermits())
            coldTimes[name] = service.coldTime_;
    }
    targets_.setColdTimes(std::move(coldTimes));
    parts_.log_.write(LogDetail::Full, "configuration_in_force",
                      {{"revision", config_->revision_},
                       {"store_era", config_->storeEra_},
                       {"routes", config_->routes_.size()},
                       {"workspaces", config_->workspaces_.size()}});
    parts_.metrics_.gauge("foxtailturn_configuration_revision", "revision in force")
        .set(config_->revision_);
    return true;
}

double Gateway::jitter()
{
    randomState_ = hash64(
        std::string_view(reinterpret_cast<const char *>(&randomState_), sizeof(randomState_)));
    return static_cast<double>(randomState_) / static_cast<double>(UINT64_MAX);
}

Refusal Gateway::refusal(int status, ErrorCode code, const std::string &requestId,
                         std::optional<Duration> retryAfter)
{
    if (parts_.log_.admits(LogDetail::Full, "refused")) {
        nlohmann::json fields = {
            {"request", requestId}, {"status", status}, {"code", errorName(code)}};
        if (retryAfter)
            fields["retry_after_us"] = retryAfter->count();
        parts_.log_.write(LogDetail::Full, "refused", std::move(fields));
    }
    return {status, requestId, std::string(errorName(code)), retryAfter};
}

std::variant<AdmittedRequest, Refusal> Gateway::admit(const MessageHead &head, std::string body,
                                                      TimePoint receivedAt)
{
    const Result<CallerRequest> decoded = parts_.codec_.decodeRequest(head);
    if (!decoded)
        return refusal(400, ErrorCode::BadRequest, "", std::nullopt);
    AdmittedRequest request;
    request.caller_ = *decoded;
    const std::string &id = request.caller_.id_;
    if (!config_)
        return refusal(503, ErrorCode::StoreUnavailable, id, kNoConfigRetry);
    request.config_ = config_;
    const std::string_view target = head.target_;
    const std::string_view path = target.substr(0, target.find('?'));
    request.route_ = config_->findRoute(request.caller_.host_, path);
    if (request.route_ == nullptr)
        return refusal(404, ErrorCode::RouteNotFound, id, std::nullopt);
    const Route &route = *request.route_;
    request.priority_ = route.priority_;
    const Workspace *workspace = nullptr;
    if (config_->needsKeys_ && !route.isPublic_) {
        workspace = config_->findWorkspace(request.caller_.key_);
        if (workspace == nullptr)
            return refusal(401, ErrorCode::Unauthenticated, id, std::nullopt);
        request.workspace_ = workspace->name_;
        request.priority_ = workspace->priority_.value_or(route.priority_);
    }
    request.service_ = backendFor(route, hash64(id));
    request.suspects_ = suspectsOf(request, head, body);
    if (isQuarantined(request.suspects_))
        return refusal(503, ErrorCode::Quarantined, id, kQuarantineRetry);
    if (!config_->services_.contains(request.service_))
        return refusal(503, ErrorCode::NoTarget, id, kNoConfigRetry);
    request.receivedAt_ = receivedAt;
    request.deadline_ =
        receivedAt + std::min(route.timeout_, request.caller_.timeLeft_.value_or(route.timeout_));
    if (shutdown_ && !shutdown_->admits(now(), request.deadline_))
        return refusal(503, ErrorCode::ShuttingDown, id, kShutdownRetry);
    if (workspace != nullptr) {
        if (std::optional<Refusal> refused = chargeQuota(request, *workspace))
            return *refused;
    }
    budget_.onRequest(request.service_);
    request.head_ = head;
    request.body_ = std::move(body);
    if (parts_.log_.admits(LogDetail::Sampled, "admitted"))
        parts_.log_.write(LogDetail::Sampled, "admitted",
                          {{"request", id},
                           {"route", route.name_},
                           {"route_kind", routeKindName(route.kind_)},
                           {"service", request.service_},
                           {"workspace", request.workspace_},
                           {"charge", request.charge_},
                           {"revision", config_->revision_},
                           {"store_era", config_->storeEra_}});
    return request;
}

std::optional<Refusal> Gateway::chargeQuota(AdmittedRequest &request, const Workspace &workspace)
{
    const TokenQuota &quota = workspace.quota_;
    request.charge_ =
        quota.countsTokens_ ? request.caller_.tokens_.value_or(quota.defaultTokens_) : 1;
    const Result<void> admitted = quotas_.admit(request.workspace_, request.charge_);
    if (admitted) {
        serving_.recordCharge(request.workspace_, QuotaOutcome::Share, request.charge_);
        return std::nullopt;
    }
    if (!quotas_.otherOwners(request.workspace_).empty()) {
        request.needsGrant_ = true;
        return std::nullopt;
    }
    const bool isLimit = admitted.error().code_ == ErrorCode::RateLimited;
    serving_.recordCharge(request.workspace_, QuotaOutcome::Refused, request.charge_);
    const TimePoint retryAt = admitted.error().retryAt_.value_or(now() + seconds(1));
    parts_.log_.write(LogDetail::Full, "over_quota",
                      {{"request", request.caller_.id_},
                       {"workspace", request.workspace_},
                       {"charge", request.charge_},
                       {"units", quotas_.unitsOf(request.workspace_)},
                       {"owners", quotas_.ownersOf(request.workspace_)},
                       {"rate", quota.rate_},
                       {"revision", config_->revision_}});
    return refusal(isLimit ? 429 : 503, admitted.error().code_, request.caller_.id_,
                   std::max<Duration>(retryAt - now(), milliseconds(50)));
}

void Gateway::requestGrant(const AdmittedRequest &request, GrantRequester::GrantHandler handler)
{
    const auto counted = [this, workspace = request.workspace_, charge = request.charge_,
                          handler = std::move(handler)](const Result<void> &granted) {
        serving_.recordCharge(workspace, granted ? QuotaOutcome::Pool : QuotaOutcome::Refused,
                              charge);
        handler(granted);
    };
    grantRequestHandler_(request.workspace_, request.charge_, counted);
}

PlacementChoice Gateway::choose(const std::string &service, PlacementRequest request)
{
    request.dataCentre_ = options_.dataCentre_;
    if (const auto known = config_->services_.find(service); known != config_->services_.end())
        request.needsPermits_ = known->second.needsPermits();
    request.minVersion_ =
        versions_.minVersion(adapterName(request.model_, request.adapter_), now());
    request.closedDataCentres_ = evacuations_.closedOrAvoided(request.moveKey_, now());
    const std::vector<Target *> targets = targets_.availableTargets(service, now());
    const Placement &placement = placements_[service];
    PlacementChoice choice = placement.choose(targets, request, now());
    if (choice.target_ != nullptr || request.closedDataCentres_.empty())
        return choice;
    request.closedDataCentres_ = evacuations_.closed(now());
    return placement.choose(targets, request, now());
}

void Gateway::onEvacuations(const placement::Evacuations::Changes &changes)
{
    if (changes.empty())
        return;
    for (const placement::EvacuationChange &change : changes)
        parts_.log_.write(LogDetail::Full,
                          change.isEvacuated_ ? "evacuation_begun" : "evacuation_ended",
                          {{"data_centre", change.dataCentre_},
                           {"store_era", change.position_.era_},
                           {"row_version", change.position_.version_},
                           {"gradual", change.isGradual_}});
    const std::set<std::string> evacuated = evacuations_.evacuated();
    parts_.metrics_.gauge("foxtailturn_evacuated_data_centres", "data centres that are evacuated")
        .set(static_cast<std::int64_t>(evacuated.size()));
    targets_.setEvacuated(evacuated, now());
    retryWaiting(WaitingRequests::Selection(waiting_.all()));
}

bool Gateway::declareVersion(const AdapterVersion &version)
{
    if (version.adapter_.empty()) {
        if (parts_.log_.admits(LogDetail::Sampled, "model_version_declared"))
            parts_.log_.write(LogDetail::Sampled, "model_version_declared",
                              {{"model", version.model_}, {"version", version.version_}});
        return false;
    }
    if (!versions_.declare(version, now()))
        return false;
    outdatedCopies_.onDeclared(adapterName(version.model_, version.adapter_));
    if (parts_.log_.admits(LogDetail::Full, "adapter_version_declared"))
        parts_.log_.write(LogDetail::Full, "adapter_version_declared",
                          {{"adapter", adapterName(version.model_, version.adapter_)},
                           {"version", version.version_}});
    return true;
}

void Gateway::requestLoad(Target &target, const std::string &model, const std::string &adapter)
{
    const std::string name = adapterName(model, adapter);
    const RequestedLoad load{now(), versions_.newest(name)};
    const auto asked = target.requestedLoads_.find(name);
    if (asked != target.requestedLoads_.end() && asked->second.version_ == load.version_
        && load.at_ - asked->second.at_ < kLoadRequestInterval)
        return;
    targets_.recordLoadRequest(target, name, load);
    if (loadRequestHandler_)
        loadRequestHandler_(target, model, adapter, load.version_);
}

void Gateway::onLoadRefused(const std::string &address, const std::string &name)
{
    for (Target *target : targets_.atAddress(address)) {
        const auto requested = target->requestedLoads_.find(name);
        if (requested != target->requestedLoads_.end())
            requested->second.at_ = now() - placements_[target->record_.service_].loadTimeout();
    }
    retryWaiting(waiting_.forLoad(address, name));
}

void Gateway::reportAdapterUse(const Target &target, const std::string &name, bool isBegin)
{
    if (adapterUseHandler_ && !name.empty())
        adapterUseHandler_(target, name, isBegin);
}

void Gateway::onReport(const std::string &address, const SidecarReport &report, TimePoint arrivedAt)
{
    const AdapterChanges changes = targets_.report(address, report.engine_, arrivedAt);
    Target *target = changes.target_;
    if (target == nullptr)
        return;
    target->evictionCost_ = report.evictionCost_;
    target->speed_ = report.speed_;
    if (report.engine_.isDraining_)
        recordLeaving(target->record_.instance_);
    if (changes.names_.empty())
        return; // most reports change only the load figures
    recordCompletedLoads(*target);
    requestAdapterUpdates(outdatedCopies_.dueUpdatesAfter(changes, now()));
    for (const std::string &name : changes.names_)
        retryWaiting(waiting_.forAdapter(target->record_.service_, name));
}

void Gateway::recordCompletedLoads(Target &target)
{
    const std::map<std::string, RequestedLoad> requested = target.requestedLoads_;
    for (const auto &[name, load] : requested) {
        const std::size_t slash = std::min(name.find('/'), name.size());
        const std::string adapter = name.substr(std::min(slash + 1, name.size()));
        const std::optional<std::int64_t> version =
            target.versionOf(name.substr(0, slash), adapter);
        if (!version || *version < versions_.newest(name))
            continue;
        if (!adapter.empty())
            placements_[target.record_.service_].recordLoadTime(now() - load.at_);
        targets_.forgetLoadRequest(target, name);
    }
}

void Gateway::requestLoads()
{
    if (!config_)
        return;
    std::map<std::string, int> copies; // by service and model, of those that are needed
    const TargetSet withoutModel = targets_.hosts().targetsWithoutModel();
    for (Target *target : withoutModel) {
        const auto service = config_->services_.find(target->record_.service_);
        if (service == config_->services_.end() || !service->second.engine_
            || !target->isAgentConnected_ || !target->isInService() || target->isEvacuated_)
            continue;
        const auto copiesOf = [&](const std::string &model) {
            const auto [it, isNew] = copies.try_emplace(service->first + "/" + model, 0);
            if (isNew)
                it->second = countCopies(service->first, model);
            return it->second;
        };
        const std::vector<std::string> &models = service->second.engine_->models_;
        const auto scarcest = std::min_element(
            models.begin(), models.end(),
            [&](const std::string &a, const std::string &b) { return copiesOf(a) < copiesOf(b); });
        if (scarcest != models.end())
            requestLoad(*target, *scarcest, "");
    }
    requestAdapterUpdates(outdatedCopies_.dueUpdates(now()));
    serving_.setVisits(visits());
}

int Gateway::countCopies(const std::string &service, const std::string &model) const
{
    const AdapterHosts::Hosts &hosts = targets_.hosts().hostsOf(model);
    return static_cast<int>(std::count_if(hosts.begin(), hosts.end(), [&](const auto &entry) {
        const auto &[target, host] = entry;
        return host.version_.has_value() && target->hasReport() && !target->isEvacuated_
            && target->record_.service_ == service;
    }));
}

void Gateway::requestAdapterUpdates(const std::vector<AdapterUpdate> &updates)
{
    for (const AdapterUpdate &update : updates)
        requestLoad(*update.target_, update.model_, update.adapter_);
}

void Gateway::retryWaiting(const WaitingRequests::Selection &requests)
{
    for (const auto &[number, request] : requests)
        request->retryPlacement();
}

WaitingRequests::Selection Gateway::waitingForRecord(const TargetRecord &record, bool isNews)
{
    WaitingRequests::Selection helped;
    if (isNews) {
        helped = waiting_.forService(record.service_);
        helped.merge(waiting_.forTarget(record.address_));
    }
    const Target *target = targets_.find(record.instance_);
    if (target == nullptr || (target->hasReport() && !isNews))
        return helped; // what it hosts is as before
    for (const HostedModel &model : target->hostedModels()) {
        helped.merge(waiting_.forAdapter(record.service_, model.name_));
        for (const auto &[adapter, version] : model.adapters_)
            helped.merge(waiting_.forAdapter(record.service_, adapterName(model.name_, adapter)));
    }
    return helped;
}

void Gateway::onAgentState(const std::string &address, const std::string &service, bool isConnected)
{
    if (!isConnected) {
        permits_.onLinkLost(address);
        for (Target *target : targets_.atAddress(address)) {
            if (!target->cold_.isUnreachable())
                continue;
            targets_.markReachable(*target); // nobody tells when it is back
            targets_.presumeCold(*target, now(), placement::ColdReason::LinkLost);
        }
    }
    targets_.setAgentConnected(address, isConnected);
    retryWaiting(isConnected ? waiting_.forService(service) : waiting_.forTarget(address));
}

void Gateway::onEngineState(const std::string &address, const EngineState &state)
{
    for (Target *target : targets_.atAddress(address)) {
        if (state.isReachable_) {
            targets_.markReachable(*target);
            targets_.presumeCold(*target, now(), placement::ColdReason::Returned, state.upFor_);
        } else {
            targets_.markUnreachable(*target);
        }
    }
    retryWaiting(waiting_.forTarget(address));
}

void Gateway::requestPermit(const Target &target, const AdmittedRequest &request,
                            placement::PermitDesk::Handler handler)
{
    const auto service = config_->services_.find(target.record_.service_);
    placement::PermitRequest wanted;
    wanted.priority_ = request.priority_;
    wanted.rate_ = service == config_->services_.end() ? 0 : service->second.coldRate_;
    permits_.request(target, std::move(wanted), std::move(handler));
}

void Gateway::reviewCold()
{
    const auto onCold = [this](const Target &target) {
        const Duration left = target.cold_.coldUntil() - now();
        parts_.log_.write(LogDetail::Full, "target_cold",
                          {{"target", target.record_.instance_},
                           {"reason", placement::coldReasonName(target.cold_.reason())},
                           {"for_us", left.count()}});
    };
    const auto onWarm = [this](const Target &target) {
        parts_.log_.write(LogDetail::Full, "target_warm", {{"target", target.record_.instance_}});
    };
    const std::size_t count = targets_.reviewCold(now(), onCold, onWarm);
    parts_.metrics_.gauge("foxtailturn_cold_targets", "targets that this entry holds for cold")
        .set(static_cast<std::int64_t>(count));
}

bool Gateway::isLoadUnderWay(const std::string &instance, const std::string &name)
{
    const Target *target = targets_.find(instance);
    if (target == nullptr
        || !placements_[target->record_.service_].isLoadUnderWay(*target, name, now()))
        return false;
    return target->requestedLoads_.at(name).version_ >= versions_.newest(name);
}

void Gateway::recordLeaving(const std::string &instance)
{
    if (!targets_.markLeaving(instance))
        return;
    serving_.recordLeaving(targets_.find(instance)->record_.service_);
    parts_.log_.write(LogDetail::Full, "target_leaving", {{"target", instance}});
}

void Gateway::recordConnectionLoss(const std::string &instance,
                                   const std::vector<Suspect> &suspects)
{
    const Target *target = targets_.find(instance);
    if (target == nullptr)
        return;
    const TargetStart start{instance,
                            instance + "@" + std::to_string(target->record_.startTimeMs_)};
    if (crashes_.recordLoss(start, suspects, now()))
        checkTarget(instance, target->record_.address_);
}

void Gateway::checkTarget(const std::string &instance, const std::string &address)
{
    const auto onChecked = [this, instance, address](Reachability reachability) {
        if (reachability != Reachability::Reachable) {
            recordUnreachable(instance);
            return;
        }
        serving_.recordConnectionLoss(false);
        parts_.log_.write(LogDetail::Full, "connection_lost", {{"target", instance}});
        if (crashes_.recordReachable(instance, now()))
            checkTarget(instance, address);
    };
    pool_.check(address, now() + kCheckTimeout, onChecked);
}

void Gateway::recordUnreachable(const std::string &instance)
{
    if (Target *target = targets_.find(instance))
        targets_.presumeCold(*target, now(), placement::ColdReason::Unreachable);
    const std::optional<Crash> crash = crashes_.recordUnreachable(instance, now());
    if (!crash)
        return;
    serving_.recordConnectionLoss(true);
    parts_.log_.write(LogDetail::Full, "target_crashed",
                      {{"target", instance}, {"suspects", crash->suspects_.size()}});
    std::vector<SuspectRecord> records;
    for (const Suspect &suspect : crash->suspects_) {
        const SuspectRecord record = quarantine_.crashed(suspect, crash->id_);
        if (record.standing() == Standing::Clear)
            continue;
        parts_.log_.write(LogDetail::Full, "suspect",
                          {{"fingerprint", suspect.fingerprint_},
                           {"target", instance},
                           {"crashes", record.crashes_.size()}});
        records.push_back(record);
    }
    if (suspectHandler_)
        suspectHandler_(records);
}

void Gateway::recordSound(const std::vector<Suspect> &suspects)
{
    std::vector<SuspectRecord> cleared;
    for (const Suspect &suspect : suspects) {
        const std::optional<SuspectRecord> record = quarantine_.completed(suspect.fingerprint_);
        if (!record)
            continue;
        cleared.push_back(*record);
        parts_.log_.write(LogDetail::Full, "suspect_cleared",
                          {{"fingerprint", suspect.fingerprint_}});
    }
    if (!cleared.empty() && suspectHandler_)
        suspectHandler_(cleared);
}

bool Gateway::isQuarantined(const std::vector<Suspect> &suspects) const
{
    return std::any_of(suspects.begin(), suspects.end(), [this](const Suspect &suspect) {
        return !quarantine_.admit(suspect.fingerprint_);
    });
}

void Gateway::countAnswer(const AdmittedRequest *request, int status, std::string_view reason)
{
    serving_.recordAnswer(request == nullptr ? "none" : routeKindName(request->route_->kind_),
                          status, reason);
}

bool Gateway::tryRetry(const std::string &service)
{
    const bool isAllowed = budget_.tryRetry(service);
    serving_.retry(service, isAllowed, budget_.remaining(service));
    return isAllowed;
}

nlohmann::json Gateway::state()
{
    nlohmann::json targets = nlohmann::json::array();
    for (Target *target : targets_.all()) {
        targets.push_back({{"instance", target->record_.instance_},
                           {"service", target->record_.service_},
                           {"address", target->record_.address_},
                           {"draining", target->record_.phase_ == TargetPhase::Draining},
                           {"leaving", target->isLeaving_},
                           {"listed", target->usableUntil_ == TimePoint::max()},
                           {"superseded", target->isSuperseded_},
                           {"evacuated", target->isEvacuated_},
                           {"suspect", target->isSuspect(now())},
                           {"agent", target->isAgentConnected_},
                           {"cold", target->cold_.isCold(now())},
                           {"cold_reason", placement::coldReasonName(target->cold_.reason())},
                           {"unreachable", target->cold_.isUnreachable()},
                           {"in_flight", target->inFlight_},
                           {"running", target->report_.running_},
                           {"queued", target->report_.queued_}});
    }
    nlohmann::json shares = nlohmann::json::object();
    nlohmann::json owners = nlohmann::json::object();
    if (config_) {
        for (const Workspace &workspace : config_->workspaces_) {
            shares[workspace.name_] = quotas_.unitsOf(workspace.name_);
            owners[workspace.name_] = quotas_.ownersOf(workspace.name_);
        }
    }
    return {{"name", options_.name_},
            {"revision", config_ ? config_->revision_ : 0},
            {"targets", targets},
            {"quota_units", shares},
            {"quota_owners", owners},
            {"waiting", waiting_.size()},
            {"evacuated", evacuations_.evacuated()},
            {"connections_opened", pool_.opened()},
            {"connections_reused", pool_.reused()}};
}

} // namespace foxtailturn::gateway
