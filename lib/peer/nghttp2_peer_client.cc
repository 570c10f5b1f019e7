#include "mangoport/adapters/nghttp2_peer_client.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "lib/peer/http2_connection.h"

namespace mangoport {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kStatusOk = 200;
/// Replies with which the server says that no handler saw the request.
constexpr std::array<int, 5> kRefusingStatuses = {400, 404, 413, 431, 503};
/// A request goes to a second connection if the first one broke before the
/// whole request had left.
constexpr int kMaxConnectionsPerCall = 2;
constexpr std::uint32_t kMaxReplyHeaderBytes = 8 << 10;

class ClientConnection;

/// One call from its start to `done`.
struct OpenCall {
  OpenCall(asio::io_context& context, Duration timeout)
      : deadline(context, timeout) {}

  std::string authority;
  std::string path;
  std::string body;
  std::function<void(PeerReply)> done;
  asio::steady_timer deadline;
  /// Where the call was last submitted.
  std::weak_ptr<ClientConnection> connection;
  std::int32_t stream = -1;
  int connections_tried = 0;
  std::size_t sent = 0;
  /// The peer may have the whole request.
  bool sent_whole = false;
  int status = 0;
  std::string reply;
  bool finished = false;
};

using OpenCallPtr = std::shared_ptr<OpenCall>;

/// What a connection tells the link that owns it.
struct ConnectionHooks {
  std::function<void(const OpenCallPtr&, PeerReply)> finish;
  std::function<void(std::string_view reason,
                     const std::vector<OpenCallPtr>& left)>
      closed;
  std::function<void()> silent;
};

class ClientConnection : public Http2Connection {
 public:
  ClientConnection(asio::io_context& context,
                   asio::ip::tcp::socket socket,
                   const PeerClientOptions& options,
                   ConnectionHooks hooks)
      : Http2Connection(Role::kClient,
                        std::move(socket),
                        {0, kMaxReplyHeaderBytes}),
        options_(options),
        hooks_(std::move(hooks)),
        watch_timer_(context) {}

  bool accepts_calls() {
    return !closed() && !draining_ &&
           nghttp2_session_check_request_allowed(session()) != 0;
  }

  void Submit(const OpenCallPtr& call);

  /// Gives the call up and tells the peer so.
  void Abandon(const OpenCallPtr& call);

  /// Checks progress and idleness at regular times until the connection is
  /// closed.
  void Watch();

 protected:
  void OnHeader(std::int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnData(std::int32_t stream, std::string_view data) override;
  void OnEndStream(std::int32_t stream) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t error) override;
  void OnGoaway() override { draining_ = true; }
  void OnClosed(std::string_view reason) override;

 private:
  /// Sends a PING when the other end has been quiet, and closes when it has
  /// not reacted to one.
  void CheckProgress(MonoTime now);
  std::shared_ptr<ClientConnection> Self() {
    return std::static_pointer_cast<ClientConnection>(shared_from_this());
  }
  OpenCallPtr Take(std::int32_t stream);
  PeerReply ReplyOf(const OpenCall& call, std::uint32_t error) const;

  const PeerClientOptions& options_;
  ConnectionHooks hooks_;
  std::unordered_map<std::int32_t, OpenCallPtr> calls_;
  asio::steady_timer watch_timer_;
  std::optional<MonoTime> ping_sent_;
  MonoTime last_submitted_{};
  bool draining_ = false;
};

void ClientConnection::Submit(const OpenCallPtr& call) {
  const std::array<nghttp2_nv, 4> fields = {
      Field(":method", "POST"), Field(":scheme", "http"),
      Field(":authority", call->authority), Field(":path", call->path)};
  nghttp2_data_provider provider{};
  provider.source.ptr = call.get();
  provider.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* buf,
                              std::size_t length, std::uint32_t* flags,
                              nghttp2_data_source* source, void*) {
    auto* it = static_cast<OpenCall*>(source->ptr);
    const ssize_t n = ReadBody(it->body, it->sent, buf, length, flags);
    it->sent_whole = it->sent == it->body.size();
    return n;
  };
  call->sent = 0;
  call->connection = Self();
  last_submitted_ = Clock::now();
  call->stream = nghttp2_submit_request(session(), nullptr, fields.data(),
                                        fields.size(), &provider, nullptr);
  if (call->stream < 0) {
    hooks_.finish(call, {PeerStatus::kRefused, "no stream left"});
    return;
  }
  calls_.emplace(call->stream, call);
  CheckProgress(last_submitted_);
  Flush();
}

void ClientConnection::Abandon(const OpenCallPtr& call) {
  const auto it = calls_.find(call->stream);
  if (it == calls_.end() || it->second != call)
    return;
  SubmitReset(call->stream, NGHTTP2_CANCEL);
}

