#include "mangoport/adapters/nghttp2_peer_server.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include "lib/peer/http2_connection.h"

namespace mangoport {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view kPathPrefix = "/peer/v1/";
constexpr std::string_view kStatusOk = "200";
constexpr std::string_view kStatusBadRequest = "400";
constexpr std::string_view kStatusNotFound = "404";
constexpr std::string_view kStatusTooLarge = "413";
constexpr std::string_view kStatusHeaderTooLarge = "431";
constexpr std::string_view kStatusReplyTooLarge = "500";
constexpr std::string_view kStatusBusy = "503";
constexpr int kIdleChecksPerTimeout = 4;

/// Held as long as a request counts as open.
using Admission = std::shared_ptr<void>;

/// One request from its first header to its reply.
struct OpenRequest {
  std::string http_method;
  std::string path;
  std::size_t header_bytes = 0;
  std::string body;
  std::string reply;
  std::size_t sent = 0;
  bool answered = false;
  /// Set once the handler has the request.
  Admission admission;
};

class ServerConnection;

/// What a connection asks of the server that owns it.
struct ServerHooks {
  std::function<void(const std::shared_ptr<ServerConnection>&,
                     std::int32_t stream,
                     std::string method,
                     std::string body,
                     Admission admission)>
      run;
  /// Null if too many requests are open.
  std::function<Admission()> admit;
  std::function<void(const std::shared_ptr<ServerConnection>&)> closed;
};

class ServerConnection : public Http2Connection {
 public:
  ServerConnection(asio::ip::tcp::socket socket,
                   const PeerServerOptions& options,
                   ServerHooks hooks)
      : Http2Connection(Role::kServer,
                        std::move(socket),
                        {options.max_streams_per_connection,
                         static_cast<std::uint32_t>(options.max_header_bytes)}),
        options_(options),
        hooks_(std::move(hooks)) {}

  void Respond(std::int32_t stream, std::string_view status, std::string body);

  /// Answers a request that a handler had; dropped if its stream is gone.
  void RespondFromHandler(std::int32_t stream, std::string body);

  void StopTakingRequests() { SubmitGoaway(); }

  void CloseIfIdle(MonoTime now) {
    if (now - last_received() >= options_.idle_timeout)
      Close("idle");
  }

 protected:
  void OnHeader(std::int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnData(std::int32_t stream, std::string_view data) override;
  void OnEndStream(std::int32_t stream) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t error) override;
  void OnWritten() override { written_after_close_.clear(); }
  void OnClosed(std::string_view reason) override;

 private:
  std::shared_ptr<ServerConnection> Self() {
    return std::static_pointer_cast<ServerConnection>(shared_from_this());
  }
  const PeerServerOptions& options_;
  ServerHooks hooks_;
  std::unordered_map<std::int32_t, std::unique_ptr<OpenRequest>> requests_;
  /// Requests whose stream has ended but whose last bytes may not have left.
  std::vector<Admission> written_after_close_;
};

void ServerConnection::OnHeader(std::int32_t stream,
                                std::string_view name,
                                std::string_view value) {
  std::unique_ptr<OpenRequest>& request = requests_[stream];
  if (request == nullptr)
    request = std::make_unique<OpenRequest>();
  request->header_bytes += name.size() + value.size();
  if (request->header_bytes > options_.max_header_bytes) {
    Respond(stream, kStatusHeaderTooLarge, "request header is over the limit");
    return;
  }
  if (name == ":method")
    request->http_method = value;
  if (name == ":path")
    request->path = value;
}

void ServerConnection::OnData(std::int32_t stream, std::string_view data) {
  const auto it = requests_.find(stream);
  if (it == requests_.end())
    return;
  OpenRequest& request = *it->second;
  if (request.answered) {
    const bool reply_sent = request.sent == request.reply.size();
    if (reply_sent)
      SubmitReset(stream, NGHTTP2_NO_ERROR);
    return;
  }
  if (request.body.size() + data.size() <= options_.max_body_bytes) {
    request.body.append(data);
    return;
  }
  request.body.clear();
  Respond(stream, kStatusTooLarge,
          "request body is over the limit of " +
              std::to_string(options_.max_body_bytes) + " bytes");
}

void ServerConnection::OnEndStream(std::int32_t stream) {
  const auto it = requests_.find(stream);
  if (it == requests_.end() || it->second->answered)
    return;
  OpenRequest& request = *it->second;
  const std::string_view path = request.path;
  if (request.http_method != "POST")
    return Respond(stream, kStatusBadRequest, "only POST is answered");
  if (!path.starts_with(kPathPrefix) || path.size() == kPathPrefix.size())
    return Respond(stream, kStatusNotFound, "no such path");
  request.admission = hooks_.admit();
  if (request.admission == nullptr)
    return Respond(stream, kStatusBusy, "too many open requests");
  hooks_.run(Self(), stream, std::string(path.substr(kPathPrefix.size())),
             std::move(request.body), request.admission);
}

void ServerConnection::Respond(std::int32_t stream,
                               std::string_view status,
                               std::string body) {
  const auto it = requests_.find(stream);
  if (it == requests_.end() || it->second->answered)
    return;
  OpenRequest& request = *it->second;
  request.answered = true;
  request.reply = std::move(body);
  const std::array<nghttp2_nv, 1> fields = {Field(":status", status)};
  nghttp2_data_provider provider{};
  provider.source.ptr = &request;
  provider.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* buf,
                              std::size_t length, std::uint32_t* flags,
                              nghttp2_data_source* source, void*) {
    auto* it = static_cast<OpenRequest*>(source->ptr);
    return ReadBody(it->reply, it->sent, buf, length, flags);
  };
  nghttp2_submit_response(session(), stream, fields.data(), fields.size(),
                          &provider);
  Flush();
}

