#include "gateway/suspect_exchange.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace foxtailturn::gateway {

SuspectExchange::SuspectExchange(Quarantine &quarantine, EventLog &log, Handlers handlers)
    : quarantine_(quarantine)
    , log_(log)
    , handlers_(std::move(handlers))
{ }

std::vector<std::string> SuspectExchange::relays() const
{
    std::vector<std::string> engines;
    for (const auto &[rank, engine] : connected_) {
        if (engines.size() == kRelays)
            break;
        engines.push_back(engine);
    }
    return engines;
}

void SuspectExchange::setConnected(const std::string &engine, bool isConnected)
{
    greeted_.erase(engine);
    if (isConnected) {
        connected_[hash64(engine)] = engine;
        return;
    }
    connected_.erase(hash64(engine));
    removeHolder(engine);
}

void SuspectExchange::receive(const std::string &engine, const AgentMessage &message)
{
    if (message.suspectOffer_) {
        greet(engine, *message.suspectOffer_);
        requestMissing(engine, *message.suspectOffer_);
    }
    if (message.suspects_)
        merge(*message.suspects_);
}

void SuspectExchange::onReport(const std::string &engine)
{
    greet(engine, {});
}

void SuspectExchange::greet(const std::string &engine, const SuspectOffer &held)
{
    if (greeted_.contains(engine))
        return;
    greeted_.insert(engine);
    sendMissing(engine, held);
}

void SuspectExchange::sendMissing(const std::string &engine, const SuspectOffer &held)
{
    const std::vector<std::string> engines = relays();
    if (std::find(engines.begin(), engines.end(), engine) == engines.end())
        return;
    std::vector<SuspectRecord> records = quarantine_.records();
    const std::unordered_set<std::uint64_t> digests(held.digests_.begin(), held.digests_.end());
    std::erase_if(records, [&digests](const SuspectRecord &record) {
        return digests.contains(record.digest());
    });
    if (!records.empty())
        handlers_.send_(engine, encode(SuspectNotice{records}));
}

void SuspectExchange::requestMissing(const std::string &engine, const SuspectOffer &offer)
{
    if (offer.digests_.empty() || !connected_.contains(hash64(engine)))
        return;
    constexpr std::size_t kMaxHolders = 8; // of one record; bounds the memory
    SuspectRequest request;
    for (const std::uint64_t digest : offer.digests_) {
        if (known_.contains(digest))
            continue;
        std::vector<std::string> &holders = missing_[digest].holders_;
        if (holders.size() < kMaxHolders
            && std::find(holders.begin(), holders.end(), engine) == holders.end())
            holders.push_back(engine);
        if (holders.size() <= kMaxAsked && holders.back() == engine)
            request.digests_.push_back(digest);
    }
    handlers_.send_(engine, encode(request)); // also without a digest: the sidecar waits for it
}

void SuspectExchange::removeHolder(const std::string &engine)
{
    std::map<std::string, SuspectRequest> requests; // by engine
    SuspectRequest withoutHolder; // those that are known are bounded, so others may hold it
    for (auto &[digest, missing] : missing_) {
        std::vector<std::string> &holders = missing.holders_;
        const auto holder = std::find(holders.begin(), holders.end(), engine);
        if (holder == holders.end())
            continue;
        const bool wasAsked = holder - holders.begin() < static_cast<std::ptrdiff_t>(kMaxAsked);
        holders.erase(holder);
        if (holders.empty())
            withoutHolder.digests_.push_back(digest);
        else if (wasAsked && holders.size() >= kMaxAsked)
            requests[holders[kMaxAsked - 1]].digests_.push_back(digest);
    }
    for (const auto &[holder, request] : requests)
        handlers_.send_(holder, encode(request));
    if (withoutHolder.digests_.empty())
        return;
    const auto connected = connected_; // a link may be dropped as it can't send
    for (const auto &[rank, other] : connected)
        handlers_.send_(other, encode(withoutHolder));
}

void SuspectExchange::addKnown(const SuspectRecord &record)
{
    constexpr std::size_t kMaxKnown = 16'384; // a digest that was dropped is requested again
    if (known_.size() >= kMaxKnown)
        known_.clear();
    const std::uint64_t digest = record.digest();
    known_.insert(digest);
    missing_.erase(digest);
}

void SuspectExchange::publish(const std::vector<SuspectRecord> &records)
{
    if (records.empty())
        return;
    const std::string lines = encode(SuspectNotice{records});
    for (const std::string &engine : relays())
        handlers_.send_(engine, lines);
    for (const SuspectRecord &record : records) {
        published_.insert(record.fingerprint_);
        addKnown(record);
        storeIfNeeded(record);
    }
}

void SuspectExchange::merge(const SuspectNotice &notice)
{
    for (const SuspectRecord &record : notice.records_) {
        addKnown(record);
        const std::optional<SuspectRecord> before = quarantine_.find(record.fingerprint_);
        const SuspectRecord merged = quarantine_.merge(record);
        if (merged == before)
            continue;
        addKnown(merged);
        if (!quarantine_.admit(merged.fingerprint_))
            log_.write(LogDetail::Full, "suspect_learned",
                       {{"fingerprint", merged.fingerprint_}, {"crashes", merged.crashes_.size()}});
        // Two entries may each record a crash before they know of the other's.
        if (published_.contains(merged.fingerprint_))
            storeIfNeeded(merged);
    }
}

void SuspectExchange::removeExpired()
{
    quarantine_.removeExpired();
    // A record that expired or changed at its holders is never sent under the digest of the offer.
    for (auto it = missing_.begin(); it != missing_.end();)
        it = std::exchange(it->second.isOld_, true) ? missing_.erase(it) : std::next(it);
    std::erase_if(published_, [this](const std::string &fingerprint) {
        return !quarantine_.find(fingerprint);
    });
}

void SuspectExchange::storeIfNeeded(const SuspectRecord &record)
{
    const bool isQuarantined = !quarantine_.admit(record.fingerprint_);
    if (isQuarantined || connected_.empty() || handlers_.isStored_(record.fingerprint_))
        handlers_.store_(record);
}

} // namespace foxtailturn::gateway
