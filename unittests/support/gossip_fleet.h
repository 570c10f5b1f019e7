#ifndef MANGOPORT_UNITTESTS_SUPPORT_GOSSIP_FLEET_H_
#define MANGOPORT_UNITTESTS_SUPPORT_GOSSIP_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangoport/core/mutant.h"
#include "mangoport/membership/gossip.h"

namespace mangoport {

/// The log's stream of configuration. An entry "w:KEY" withdraws a key, one
/// that starts with "s:" is a snapshot of everything before it.
class FakeConfigLog {
 public:
  struct Entry {
    std::string payload;
    MonoTime appended_at;
  };

  void Append(MonoTime now, std::string payload) {
    if (entries_.size() % kSnapshotEvery == kSnapshotEvery - 1)
      entries_.push_back({"s:" + withdrawn_, now});
    if (payload.starts_with("w:"))
      withdrawn_ += payload.substr(2) + ",";
    entries_.push_back({std::move(payload), now});
  }

  std::uint64_t end() const { return entries_.size(); }
  bool IsWithdrawn(const std::string& key) const {
    return ("," + withdrawn_).find("," + key + ",") != std::string::npos;
  }
  /// The keys withdrawn by the entries before `offset`, as a fold has them.
  std::string WithdrawnBefore(std::uint64_t offset) const {
    std::string keys;
    for (std::uint64_t i = 0; i < offset; ++i) {
      if (entries_[i].payload.starts_with("w:"))
        keys += entries_[i].payload.substr(2) + ",";
    }
    return keys;
  }
  std::uint64_t first_retained() const {
    return entries_.size() > kRetained ? entries_.size() - kRetained : 0;
  }
  const Entry& at(std::uint64_t offset) const { return entries_[offset]; }

  LogReadResult Read(MonoTime requested_at, std::uint64_t from) const {
    constexpr std::uint64_t kPage = 40;
    LogReadResult reading{true, requested_at, first_retained(), {}, false};
    std::uint64_t i = std::max(from, first_retained());
    const std::uint64_t stop = std::min(end(), i + kPage);
    for (; i < stop; ++i)
      reading.entries.push_back({i, entries_[i].payload});
    reading.reached_end = i >= end();
    return reading;
  }

 private:
  static constexpr std::uint64_t kSnapshotEvery = 30;
  static constexpr std::uint64_t kRetained = 90;
  std::vector<Entry> entries_;
  std::string withdrawn_;
};

/// A fold that only remembers how far it read and which keys are withdrawn.
struct FakeFold {
  ReplicaPosition position;
  std::string withdrawn;

  void ReadEntries(const std::vector<EntryView>& entries) {
    for (const EntryView& it : entries) {
      const std::string payload(it.payload);
      if (it.offset < position.next_offset)
        continue;
      const bool gap = it.offset > position.next_offset;
      const bool snapshot = payload.starts_with("s:");
      if (gap && !snapshot && !planted_gap_allowed)
        continue;
      if (snapshot)
        withdrawn = payload.substr(2);
      if (payload.starts_with("w:"))
        withdrawn += payload.substr(2) + ",";
      position.next_offset = it.offset + 1;
    }
    position.read_from = position.next_offset;
    if (!entries.empty())
      position.read_from =
          std::max(position.read_from, entries.back().offset + 1);
  }

  void LoadSnapshot(const std::string& snapshot) {
    const std::size_t colon = snapshot.find(':');
    const std::uint64_t next = std::stoull(snapshot.substr(0, colon));
    if (next <= position.next_offset && !planted_old_snapshot_allowed)
      return;
    position = {next, next};
    withdrawn = snapshot.substr(colon + 1);
  }

  std::string MakeSnapshot() const {
    return std::to_string(position.next_offset) + ":" + withdrawn;
  }

  bool IsWithdrawn(const KeyId& key) const {
    return ("," + withdrawn).find("," + key.value() + ",") != std::string::npos;
  }

