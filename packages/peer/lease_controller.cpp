#include "peer/lease_controller.h"

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "peer/async_call.h"
#include "peer/incarnation.h"

namespace foxtailturn {

namespace {

const Logger kLog("lease");

constexpr auto kTableTimeout = std::chrono::milliseconds(500);
constexpr auto kContactTimeout = std::chrono::milliseconds(500);

// Collects the configuration revisions that the witnesses of one contact round report.
class ContactRound
{
public:
    ContactRound(std::size_t witnesses, TimePoint askedAt, LeaseController::OnMajority onMajority)
        : majority_(majorityOf(witnesses))
        , askedAt_(askedAt)
        , onMajority_(std::move(onMajority))
    { }

    void onReply(std::uint64_t revision)
    {
        const std::lock_guard lock(mutex_);
        highestRevision_ = std::max(highestRevision_, revision);
        if (++replyCount_ == majority_)
            onMajority_(highestRevision_, askedAt_);
    }

private:
    std::size_t majority_;
    TimePoint askedAt_;
    LeaseController::OnMajority onMajority_;
    std::mutex mutex_;
    std::size_t replyCount_ = 0;
    std::uint64_t highestRevision_ = 0;
};

} // namespace

std::vector<std::string> chooseWitnesses(const std::string &holder,
                                         const std::vector<Peer> &livePeers,
                                         const std::vector<std::string> &current)
{
    std::vector<std::string> chosen;
    std::map<std::string, int> witnessesPerDataCentre;
    std::vector<const Peer *> candidates;
    for (const Peer &peer : livePeers) {
        const bool isCurrent =
            std::find(current.begin(), current.end(), peer.incarnation_) != current.end();
        if (!isCurrent || chosen.size() >= kMaxWitnesses) {
            candidates.push_back(&peer);
            continue;
        }
        chosen.push_back(peer.incarnation_);
        ++witnessesPerDataCentre[peer.member_.dataCentre_];
    }
    const std::uint64_t seed = hash64(holder);
    std::sort(candidates.begin(), candidates.end(), [seed](const Peer *a, const Peer *b) {
        return hash64(a->incarnation_, seed) < hash64(b->incarnation_, seed);
    });
    while (chosen.size() < kMaxWitnesses && !candidates.empty()) {
        const auto leastUsed =
            std::min_element(candidates.begin(), candidates.end(),
                             [&witnessesPerDataCentre](const Peer *a, const Peer *b) {
                                 return witnessesPerDataCentre[a->member_.dataCentre_]
                                     < witnessesPerDataCentre[b->member_.dataCentre_];
                             });
        chosen.push_back((*leastUsed)->incarnation_);
        ++witnessesPerDataCentre[(*leastUsed)->member_.dataCentre_];
        candidates.erase(leastUsed);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

LeaseController::LeaseController(std::string self, const Clock &clock, LeaseHolder &lease,
                                 PeerDirectory &peers, OnMajority onMajority)
    : self_(std::move(self))
    , clock_(&clock)
    , lease_(&lease)
    , peers_(&peers)
    , onMajority_(std::move(onMajority))
{ }

void LeaseController::tick()
{
    sendContacts();
    updateWitnesses();
    const TimePoint deadline = clock_->now() + kTableTimeout;
    const Result<void> renewed =
        acquired_ ? lease_->renew(deadline) : lease_->acquire(witnesses_, deadline);
    acquired_ = acquired_ || renewed.has_value();
    const bool failed = !renewed.has_value();
    if (failed != renewalFailed_)
        kLog.warn(failed ? concat("table renewal fails, code=", errorName(renewed.error().code_))
                         : std::string("table renewal works again"));
    renewalFailed_ = failed;
}

void LeaseController::sendContacts()
{
    const std::vector<WitnessContact> contacts = lease_->startContacts();
    auto round = std::make_shared<ContactRound>(contacts.size(), clock_->now(), onMajority_);
    for (const WitnessContact &contact : contacts) {
        wire::WitnessContactRequest request;
        request.set_holder(contact.holder_);
        request.set_witness(contact.witness_);
        request.set_round(contact.round_);
        callPeer<wire::WitnessContactReply>(
            peers_->channelOf(processNameOf(contact.witness_)), kContactTimeout, request,
            [](auto &async, auto... args) { async.WitnessContact(args...); },
            [lease = lease_, contact, round](const wire::WitnessContactReply &reply) {
                round->onReply(reply.revision());
                lease->onAnswer(
                    {contact.holder_, contact.witness_, contact.round_, reply.accepted()});
            });
    }
}

void LeaseController::updateWitnesses()
{
    std::vector<Peer> live = peers_->livePeers(clock_->now());
    const std::set<std::string> refusing = lease_->refusingWitnesses();
    std::erase_if(live, [&](const Peer &peer) { return refusing.contains(peer.incarnation_); });
    std::vector<std::string> chosen = chooseWitnesses(self_, live, witnesses_);
    // Never reduces the number of witnesses: while peers are unreachable, a majority of a smaller
    // set could be a minority of the current one.
    if (chosen == witnesses_ || chosen.size() < witnesses_.size())
        return;
    witnesses_ = std::move(chosen);
    if (acquired_)
        lease_->setWitnesses(witnesses_);
}

void LeaseController::release()
{
    const Result<void> released = lease_->release(clock_->now() + kTableTimeout);
    if (!released)
        kLog.warn(concat("lease was not released, code=", errorName(released.error().code_)));
}

} // namespace foxtailturn
