#pragma once

// Accepts connections from other processes of the system and exchanges lines of text with them.
//
//     LineServer server(context);
//     server.onLines([](int peer, const std::vector<std::string> &lines) { ... });
//     Result<void> listening = server.listen("10.0.0.7:7600");
//     server.sendAll("{...}\n");
//
// The server disconnects a peer that does not read or that sends an overlong line.

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "net/byte_stream.h"

namespace foxtailturn::gateway {

// Not thread-safe: all calls come from the thread that runs the context. Handlers run on the
// event loop, never within send() or sendAll().
class LineServer
{
public:
    using LinesHandler = std::function<void(int peer, const std::vector<std::string> &lines)>;
    using PeerHandler = std::function<void(int peer)>;

    // context must outlive the server.
    explicit LineServer(asio::io_context &context);

    // Each replaces the previous handler. Precondition: listen() was not called yet.
    void onLines(LinesHandler handler) { onLines_ = std::move(handler); }
    void onConnected(PeerHandler handler) { onConnected_ = std::move(handler); }
    void onDisconnected(PeerHandler handler) { onDisconnected_ = std::move(handler); }

    // Accepts no more than this many peers at a time. A peer that has sent no line yet is dropped
    // for a new one.
    void limitPeers(std::size_t max) { maxPeers_ = max; }

    // Error: InvalidSettings when the address can't be used.
    [[nodiscard]] Result<void> listen(const std::string &address);

    // Send lines, each of which must end with a line feed, to one peer, to all, or to all but one.
    // Lines to a disconnected peer are discarded.
    void send(int peer, const std::string &lines);
    void sendAll(const std::string &lines);
    void sendOthers(int except, const std::string &lines);

    // Returns the number of connected peers.
    [[nodiscard]] std::size_t peers() const { return peers_.size(); }

private:
    struct Peer
    {
        std::shared_ptr<ByteStream> stream_;
        std::string buffer_;
        bool isDropPending_ = false;
        bool hasSentLine_ = false;
    };

    void accept();
    // Returns whether there is room for another peer.
    [[nodiscard]] bool makeRoom();
    void dropLargestBuffer();
    void onData(int peer, std::string_view data);
    void drop(int peer);

    asio::ip::tcp::acceptor acceptor_;
    LinesHandler onLines_;
    PeerHandler onConnected_;
    PeerHandler onDisconnected_;
    std::map<int, std::shared_ptr<Peer>> peers_;
    int nextPeerId_ = 1;
    std::size_t maxPeers_ = std::numeric_limits<std::size_t>::max();
    std::size_t bufferedBytes_ = 0; // of all peers, received without a line end
};

} // namespace foxtailturn::gateway