  /// Only with planted faults: believe what the caller hands over.
  bool planted_gap_allowed = false;
  bool planted_old_snapshot_allowed = false;
};

/// Decides the fate of one message or log call.
struct Fate {
  bool lost = false;
  bool twice = false;
  Duration delay = std::chrono::milliseconds(1);
};

/// Entry hosts that exchange messages in simulated time.
class GossipFleet {
 public:
  struct Host {
    HostId id;
    ZoneId zone;
    std::unique_ptr<Gossip> gossip;
    std::unique_ptr<FakeFold> fold;
    std::uint64_t run = 0;
    MonoTime paused_until{};
    /// Local clock = global clock x (1 + drift).
    double drift = 0;
    bool up = false;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  using Network = std::function<Fate(const Host& from, const Host& to)>;
  /// Lost means that the log does not answer this host.
  using LogNetwork = std::function<Fate(const Host& host)>;

  explicit GossipFleet(std::uint64_t seed) : random_(seed) {}

  std::vector<Host>& hosts() { return hosts_; }
  MonoTime now() const { return now_; }
  std::mt19937_64& random() { return random_; }

  MonoTime LocalTime(const Host& host) const {
    const auto global = now_.time_since_epoch().count();
    return MonoTime(Duration(
        global +
        static_cast<Duration::rep>(host.drift * static_cast<double>(global))));
  }

  void Add(const std::string& id, const std::string& zone) {
    Host& host = hosts_.emplace_back();
    host.id = HostId(id);
    host.zone = ZoneId(zone);
    index_[id] = hosts_.size() - 1;
  }

  /// Starts a run of the host without any state.
  void Start(Host& host) {
    host.up = true;
    ++host.run;
    host.fold = std::make_unique<FakeFold>();
    FakeFold* fold = host.fold.get();
    fold->planted_gap_allowed = MutantEnabled("gap_skipped");
    fold->planted_old_snapshot_allowed = MutantEnabled("offset_goes_back");
    wire::HostUpdate self;
    self.set_host(host.id.value());
    self.set_zone(host.zone.value());
    self.set_address(host.id.value());
    self.set_incarnation(static_cast<std::uint64_t>(
        now_.time_since_epoch() / std::chrono::milliseconds(1)));
    ReplicaHooks hooks;
    hooks.position = [fold] { return fold->position; };
    hooks.read_entries = [fold](std::uint64_t,
                                const std::vector<EntryView>& entries) {
      fold->ReadEntries(entries);
    };
    hooks.load_snapshot = [fold](const std::string& it) {
      fold->LoadSnapshot(it);
    };
    hooks.make_snapshot = [fold] { return fold->MakeSnapshot(); };
    host.gossip = std::make_unique<Gossip>(
        self, seeds, options, std::move(hooks),
        [fold](const KeyId& key) { return fold->IsWithdrawn(key); }, random_());
  }

  void Stop(Host& host) {
    host.up = false;
    host.gossip.reset();
    host.fold.reset();
  }

  /// Runs until `until`, with a tick of every host each `tick`.
  void RunUntil(MonoTime until) {
    while (now_ < until) {
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        Host& host = hosts_[i];
        if (host.up && host.paused_until <= now_)
          Act(host, host.gossip->OnTick(LocalTime(host)));
      }
      const MonoTime next = now_ + tick;
      while (!events_.empty() && events_.begin()->first <= next) {
        auto event = events_.extract(events_.begin());
        now_ = std::max(now_, event.key());
        event.mapped()();
      }
      now_ = next;
    }
  }

  /// Carries out what the host decided.
  void Act(Host& host, GossipActions actions) {
    const std::size_t i = index_[host.id.value()];
    for (OutgoingSync& it : actions.syncs)
      SendRequest(i, std::move(it));
    if (actions.log_read_from)
      ReadLog(i, *actions.log_read_from);
    for (const wire::KeyWithdrawal& it : actions.withdrawals_to_record) {
      if (!log_network(host).lost && !log.IsWithdrawn(it.key()))
        log.Append(now_, "w:" + it.key());
    }
  }

  FakeConfigLog log;
  GossipOptions options;
  /// Addresses that a new host is told of.
  std::vector<std::string> seeds;
  Duration tick = std::chrono::milliseconds(100);
  Duration call_timeout = std::chrono::seconds(1);
  Duration log_wait = std::chrono::milliseconds(250);
  Network network = [](const Host&, const Host&) { return Fate{}; };
  LogNetwork log_network = [](const Host&) { return Fate{}; };

