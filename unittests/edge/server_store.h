#ifndef MANGOPORT_UNITTESTS_EDGE_SERVER_STORE_H_
#define MANGOPORT_UNITTESTS_EDGE_SERVER_STORE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
    /// Since when it has been listed, but for the time from a restore of the
    /// store to its next registration. None if it is not.
    std::optional<MonoTime> registered_since;
    /// Since when it does not run.
    std::optional<MonoTime> gone_since;
    /// Since when it was not listed at the last restore, if it was not: an
    /// earlier restore may have listed it until its entry lapsed again.
    MonoTime unlisted_at;
    /// Since when it had been registered before it left.
    std::optional<MonoTime> served_since;
    MonoTime registers_at;
    /// It has written what is listed.
    bool written = true;
    /// The time of the restore that its entry is from; none if it has written
    /// since.
    std::optional<MonoTime> restored_at;
    /// When the entry of a server that is gone, from the backup, lapses.
    std::optional<MonoTime> lapses_at;
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
      Server& server = servers_[i];
      if (server.alive && (!server.listed || !server.written) &&
          now >= server.registers_at)
        Register(now, i);
      if (server.lapses_at && now >= *server.lapses_at)
        Unlist(now, i);
    }
  }

  /// A server starts, dies or changes its entry.
  void ChangeOne(MonoTime now) {
    const int i = static_cast<int>(random_() % kServers);
    Server& server = servers_[i];
    if (!server.alive) {
      server.alive = true;
      server.gone_since.reset();
      server.written = false;
      server.lapses_at.reset();
      ++server.version;
      server.registers_at = now;
      return;
    }
    if (random_() % 3 == 0) {
      server.alive = false;
      server.gone_since = now;
      server.served_since = server.registered_since;
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
      if (!it.listed || !it.written)
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

  /// A write of a server that has registered again since is carried out late.
  /// The server's next registration follows at its usual time.
  void WriteLate(MonoTime now) {
    const int i = static_cast<int>(random_() % kServers);
    const auto it = topic_.present.find(Name(i));
    if (it == topic_.present.end() || it->second.registrations.value < 2)
      return;
    --it->second.registrations.value;
    topic_.log.push_back({it->first, it->second});
    if (!servers_[i].alive)
      return;
    servers_[i].written = false;
    servers_[i].registers_at =
        now + std::chrono::milliseconds(random_() % 1200);
  }

  bool IsDown(MonoTime now) const { return now < down_until_; }
  MonoTime down_until() const { return down_until_; }

  void TakeBackup() { backup_ = topic_; }

  /// Comes back from the last backup, in a new timeline. Within two seconds,
  /// running servers write their entries again, and the entries of those that
  /// are gone lapse.
  void Restore(MonoTime now) {
    topic_ = backup_;
    ++timeline_;
    for (int i = 0; i < kServers; ++i) {
      Server& server = servers_[i];
      server.unlisted_at = server.changed_at;
      const auto entry = topic_.present.find(Name(i));
      const bool listed = entry != topic_.present.end();
      if (listed != server.listed)
        server.changed_at = now;
      server.restored_at = now;
      server.listed = listed;
      server.written = listed && entry->second.started_at_ms == server.version;
      const MonoTime within = now + std::chrono::milliseconds(random_() % 1900);
      server.registers_at = std::max(server.registers_at, within);
      server.lapses_at.reset();
      if (!server.alive && listed)
        server.lapses_at = within;
    }
  }

  StoreTimeline timeline() const { return timeline_; }

  /// Drops the history, so that earlier positions are no longer readable.
  void Forget() { topic_.first = topic_.log.size(); }

  /// A read from `from`, of `max_records` at most unless it is of the present
  /// state. Of several records of one server the store may return only the
  /// newest.
  ServerNews Read(const std::optional<StorePosition>& from,
                  std::size_t max_records) {
    const std::vector<ServerChange>& log = topic_.log;
    ServerNews out;
    out.next = {.timeline = timeline_, .offset = log.size()};
    out.exact_from = out.next;
    out.log_end = log.size();
    if (!from) {
      out.whole = true;
      for (const auto& [id, entry] : topic_.present)
        out.changes.push_back({id, entry});
      return out;
    }
    if (from->offset < topic_.first || from->offset > log.size()) {
      out.history_lost = true;
      return out;
    }
    out.next.offset = std::min(log.size(), from->offset + max_records);
    out.exact_from = out.next;
    const auto end = log.begin() + static_cast<std::ptrdiff_t>(out.next.offset);
    const bool newest_only = random_() % 2 == 0;
    for (std::uint64_t i = from->offset; i < out.next.offset; ++i) {
      const bool superseded = std::any_of(
          log.begin() + static_cast<std::ptrdiff_t>(i) + 1, end,
          [&](const ServerChange& it) { return it.id == log[i].id; });
      if (!newest_only || !superseded)
        out.changes.push_back(log[i]);
    }
    return out;
  }

  const Server& server(int i) const { return servers_[i]; }

 private:
  struct Topic {
    std::map<ServerId, ServerEntry> present;
    std::vector<ServerChange> log;
    std::uint64_t first = 0;
  };

  void Register(MonoTime now, int i) {
    ServerEntry entry;
    entry.id = Name(i);
    entry.started_at_ms = servers_[i].version;
    entry.registrations.value = ++registrations_;
    if (!servers_[i].listed || servers_[i].restored_at)
      servers_[i].changed_at = now;
    if (!servers_[i].registered_since)
      servers_[i].registered_since = now;
    servers_[i].listed = true;
    servers_[i].written = true;
    servers_[i].restored_at.reset();
    servers_[i].lapses_at.reset();
    topic_.present[entry.id] = entry;
    topic_.log.push_back({entry.id, entry});
  }

  void Unlist(MonoTime now, int i) {
    servers_[i].registered_since.reset();
    if (!servers_[i].listed)
      return;
    servers_[i].listed = false;
    servers_[i].changed_at = now;
    servers_[i].lapses_at.reset();
    topic_.present.erase(Name(i));
    topic_.log.push_back({Name(i), std::nullopt});
  }

  std::mt19937_64& random_;
  Server servers_[kServers];
  Topic topic_;
  Topic backup_;
  StoreTimeline timeline_ = 1;
  std::uint64_t registrations_ = 0;
  MonoTime down_until_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_EDGE_SERVER_STORE_H_