void ServerConnection::RespondFromHandler(std::int32_t stream,
                                          std::string body) {
  if (closed())
    return;
  if (body.size() > options_.max_body_bytes)
    return Respond(stream, kStatusReplyTooLarge, "reply is over the limit");
  Respond(stream, kStatusOk, std::move(body));
}

void ServerConnection::OnStreamClosed(std::int32_t stream,
                                      std::uint32_t /*error*/) {
  const auto it = requests_.find(stream);
  if (it == requests_.end())
    return;
  written_after_close_.push_back(std::move(it->second->admission));
  requests_.erase(it);
}

void ServerConnection::OnClosed(std::string_view /*reason*/) {
  requests_.clear();
  written_after_close_.clear();
  hooks_.closed(Self());
}

}  // namespace

class Nghttp2PeerServer::Impl {
 public:
  Impl(PeerServerOptions options, PeerHandler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        pool_(options_.handler_threads),
        acceptor_(*context_),
        idle_timer_(*context_),
        guard_(asio::make_work_guard(*context_)) {}

  ~Impl() {
    asio::post(*context_, [this] { CloseAll(); });
    guard_.reset();
    if (thread_.joinable())
      thread_.join();
    pool_.stop();
    pool_.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::error_code Listen();
  bool Shutdown(Duration drain);
  std::uint16_t port() const { return port_; }

 private:
  void Accept();
  void AddConnection(asio::ip::tcp::socket socket);
  ServerHooks MakeHooks();
  void Run(const std::shared_ptr<ServerConnection>& connection,
           std::int32_t stream,
           std::string method,
           std::string body,
           Admission admission);
  Admission Admit();
  void WatchIdle();
  void StopAccepting();
  void CloseAll();

  const PeerServerOptions options_;
  const PeerHandler handler_;
  std::mutex lock_;
  std::condition_variable request_ended_;
  std::size_t open_requests_ = 0;
  /// Shared with replies that may come after the server has gone.
  std::shared_ptr<asio::io_context> context_ =
      std::make_shared<asio::io_context>(1);
  asio::thread_pool pool_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer idle_timer_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

std::error_code Nghttp2PeerServer::Impl::Listen() {
  std::error_code ec;
  const auto ip = asio::ip::make_address(options_.listen.ip, ec);
  if (ec)
    return ec;
  const asio::ip::tcp::endpoint endpoint(ip, options_.listen.port);
  if (acceptor_.open(endpoint.protocol(), ec))
    return ec;
  acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (acceptor_.bind(endpoint, ec))
    return ec;
  if (acceptor_.listen(asio::socket_base::max_listen_connections, ec))
    return ec;
  port_ = acceptor_.local_endpoint(ec).port();
  Accept();
  WatchIdle();
  thread_ = std::thread([this] { context_->run(); });
  return ec;
}

void Nghttp2PeerServer::Impl::Accept() {
  acceptor_.async_accept(
      [this](std::error_code ec, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open())
          return;
        if (!ec && connections_.size() < options_.max_connections)
          AddConnection(std::move(socket));
        Accept();
      });
}

ServerHooks Nghttp2PeerServer::Impl::MakeHooks() {
  ServerHooks hooks;
  hooks.run = [this](const std::shared_ptr<ServerConnection>& connection,
                     std::int32_t stream, std::string method, std::string body,
                     Admission admission) {
    Run(connection, stream, std::move(method), std::move(body),
        std::move(admission));
  };
  hooks.admit = [this] { return Admit(); };
  hooks.closed = [this](const std::shared_ptr<ServerConnection>& it) {
    connections_.erase(it);
  };
  return hooks;
}

void Nghttp2PeerServer::Impl::AddConnection(asio::ip::tcp::socket socket) {
  auto connection = std::make_shared<ServerConnection>(std::move(socket),
                                                       options_, MakeHooks());
  connections_.insert(connection);
  connection->Start();
}

void Nghttp2PeerServer::Impl::Run(
    const std::shared_ptr<ServerConnection>& connection,
    std::int32_t stream,
    std::string method,
    std::string body,
    Admission admission) {
  auto respond = [context = context_,
                  weak = std::weak_ptr<ServerConnection>(connection),
                  stream](std::string reply) {
    asio::post(*context, [weak, stream, reply = std::move(reply)]() mutable {
      if (const auto it = weak.lock())
        it->RespondFromHandler(stream, std::move(reply));
    });
  };
  asio::post(pool_, [this, respond = std::move(respond),
                     method = std::move(method), body = std::move(body),
                     admission = std::move(admission)]() mutable {
    handler_(method, std::move(body), std::move(respond));
  });
}

Admission Nghttp2PeerServer::Impl::Admit() {
  const std::lock_guard hold(lock_);
  if (open_requests_ >= options_.max_open_requests)
    return nullptr;
  ++open_requests_;
  return {this, [this](void*) {
            const std::lock_guard hold_again(lock_);
            --open_requests_;
            request_ended_.notify_all();
          }};
}

void Nghttp2PeerServer::Impl::WatchIdle() {
  idle_timer_.expires_after(options_.idle_timeout / kIdleChecksPerTimeout);
  idle_timer_.async_wait([this](std::error_code ec) {
    if (ec)
      return;
    const auto connections = connections_;
    for (const auto& it : connections)
      it->CloseIfIdle(Clock::now());
    WatchIdle();
  });
}

void Nghttp2PeerServer::Impl::StopAccepting() {
  std::error_code ignored;
  acceptor_.close(ignored);
  const auto connections = connections_;
  for (const auto& it : connections)
    it->StopTakingRequests();
}

bool Nghttp2PeerServer::Impl::Shutdown(Duration drain) {
  asio::post(*context_, [this] { StopAccepting(); });
  std::unique_lock hold(lock_);
  return request_ended_.wait_for(hold, drain,
                                 [this] { return open_requests_ == 0; });
}

void Nghttp2PeerServer::Impl::CloseAll() {
  std::error_code ignored;
  acceptor_.close(ignored);
  idle_timer_.cancel();
  const auto connections = connections_;
  for (const auto& it : connections)
    it->Close("server stopped");
}

Result<std::unique_ptr<Nghttp2PeerServer>> Nghttp2PeerServer::Start(
    PeerServerOptions options,
    PeerHandler handler) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(handler));
  const std::error_code ec = impl->Listen();
  if (ec) {
    return boost::leaf::new_error(
        Error{ErrorCode::kUnavailable,
              "cannot listen for peers: " + ec.message(), true});
  }
  return std::unique_ptr<Nghttp2PeerServer>(
      new Nghttp2PeerServer(std::move(impl)));
}

Nghttp2PeerServer::Nghttp2PeerServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

Nghttp2PeerServer::~Nghttp2PeerServer() = default;

bool Nghttp2PeerServer::Shutdown(Duration drain) {
  return impl_->Shutdown(drain);
}

std::uint16_t Nghttp2PeerServer::port() const {
  return impl_->port();
}

}  // namespace mangoport
