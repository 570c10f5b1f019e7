#include "mangoport/forward/connection_pool.h"

#include <algorithm>
#include <utility>

namespace mangoport {

HttpConnection::Ptr ConnectionPool::Acquire(
    MonoTime now,
    const std::string& peer,
    const asio::ip::tcp::endpoint& endpoint,
    bool fresh) {
  Peer& entry = peers_[peer];
  while (!fresh && !entry.idle.empty()) {
    HttpConnection::Ptr connection = std::move(entry.idle.back());
    entry.idle.pop_back();
    if (connection->endpoint() == endpoint && connection->UsableAt(now))
      return connection;
    connection->Close();
  }
  ++entry.open;
  ++opened_total_;
  return std::make_shared<HttpConnection>(
      io_, timers_, endpoint,
      [this, peer](const HttpConnection::Ptr& connection, bool reusable) {
        OnState(peer, connection, reusable);
      });
}

void ConnectionPool::OnState(const std::string& peer,
                             const HttpConnection::Ptr& connection,
                             bool reusable) {
  const auto it = peers_.find(peer);
  if (it == peers_.end())
    return;
  Peer& entry = it->second;
  if (reusable) {
    entry.idle.push_back(connection);
    return;
  }
  std::erase(entry.idle, connection);
  if (entry.open > 0)
    --entry.open;
}

void ConnectionPool::Forget(const std::string& peer) {
  const auto it = peers_.find(peer);
  if (it == peers_.end())
    return;
  for (const HttpConnection::Ptr& connection :
       std::exchange(it->second.idle, {}))
    connection->Close();
  if (it->second.open == 0)
    peers_.erase(it);
}

std::size_t ConnectionPool::open(const std::string& peer) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() ? 0 : it->second.open;
}

}  // namespace mangoport
