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
        // Tells the sidecar that this entry answers offers, however late it reads this one.
        handlers_.send_(engine, encode(SuspectRequest{}));
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
    SuspectRequest request;
    std::size_t untracked = 0;
    for (const std::uint64_t digest : offer.digests_) {
        if (known_.contains(digest))
            continue;
        if (missing_.size() >= kMaxMissing && !missing_.contains(digest))
            ++untracked;
        else if (addHolder(digest, engine))
            request.digests_.push_back(digest);
    }
    if (untracked > 0)
        log_.write(LogDetail::Full, "suspects_untracked",
                   {{"engine", engine}, {"records", untracked}});
    if (!request.digests_.empty())
        handlers_.send_(engine, encode(request));
}

// Returns whether the record is to be requested from the new holder.
bool SuspectExchange::addHolder(std::uint64_t digest, const std::string &engine)
{
    constexpr std::size_t kMaxHolders = 8; // of one record; bounds the memory
    MissingRecord &missing = missing_[digest];
    std::vector<std::string> &holders = missing.holders_;
    if (std::find(holders.begin(), holders.end(), engine) != holders.end())
        return false;
    if (holders.size() == kMaxHolders) {
        missing.hasMoreHolders_ = true;
        return false;
    }
    holders.push_back(engine);
    missingByHolder_[engine].insert(digest);
    return holders.size() <= kMaxAsked;
}

void SuspectExchange::removeHolder(const std::string &engine)
{
    const auto held = missingByHolder_.find(engine);
    if (held == missingByHolder_.end())
        return;
    const Digests digests = std::move(held->second);
    missingByHolder_.erase(held);
    std::map<std::string, SuspectRequest> requests; // by engine
    for (const std::uint64_t digest : digests) {
        if (const std::string next = replaceHolder(digest, engine); !next.empty())
            requests[next].digests_.push_back(digest);
    }
    for (const auto &[holder, request] : requests)
        handlers_.send_(holder, encode(request));
}

// Returns the engine that is to be asked in place of the lost one, if any.
std::string SuspectExchange::replaceHolder(std::uint64_t digest, const std::string &engine)
{
    MissingRecord &missing = missing_.at(digest);
    std::vector<std::string> &holders = missing.holders_;
    const auto lost = std::find(holders.begin(), holders.end(), engine);
    const bool wasAsked = lost - holders.begin() < static_cast<std::ptrdiff_t>(kMaxAsked);
    holders.erase(lost);
    if (wasAsked && holders.size() >= kMaxAsked)
        return holders[kMaxAsked - 1];
    if (holders.size() < kMaxAsked && missing.hasMoreHolders_) {
        // The first in rank are the relays, which hold the records of all entries.
        for (const auto &[rank, other] : connected_) {
            if (std::find(holders.begin(), holders.end(), other) == holders.end())
                return addHolder(digest, other) ? other : std::string();
        }
    }
    // A sidecar that gets a record after its offer passes it on without a request.
    if (holders.empty())
        missing_.erase(digest);
    return {};
}

void SuspectExchange::eraseMissing(std::uint64_t digest)
{
    const auto missing = missing_.find(digest);
    if (missing == missing_.end())
        return;
    for (const std::string &holder : missing->second.holders_) {
        const auto held = missingByHolder_.find(holder);
        held->second.erase(digest);
        if (held->second.empty())
            missingByHolder_.erase(held);
    }
    missing_.erase(missing);
}

void SuspectExchange::addKnown(const SuspectRecord &record)
{
    constexpr std::size_t kMaxKnown = 16'384; // a digest that was dropped is requested again
    if (known_.size() >= kMaxKnown)
        known_.clear();
    const std::uint64_t digest = record.digest();
    known_.insert(digest);
    eraseMissing(digest);
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
    std::vector<std::uint64_t> expired;
    for (auto &[digest, missing] : missing_) {
        if (std::exchange(missing.isOld_, true))
            expired.push_back(digest);
    }
    for (const std::uint64_t digest : expired)
        eraseMissing(digest);
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