 private:
  void At(MonoTime time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  /// Runs `event` on the host, later if it is paused, never in another run.
  void Deliver(std::size_t i,
               std::uint64_t run,
               Duration delay,
               std::function<void(Host&)> event) {
    At(now_ + delay, [this, i, run, event = std::move(event)] {
      Host& host = hosts_[i];
      if (!host.up || host.run != run)
        return;
      if (host.paused_until > now_)
        return Deliver(i, run, host.paused_until - now_, event);
      event(host);
    });
  }

  void Count(Host& host, std::size_t bytes) {
    ++host.messages;
    host.bytes += bytes;
  }

  void SendRequest(std::size_t from, OutgoingSync sync) {
    const auto to = index_.find(sync.address);
    auto open = std::make_shared<bool>(true);
    const std::uint64_t run = hosts_[from].run;
    auto sent = std::make_shared<OutgoingSync>(std::move(sync));
    Deliver(from, run, call_timeout, [open, sent, this](Host& host) {
      if (std::exchange(*open, false))
        host.gossip->OnFailure(LocalTime(host), *sent);
    });
    if (to == index_.end())
      return;
    const std::size_t bytes = sent->request.ByteSizeLong();
    Count(hosts_[from], bytes);
    const Fate fate = network(hosts_[from], hosts_[to->second]);
    for (int i = 0; !fate.lost && i < (fate.twice ? 2 : 1); ++i) {
      Deliver(to->second, hosts_[to->second].run, fate.delay * (i + 1),
              [this, from, run, open, sent, bytes](Host& peer) {
                Answer(peer, from, run, open, sent, bytes);
              });
    }
  }

  void Answer(Host& peer,
              std::size_t from,
              std::uint64_t run,
              const std::shared_ptr<bool>& open,
              const std::shared_ptr<OutgoingSync>& sent,
              std::size_t request_bytes) {
    GossipActions actions;
    const wire::SyncReply reply =
        peer.gossip->OnRequest(LocalTime(peer), sent->request, actions);
    Count(peer, request_bytes + reply.ByteSizeLong());
    const Fate fate = network(peer, hosts_[from]);
    if (!fate.lost) {
      Deliver(from, run, fate.delay, [this, open, sent, reply](Host& host) {
        if (!std::exchange(*open, false))
          return;
        Count(host, reply.ByteSizeLong());
        Act(host, host.gossip->OnReply(LocalTime(host), *sent, reply));
      });
    }
    Act(peer, std::move(actions));
  }

  void ReadLog(std::size_t i, std::uint64_t from) {
    Host& host = hosts_[i];
    const MonoTime requested_at = LocalTime(host);
    const Fate fate = log_network(host);
    if (fate.lost) {
      return Deliver(i, host.run, call_timeout, [this, requested_at](Host& it) {
        LogReadResult none;
        none.requested_at = requested_at;
        Act(it, it.gossip->OnLogReadResult(LocalTime(it), none));
      });
    }
    const bool wait = from >= log.end();
    At(now_ + (wait ? log_wait : Duration{}),
       [this, i, run = host.run, requested_at, from, fate] {
         // Copies: the log may have grown when the answer arrives.
         const LogReadResult reading = log.Read(requested_at, from);
         std::vector<std::string> payloads;
         for (const EntryView& it : reading.entries)
           payloads.emplace_back(it.payload);
         Deliver(i, run, fate.delay,
                 [this, reading, payloads = std::move(payloads)](Host& it) {
                   LogReadResult page = reading;
                   for (std::size_t n = 0; n < payloads.size(); ++n)
                     page.entries[n].payload = payloads[n];
                   Act(it, it.gossip->OnLogReadResult(LocalTime(it), page));
                 });
       });
  }

  std::mt19937_64 random_;
  MonoTime now_{std::chrono::hours(1)};
  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> index_;
  std::multimap<MonoTime, std::function<void()>> events_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_GOSSIP_FLEET_H_