void ClientConnection::Watch() {
  watch_timer_.expires_after(options_.ping_interval / 2);
  watch_timer_.async_wait([self = Self()](std::error_code ec) {
    if (ec || self->closed())
      return;
    const MonoTime now = Clock::now();
    self->CheckProgress(now);
    const bool idle = self->calls_.empty() && now - self->last_submitted_ >=
                                                  self->options_.idle_timeout;
    if (idle)
      self->Close("idle");
    if (!self->closed())
      self->Watch();
  });
}

void ClientConnection::CheckProgress(MonoTime now) {
  if (ping_sent_ && last_received() > *ping_sent_)
    ping_sent_.reset();
  if (calls_.empty() || closed())
    return;
  if (!ping_sent_) {
    if (now - last_received() < options_.ping_interval)
      return;
    ping_sent_ = now;
    SubmitPing();
    return;
  }
  if (now - *ping_sent_ < options_.progress_deadline)
    return;
  hooks_.silent();
  Close("connection silent");
}

void ClientConnection::OnHeader(std::int32_t stream,
                                std::string_view name,
                                std::string_view value) {
  const auto it = calls_.find(stream);
  if (it == calls_.end() || name != ":status")
    return;
  std::from_chars(value.data(), value.data() + value.size(),
                  it->second->status);
}

void ClientConnection::OnData(std::int32_t stream, std::string_view data) {
  const auto it = calls_.find(stream);
  if (it == calls_.end())
    return;
  OpenCall& call = *it->second;
  if (call.reply.size() + data.size() <= options_.max_body_bytes) {
    call.reply.append(data);
    return;
  }
  hooks_.finish(it->second, {PeerStatus::kUnknown, "reply is over the limit"});
}

void ClientConnection::OnEndStream(std::int32_t stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end() || it->second->sent_whole)
    return;
  // The peer has answered early: the rest of the request is not wanted.
  const OpenCallPtr call = it->second;
  hooks_.finish(call, ReplyOf(*call, NGHTTP2_NO_ERROR));
}

OpenCallPtr ClientConnection::Take(std::int32_t stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end())
    return nullptr;
  OpenCallPtr call = std::move(it->second);
  calls_.erase(it);
  return call;
}

PeerReply ClientConnection::ReplyOf(const OpenCall& call,
                                    std::uint32_t error) const {
  const bool whole = error == NGHTTP2_NO_ERROR;
  if (call.status == kStatusOk && whole)
    return {PeerStatus::kOk, call.reply};
  const bool refused =
      error == NGHTTP2_REFUSED_STREAM || !call.sent_whole ||
      std::find(kRefusingStatuses.begin(), kRefusingStatuses.end(),
                call.status) != kRefusingStatuses.end();
  std::string reason = call.reply;
  if (call.status == kStatusOk || reason.empty())
    reason = nghttp2_http2_strerror(error);
  return {refused ? PeerStatus::kRefused : PeerStatus::kUnknown, reason};
}

void ClientConnection::OnStreamClosed(std::int32_t stream,
                                      std::uint32_t error) {
  const OpenCallPtr call = Take(stream);
  if (call != nullptr)
    hooks_.finish(call, ReplyOf(*call, error));
}

void ClientConnection::OnClosed(std::string_view reason) {
  watch_timer_.cancel();
  std::vector<OpenCallPtr> left;
  for (auto& [stream, call] : calls_)
    left.push_back(std::move(call));
  calls_.clear();
  hooks_.closed(reason, left);
}

}  // namespace

class Nghttp2PeerClient::Impl {
 public:
  explicit Impl(PeerClientOptions options)
      : options_(options),
        random_(options.seed),
        guard_(asio::make_work_guard(context_)),
        thread_([this] { context_.run(); }) {}

