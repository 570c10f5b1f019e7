#include "mangoport/edge/listener.h"

#include <utility>

namespace mangoport {
namespace {

/// After a connection could not be accepted, the next attempt is made this
/// later: without descriptors each one fails at once.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

/// A host that could not accept a connection says for so long that it is not
/// ready.
constexpr Duration kNotAcceptingTime = std::chrono::seconds(1);

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

Listener::Listener(asio::io_context& io,
                   TimerQueue& timers,
                   const Endpoint& endpoint,
                   std::size_t max_connections,
                   ListenerHooks hooks)
    : timers_(timers),
      acceptor_(io),
      max_connections_(max_connections),
      hooks_(std::move(hooks)) {
  const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.ip),
                                        endpoint.port);
  acceptor_.open(address.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address);
  // The accept queue must hold a burst of new connections.
  constexpr int kBacklog = 4096;
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
}

bool Listener::Accepts(MonoTime now) const {
  return !accept_failed_at_ || now - *accept_failed_at_ >= kNotAcceptingTime;
}

std::vector<std::shared_ptr<ClientSession>> Listener::sessions() const {
  std::vector<std::shared_ptr<ClientSession>> out;
  out.reserve(sessions_.size());
  for (const auto& [key, session] : sessions_)
    out.push_back(session);
  return out;
}

void Listener::Accept() {
  acceptor_.async_accept(
      [this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
          return;
        if (ec) {
          OnAcceptError(ec);
          return;
        }
        OnAccepted(std::move(socket));
        Accept();
      });
}

void Listener::OnAcceptError(const asio::error_code& ec) {
  const MonoTime now = Now();
  accept_failed_at_ = now;
  hooks_.on_accept_error(ec);
  GiveUpOne();
  timers_.Add(now + kAcceptPause, [this](MonoTime) { Accept(); });
}

bool Listener::GiveUpOne() {
  const std::optional<ConnectionTable::Key> next = table_.Next();
  if (!next)
    return false;
  const auto it = sessions_.find(static_cast<const ClientSession*>(*next));
  const std::shared_ptr<ClientSession> session = it->second;
  session->GiveUp();
  hooks_.on_given_up(/*is_new=*/false);
  return true;
}

void Listener::OnAccepted(asio::ip::tcp::socket socket) {
  if (table_.size() >= max_connections_ && !GiveUpOne()) {
    hooks_.on_given_up(/*is_new=*/true);
    return;
  }
  const std::shared_ptr<ClientSession> session = hooks_.make_session(
      std::make_shared<TcpStream>(std::move(socket)),
      {.on_use = [this](const ClientSession* user,
                        ConnectionUse use) { table_.Set(Now(), user, use); },
       .on_closed =
           [this](const ClientSession* closed) {
             table_.Remove(closed);
             sessions_.erase(closed);
           }});
  const MonoTime now = Now();
  table_.Set(now, session.get(), ConnectionUse::kIdle);
  sessions_.emplace(session.get(), session);
  session->Start(now);
}

}  // namespace mangoport
