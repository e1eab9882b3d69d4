#include "gateway/line_server.h"

#include "gateway/agent_messages.h"
#include "gateway/target_connection.h"

namespace foxtailturn::gateway {

namespace {

constexpr std::size_t kMaxUnsentBytes = 65'536; // bytes queued for a peer that does not read
constexpr std::size_t kMaxBufferedBytes = 65'536; // bytes received without a line end

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
        if (!error) {
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
    current->buffer_ += data;
    const std::vector<std::string> lines = extractLines(current->buffer_);
    if (current->isDropPending_ || current->buffer_.size() > kMaxBufferedBytes) {
        drop(peer);
        return;
    }
    if (!lines.empty() && onLines_)
        onLines_(peer, lines);
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
    peers_.erase(it);
    if (onDisconnected_)
        onDisconnected_(peer);
}

} // namespace foxtailturn::gateway
