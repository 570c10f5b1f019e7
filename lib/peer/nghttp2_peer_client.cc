#include "mangoport/adapters/nghttp2_peer_client.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <random>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "lib/peer/peer_client_connection.h"

namespace mangoport {
namespace {

using Clock = std::chrono::steady_clock;

/// A request goes to a second connection if the first one broke before the
/// whole request had left.
constexpr int kMaxConnectionsPerCall = 2;

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