  ~Impl() {
    asio::post(context_, [this] { StopAll(); });
    guard_.reset();
    thread_.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Call(const PeerAddress& peer,
            std::string_view method,
            std::string body,
            Duration timeout,
            std::function<void(PeerReply)> done);

  PeerClientCounters counters() const;

 private:
  /// The connection to one peer and the calls that wait for it.
  struct Link {
    explicit Link(asio::io_context& context)
        : socket(context), connect_deadline(context) {}

    PeerAddress address;
    asio::ip::tcp::socket socket;
    asio::steady_timer connect_deadline;
    std::shared_ptr<ClientConnection> connection;
    /// Earlier connections that only finish their open calls.
    std::vector<std::weak_ptr<ClientConnection>> draining;
    std::deque<OpenCallPtr> waiting;
    std::size_t open_calls = 0;
    bool connecting = false;
    Duration backoff{};
    MonoTime no_connect_before{};
  };

  using LinkPtr = std::shared_ptr<Link>;

  LinkPtr FindLink(const PeerAddress& peer);
  void StartCall(const LinkPtr& link, const OpenCallPtr& call);
  void Send(const LinkPtr& link, const OpenCallPtr& call);
  void Expire(const LinkPtr& link, const OpenCallPtr& call);
  void Finish(const LinkPtr& link, const OpenCallPtr& call, PeerReply reply);
  void Connect(const LinkPtr& link);
  void OnConnected(const LinkPtr& link, std::error_code ec);
  void OnClosed(const LinkPtr& link,
                std::string_view reason,
                const std::vector<OpenCallPtr>& left);
  void RefuseWaiting(const LinkPtr& link, const std::string& reason);
  void ForgetUnusedLinks();
  void StopAll();
  Duration NextBackoff(Link& link);

  const PeerClientOptions options_;
  std::mt19937_64 random_;
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::map<PeerAddress, LinkPtr> links_;
  bool stopping_ = false;
  std::atomic<std::uint64_t> opened_{0};
  std::atomic<std::uint64_t> silent_{0};
  std::atomic<std::uint64_t> ok_{0};
  std::atomic<std::uint64_t> refused_{0};
  std::atomic<std::uint64_t> unknown_{0};
  std::thread thread_;
};

void Nghttp2PeerClient::Impl::Call(const PeerAddress& peer,
                                   std::string_view method,
                                   std::string body,
                                   Duration timeout,
                                   std::function<void(PeerReply)> done) {
  auto call = std::make_shared<OpenCall>(context_, timeout);
  call->authority = peer.ip + ":" + std::to_string(peer.port);
  call->path = "/peer/v1/" + std::string(method);
  call->body = std::move(body);
  call->done = std::move(done);
  asio::post(context_, [this, peer, call = std::move(call)] {
    StartCall(FindLink(peer), call);
  });
}

PeerClientCounters Nghttp2PeerClient::Impl::counters() const {
  return {opened_, silent_, ok_, refused_, unknown_};
}

Nghttp2PeerClient::Impl::LinkPtr Nghttp2PeerClient::Impl::FindLink(
    const PeerAddress& peer) {
  const auto it = links_.find(peer);
  if (it != links_.end())
    return it->second;
  ForgetUnusedLinks();
  auto link = std::make_shared<Link>(context_);
  link->address = peer;
  links_.emplace(peer, link);
  return link;
}

void Nghttp2PeerClient::Impl::ForgetUnusedLinks() {
  const MonoTime now = Clock::now();
  std::erase_if(links_, [now](const auto& it) {
    const Link& link = *it.second;
    return link.open_calls == 0 && !link.connecting &&
           link.no_connect_before <= now &&
           (link.connection == nullptr || link.connection->closed());
  });
}

void Nghttp2PeerClient::Impl::StartCall(const LinkPtr& link,
                                        const OpenCallPtr& call) {
  ++link->open_calls;
  if (call->body.size() > options_.max_body_bytes) {
    return Finish(link, call,
                  {PeerStatus::kRefused,
                   "request body of " + std::to_string(call->body.size()) +
                       " bytes is over the limit of " +
                       std::to_string(options_.max_body_bytes)});
  }
  if (link->open_calls > options_.max_calls_per_peer)
    return Finish(link, call, {PeerStatus::kRefused, "too many open calls"});
  call->deadline.async_wait([this, link, call](std::error_code ec) {
    if (!ec)
      Expire(link, call);
  });
  Send(link, call);
}

void Nghttp2PeerClient::Impl::Send(const LinkPtr& link,
                                   const OpenCallPtr& call) {
  if (stopping_)
    return Finish(link, call, {PeerStatus::kRefused, "client is stopping"});
  if (link->connection != nullptr && link->connection->accepts_calls()) {
    ++call->connections_tried;
    link->connection->Submit(call);
    return;
  }
  if (!link->connecting && Clock::now() < link->no_connect_before)
    return Finish(link, call, {PeerStatus::kRefused, "peer is unreachable"});
  link->waiting.push_back(call);
  if (!link->connecting)
    Connect(link);
}

void Nghttp2PeerClient::Impl::Expire(const LinkPtr& link,
                                     const OpenCallPtr& call) {
  if (call->finished)
    return;
  const PeerStatus status =
      call->sent_whole ? PeerStatus::kUnknown : PeerStatus::kRefused;
  Finish(link, call, {status, "deadline exceeded"});
}

void Nghttp2PeerClient::Impl::Finish(const LinkPtr& link,
                                     const OpenCallPtr& call,
                                     PeerReply reply) {
  if (call->finished)
    return;
  call->finished = true;
  call->deadline.cancel();
  --link->open_calls;
  std::erase(link->waiting, call);
  if (const auto it = call->connection.lock())
    it->Abandon(call);
  if (reply.status == PeerStatus::kOk)
    ++ok_;
  else if (reply.status == PeerStatus::kRefused)
    ++refused_;
  else
    ++unknown_;
  call->done(std::move(reply));
}

void Nghttp2PeerClient::Impl::Connect(const LinkPtr& link) {
  std::error_code ec;
  const auto ip = asio::ip::make_address(link->address.ip, ec);
  if (ec)
    return RefuseWaiting(link, "bad address " + link->address.ip);
  link->connecting = true;
  link->socket = asio::ip::tcp::socket(context_);
  link->connect_deadline.expires_after(options_.connect_timeout);
  link->connect_deadline.async_wait([link](std::error_code expired) {
    std::error_code ignored;
    if (!expired && link->connecting)
      link->socket.close(ignored);
  });
  link->socket.async_connect(
      {ip, link->address.port},
      [this, link](std::error_code error) { OnConnected(link, error); });
}

void Nghttp2PeerClient::Impl::OnConnected(const LinkPtr& link,
                                          std::error_code ec) {
  link->connecting = false;
  link->connect_deadline.cancel();
  if (ec || stopping_) {
    link->no_connect_before = Clock::now() + NextBackoff(*link);
    return RefuseWaiting(link, "cannot connect: " + ec.message());
  }
  link->backoff = Duration::zero();
  ++opened_;
  ConnectionHooks hooks;
  hooks.finish = [this, link](const OpenCallPtr& call, PeerReply reply) {
    Finish(link, call, std::move(reply));
  };
  hooks.closed = [this, link](std::string_view reason,
                              const std::vector<OpenCallPtr>& left) {
    OnClosed(link, reason, left);
  };
  hooks.silent = [this] { ++silent_; };
  if (link->connection != nullptr && !link->connection->closed())
    link->draining.emplace_back(link->connection);
  link->connection = std::make_shared<ClientConnection>(
      context_, std::move(link->socket), options_, std::move(hooks));
  link->connection->Start();
  link->connection->Watch();
  std::deque<OpenCallPtr> waiting = std::exchange(link->waiting, {});
  for (const OpenCallPtr& it : waiting)
    Send(link, it);
}

void Nghttp2PeerClient::Impl::OnClosed(const LinkPtr& link,
                                       std::string_view reason,
                                       const std::vector<OpenCallPtr>& left) {
  std::erase_if(link->draining, [](const auto& it) { return it.expired(); });
  for (const OpenCallPtr& it : left) {
    const bool again = !it->sent_whole && !stopping_ &&
                       it->connections_tried < kMaxConnectionsPerCall;
    it->connection.reset();
    if (again) {
      asio::post(context_, [this, link, it] {
        if (!it->finished)
          Send(link, it);
      });
      continue;
    }
    const PeerStatus status =
        it->sent_whole ? PeerStatus::kUnknown : PeerStatus::kRefused;
    Finish(link, it, {status, std::string(reason)});
  }
}

void Nghttp2PeerClient::Impl::RefuseWaiting(const LinkPtr& link,
                                            const std::string& reason) {
  const std::deque<OpenCallPtr> waiting = std::exchange(link->waiting, {});
  for (const OpenCallPtr& it : waiting)
    Finish(link, it, {PeerStatus::kRefused, reason});
}

void Nghttp2PeerClient::Impl::StopAll() {
  stopping_ = true;
  const std::map<PeerAddress, LinkPtr> links = std::exchange(links_, {});
  for (const auto& [address, link] : links) {
    std::error_code ignored;
    link->connect_deadline.cancel();
    link->socket.close(ignored);
    RefuseWaiting(link, "client is stopping");
    if (link->connection != nullptr)
      link->connection->Close("client is stopping");
    link->connection.reset();
    for (const auto& it : link->draining) {
      if (const auto connection = it.lock())
        connection->Close("client is stopping");
    }
  }
}

Duration Nghttp2PeerClient::Impl::NextBackoff(Link& link) {
  link.backoff =
      std::clamp(link.backoff * 2, options_.min_backoff, options_.max_backoff);
  std::uniform_int_distribution<Duration::rep> spread(link.backoff.count() / 2,
                                                      link.backoff.count());
  return Duration(spread(random_));
}

Nghttp2PeerClient::Nghttp2PeerClient(PeerClientOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

Nghttp2PeerClient::~Nghttp2PeerClient() = default;

void Nghttp2PeerClient::Call(const PeerAddress& peer,
                             std::string_view method,
                             std::string body,
                             Duration timeout,
                             std::function<void(PeerReply)> done) {
  impl_->Call(peer, method, std::move(body), timeout, std::move(done));
}

PeerClientCounters Nghttp2PeerClient::counters() const {
  return impl_->counters();
}

}  // namespace mangoport
