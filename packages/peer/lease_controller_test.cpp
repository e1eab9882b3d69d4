#include "peer/lease_controller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace foxtailturn {
namespace {

Peer peerOf(const std::string &name, const std::string &dataCentre)
{
    Peer peer;
    peer.member_ = {name, "agent", "127.0.0.1:1", dataCentre, VmState::Live};
    peer.incarnation_ = name + "#1";
    return peer;
}

// Guards against losing all witnesses with one data centre.
TEST_CASE("witnesses are spread over data centres")
{
    std::vector<Peer> peers;
    peers.reserve(9);
    for (int i = 0; i < 6; ++i)
        peers.push_back(peerOf("a" + std::to_string(i), "dc-a"));
    for (int i = 0; i < 2; ++i)
        peers.push_back(peerOf("b" + std::to_string(i), "dc-b"));
    peers.push_back(peerOf("c0", "dc-c"));
    const std::vector<std::string> chosen = chooseWitnesses("h", peers, {});
    CHECK(chosen.size() == kMaxWitnesses);
    const auto countOf = [&](char dataCentre) {
        return std::count_if(chosen.begin(), chosen.end(),
                             [&](const std::string &id) { return id[0] == dataCentre; });
    };
    CHECK(countOf('a') == 2);
    CHECK(countOf('b') == 2);
    CHECK(countOf('c') == 1);
}

// Guards against a row write for each change of the peer list.
TEST_CASE("live witnesses are kept")
{
    const std::vector<Peer> peers = {peerOf("a0", "dc-a"), peerOf("a1", "dc-a"),
                                     peerOf("b0", "dc-b"), peerOf("b1", "dc-b"),
                                     peerOf("c0", "dc-c"), peerOf("c1", "dc-c")};
    const std::vector<std::string> current = {"a0#1", "a1#1", "b0#1", "b1#1", "c1#1"};
    CHECK(chooseWitnesses("h", peers, current) == current);
}

// Guards against a few processes being the witnesses of the whole fleet. In one case 17 of 18 lease
// rows named the same agent.
TEST_CASE("witnesses of different holders are spread over the fleet")
{
    constexpr int kPeers = 60;
    std::vector<Peer> peers;
    peers.reserve(kPeers);
    for (int i = 0; i < kPeers; ++i)
        peers.push_back(peerOf("p" + std::to_string(i), "dc-" + std::to_string(i % 3)));
    std::map<std::string, int> rowCounts;
    for (const Peer &holder : peers) {
        for (const std::string &witness : chooseWitnesses(holder.incarnation_, peers, {}))
            ++rowCounts[witness];
    }
    for (const auto &rowCount : rowCounts) {
        CAPTURE(rowCount.first);
        CHECK(rowCount.second <= 4 * static_cast<int>(kMaxWitnesses));
    }
}

} // namespace
} // namespace foxtailturn
