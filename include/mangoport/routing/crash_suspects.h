#ifndef MANGOPORT_ROUTING_CRASH_SUSPECTS_H_
#define MANGOPORT_ROUTING_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/routing/probe_schedule.h"

namespace mangoport {

/// A request that was in flight on a connection to a server when the connection
/// was lost.
struct CrashSuspicion {
  /// Hash of the request content; equal for a resent request.
  std::uint64_t fingerprint = 0;
  ServerId server;
  /// Start of the server's process on its own clock; zero if unknown.
  std::uint64_t server_started_at_ms = 0;
  /// Time since the server was lost.
  Duration age{};
};

/// What one host tells the others about a request that it quarantines, or that
/// was answered after crashes.
struct RequestState {
  std::uint64_t fingerprint = 0;
  /// The request is quarantined after so many crashes; zero if it is not.
  std::uint32_t crashes = 0;
  /// Time since the last of them.
  Duration crash_age{};
  /// Probes that crashed a server.
  std::uint32_t probes = 0;
  /// Time since the answer that cleared the request, if it was cleared.
  std::optional<Duration> answered_age = std::nullopt;
};

/// A decision about a request, with the evidence for it.
struct RequestDecision {
  enum class Kind { kQuarantined, kProbed, kReleased };

  Kind kind = Kind::kQuarantined;
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  /// Probes that crashed a server.
  std::uint32_t probes = 0;
  Duration last_crash_age{};
};

/// Detects a request that crashes every server that runs it, and stops it from
/// crashing further servers when its caller resends it.
///
/// A crash fails all requests in flight on the server, but only the culprit is
/// in flight at every crash. A request that was lost at several servers is
/// therefore quarantined, until one of its few probes is answered. Hosts
/// exchange their suspicions because the caller's retries reach different
/// hosts. Not synchronised.
class CrashSuspects {
 public:
  struct Settings {
    /// Distinct servers at which a request must be lost to be quarantined, or
    /// starts of one server; a service may have no other. The users' rule
    /// allows three tries after the third crash, and probes need some of them.
    std::size_t min_servers = 3;
    std::size_t min_starts_of_one_server = 5;
    /// The crashes of a request that is not quarantined are forgotten after
    /// this time without another.
    Duration suspicion_lifetime = std::chrono::seconds(60);
    /// Local suspicions are reported to other hosts for this long: three rounds
    /// of 300 hosts, since datagrams get lost.
    Duration report_duration = std::chrono::seconds(12);
    /// A crash this long after the last one was caused by a probe. Earlier ones
    /// are of requests that were on their way, or the same by another report.
    Duration straggler_time = std::chrono::seconds(10);
    /// After so many failed probes there is no other: what the users' rule
    /// allows.
    std::uint32_t max_probes = 3;
    /// Requests that are remembered. Beyond it the oldest give way, those that
    /// are not quarantined first.
    std::size_t max_suspects = 16384;
  };

  explicit CrashSuspects(const Settings& settings) : settings_(settings) {}
  CrashSuspects() : CrashSuspects(Settings{}) {}

  /// Records that this host lost its connection to `suspicion.server` while the
  /// request was in flight there. Returns the crashes that the request was in.
  std::uint32_t OnServerLost(MonoTime now, const CrashSuspicion& suspicion);
  /// Records the same, as reported by another host.
  void OnPeerServerLost(MonoTime now, const CrashSuspicion& suspicion);
  /// Takes in what another host knows of a request.
  void OnPeerState(MonoTime now, const RequestState& state);
  /// Records that the request got a whole answer, which clears it.
  void OnAnswered(MonoTime now, std::uint64_t fingerprint);

  /// Returns none if the request may be sent, which may be a probe, or else the
  /// time after which one may be.
  std::optional<Duration> Refusal(MonoTime now, std::uint64_t fingerprint);

  /// True if the request must not be sent to any server but as a probe.
  bool IsQuarantined(std::uint64_t fingerprint) const;

  /// Local suspicions that are recent enough to report to other hosts, at most
  /// 128, the newest first.
  std::vector<CrashSuspicion> Recent(MonoTime now) const;

  /// What to tell one other host: at most 64 requests, others with each call,
  /// until all were told.
  std::vector<RequestState> States(MonoTime now);

  /// Tells this host's place, for the seldom probes.
  void set_turn(std::function<HostTurn()> turn) {
    schedule_.set_turn(std::move(turn));
  }
  /// Called with each decision.
  void set_on_decision(std::function<void(const RequestDecision&)> hook) {
    on_decision_ = std::move(hook);
  }

  std::size_t size() const { return suspects_.size(); }

 private:
  struct Crash {
    ServerId server;
    std::uint64_t server_started_at_ms = 0;

    bool operator==(const Crash&) const = default;
  };
  struct Suspect {
    /// The last few, to tell new ones from reports of known ones.
    std::deque<Crash> crashes;
    /// Crashes before the quarantine, and failed probes.
    std::uint32_t crash_count = 0;
    ProbeHistory probes;
    std::optional<MonoTime> quarantined_at;
    /// Crashes up to this time no longer count.
    std::optional<MonoTime> answered_at;
  };
  struct LocalSuspicion {
    CrashSuspicion suspicion;
    MonoTime at;
  };
  using Suspects = std::map<std::uint64_t, Suspect>;

  std::uint32_t AddSuspicion(MonoTime now, const CrashSuspicion& suspicion);
  void NoteAnswered(MonoTime now, MonoTime at, Suspects::value_type& known);
  Suspect& FindOrAdd(MonoTime now, std::uint64_t fingerprint);
  bool IsExpired(MonoTime now, const Suspect& suspect) const;
  /// Removes what has expired, or else the oldest suspect.
  void MakeRoom(MonoTime now);
  bool Convicts(const Suspect& suspect) const;
  void Decide(MonoTime now,
              RequestDecision::Kind kind,
              std::uint64_t fingerprint,
              const Suspect& suspect) const;

  Settings settings_;
  Suspects suspects_;
  /// The last request that `States` told.
  std::uint64_t told_ = 0;
  std::deque<LocalSuspicion> local_suspicions_;
  ProbeSchedule schedule_;
  std::function<void(const RequestDecision&)> on_decision_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_CRASH_SUSPECTS_H_
