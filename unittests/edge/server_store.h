#ifndef MANGOPORT_UNITTESTS_EDGE_SERVER_STORE_H_
#define MANGOPORT_UNITTESTS_EDGE_SERVER_STORE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/server_feed.h"

namespace mangoport {

/// The store's topic of backend servers, with servers that register, leave,
/// die, and lose and renew their entries unchanged when the store is away.
class ServerStore {
 public:
  static constexpr int kServers = 10;

  struct Server {
    bool alive = true;
    bool listed = false;
    std::uint64_t version = 1;
    /// Since when it has been listed, or not listed, as it is now.
    MonoTime changed_at;
    MonoTime registers_at;
  };

  static ServerId Name(int i) { return ServerId("s" + std::to_string(i)); }

  ServerStore(MonoTime now, std::mt19937_64& random) : random_(random) {
    for (int i = 0; i < kServers; ++i)
      Register(now, i);
  }

  /// Servers whose lease lapsed renew it once the store is up again.
  void Step(MonoTime now) {
    if (now < down_until_)
      return;
    for (int i = 0; i < kServers; ++i) {
      if (servers_[i].alive && !servers_[i].listed &&
          now >= servers_[i].registers_at)
        Register(now, i);
    }
  }

  /// A server starts, dies or changes its entry.
  void ChangeOne(MonoTime now) {
    const int i = static_cast<int>(random_() % kServers);
    Server& server = servers_[i];
    if (!server.alive) {
      server.alive = true;
      ++server.version;
      server.registers_at = now;
      return;
    }
    if (random_() % 3 == 0) {
      server.alive = false;
      Unlist(now, i);
      return;
    }
    if (server.listed) {
      ++server.version;
      Register(now, i);
    }
  }

  /// The store is away until `until`; meanwhile some or all leases lapse. Each
  /// server renews its entry unchanged within two seconds of the return.
  void GoDown(MonoTime now, MonoTime until) {
    down_until_ = until;
    const bool all = random_() % 2 == 0;
    for (int i = 0; i < kServers; ++i) {
      if (!all && random_() % 2 == 0)
        continue;
      Unlist(now, i);
      servers_[i].registers_at =
          until + std::chrono::milliseconds(random_() % 1900);
    }
  }

  /// Ends an outage before its time.
  void ComeBack(MonoTime now) {
    if (!IsDown(now))
      return;
    down_until_ = now;
    for (Server& it : servers_) {
      if (!it.listed)
        it.registers_at = now + std::chrono::milliseconds(random_() % 1900);
    }
  }

  /// One server's lease lapses while the store serves the hosts, as when the
  /// server's availability zone is cut off; it is renewed unchanged.
  void LapseOne(MonoTime now) {
    const int i = static_cast<int>(random_() % kServers);
    Unlist(now, i);
    servers_[i].registers_at =
        now + std::chrono::milliseconds(random_() % 3000);
  }

  bool IsDown(MonoTime now) const { return now < down_until_; }
  MonoTime down_until() const { return down_until_; }

  /// Drops the history, so that earlier positions are no longer readable.
  void Forget() { first_ = log_.size(); }

  /// A read from `from`. Of several records of one server the store may return
  /// only the newest.
  ServerNews Read(const std::optional<std::uint64_t>& from) {
    ServerNews out;
    out.next = log_.size();
    out.exact_from = out.next;
    if (!from) {
      out.whole = true;
      for (const auto& [id, entry] : present_)
        out.changes.push_back({id, entry});
      return out;
    }
    if (*from < first_) {
      out.history_lost = true;
      return out;
    }
    const bool newest_only = random_() % 2 == 0;
    for (std::uint64_t i = *from; i < log_.size(); ++i) {
      const bool superseded = std::any_of(
          log_.begin() + static_cast<std::ptrdiff_t>(i) + 1, log_.end(),
          [&](const ServerChange& it) { return it.id == log_[i].id; });
      if (!newest_only || !superseded)
        out.changes.push_back(log_[i]);
    }
    return out;
  }

  const Server& server(int i) const { return servers_[i]; }

 private:
  void Register(MonoTime now, int i) {
    ServerEntry entry;
    entry.id = Name(i);
    entry.started_at_ms = servers_[i].version;
    if (!servers_[i].listed)
      servers_[i].changed_at = now;
    servers_[i].listed = true;
    present_[entry.id] = entry;
    log_.push_back({entry.id, entry});
  }

  void Unlist(MonoTime now, int i) {
    if (!servers_[i].listed)
      return;
    servers_[i].listed = false;
    servers_[i].changed_at = now;
    present_.erase(Name(i));
    log_.push_back({Name(i), std::nullopt});
  }

  std::mt19937_64& random_;
  Server servers_[kServers];
  std::map<ServerId, ServerEntry> present_;
  std::vector<ServerChange> log_;
  std::uint64_t first_ = 0;
  MonoTime down_until_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_EDGE_SERVER_STORE_H_
