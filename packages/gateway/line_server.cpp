#include "gateway/line_server.h"

#include <algorithm>

#include "gateway/agent_messages.h"
#include "gateway/target_connection.h"
#include "net/endpoint.h"

namespace foxtailturn::gateway {

namespace {

constexpr std::size_t kMaxUnsentBytes = 65'536; // bytes queued for a peer that does not read
constexpr std::size_t kMaxBufferedBytes = 65'536; // bytes received without a line end
constexpr std::size_t kMaxTotalBuffered = 2'097'152; // the same of all peers

} // namespace

LineServer::LineServer(asio::io_context &context)
    : acceptor_(context)
{ }

Result<void> LineServer::listen(const std::string &address)
{
    if (Result<void> listening = listenOn(acceptor_, address); !listening)
        return listening;
    accept();
    return {};
}

void LineServer::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open())
            return;
        if (!error && makeRoom()) {
            const int id = nextPeerId_++;
            auto peer = std::make_shared<Peer>();
            peer->stream_ = ByteStream::create(std::move(socket));
            peers_[id] = peer;
            peer->stream_->start([this, id](std::string_view data) { onData(id, data); },
                                 [this, id](const asio::error_code &) { drop(id); });
            if (onConnected_)
                onConnected_(id);
        }
        accept();
    });
}

void LineServer::onData(int peer, std::string_view data)
{
    const auto it = peers_.find(peer);
    if (it == peers_.end())
        return;
    const std::shared_ptr<Peer> current = it->second;
    const std::size_t before = current->buffer_.size();
    current->buffer_ += data;
    const std::vector<std::string> lines = extractLines(current->buffer_);
    current->hasSentLine_ = current->hasSentLine_ || !lines.empty();
    bufferedBytes_ = bufferedBytes_ - before + current->buffer_.size();
    if (current->isDropPending_ || current->buffer_.size() > kMaxBufferedBytes) {
        drop(peer);
        return;
    }
    if (!lines.empty() && onLines_)
        onLines_(peer, lines);
    if (bufferedBytes_ > kMaxTotalBuffered)
        dropLargestBuffer();
}

void LineServer::dropLargestBuffer()
{
    const auto largest =
        std::max_element(peers_.begin(), peers_.end(), [](const auto &a, const auto &b) {
            return a.second->buffer_.size() < b.second->buffer_.size();
        });
    if (largest != peers_.end())
        drop(largest->first);
}

bool LineServer::makeRoom()
{
    if (peers_.size() < maxPeers_)
        return true;
    const auto silent = std::find_if(peers_.begin(), peers_.end(),
                                     [](const auto &peer) { return !peer.second->hasSentLine_; });
    if (silent == peers_.end())
        return false;
    drop(silent->first);
    return true;
}

void LineServer::send(int peer, const std::string &lines)
{
    const auto it = peers_.find(peer);
    if (it == peers_.end() || it->second->isDropPending_)
        return;
    if (it->second->stream_->queuedBytes() <= kMaxUnsentBytes) {
        it->second->stream_->send(lines);
        return;
    }
    // Deferred to the event loop, since the caller may be within a handler of this peer.
    it->second->isDropPending_ = true;
    asio::post(acceptor_.get_executor(), [this, peer] { drop(peer); });
}

void LineServer::sendAll(const std::string &lines)
{
    for (const auto &[id, peer] : peers_)
        send(id, lines);
}

void LineServer::sendOthers(int except, const std::string &lines)
{
    for (const auto &[id, peer] : peers_) {
        if (id != except)
            send(id, lines);
    }
}

void LineServer::drop(int peer)
{
    const auto it = peers_.find(peer);
    if (it == peers_.end())
        return;
    it->second->stream_->close();
    bufferedBytes_ -= it->second->buffer_.size();
    peers_.erase(it);
    if (onDisconnected_)
        onDisconnected_(peer);
}

} // namespace foxtailturn::gateway
