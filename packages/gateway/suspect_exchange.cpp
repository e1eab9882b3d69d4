#include "gateway/suspect_exchange.h"

#include <algorithm>

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
    if (!isConnected) {
        connected_.erase(hash64(engine));
        return;
    }
    connected_[hash64(engine)] = engine;
    const std::vector<std::string> engines = relays();
    const std::vector<SuspectRecord> records = quarantine_.records();
    if (!records.empty() && std::find(engines.begin(), engines.end(), engine) != engines.end())
        handlers_.send_(engine, encode(SuspectNotice{records}));
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
        storeIfNeeded(record);
    }
}

void SuspectExchange::receive(const SuspectNotice &notice)
{
    for (const SuspectRecord &record : notice.records_) {
        const std::optional<SuspectRecord> before = quarantine_.find(record.fingerprint_);
        const SuspectRecord merged = quarantine_.merge(record);
        if (merged == before)
            continue;
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
