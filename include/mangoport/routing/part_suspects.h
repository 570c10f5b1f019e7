#ifndef MANGOPORT_ROUTING_PART_SUSPECTS_H_
#define MANGOPORT_ROUTING_PART_SUSPECTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/routing/answer_grade.h"
#include "mangoport/routing/probe_schedule.h"

namespace mangoport {

/// Hash of the id of one part of a prompt.
using PartHash = std::uint64_t;

/// A part of a request that was at a server when that server was lost.
struct PartLoss {
  PartHash part = 0;
  /// Hash of the request's content; equal for a resent request.
  std::uint64_t fingerprint = 0;
  ServerId server;
  /// Start of the server's process on its own clock; zero if unknown.
  std::uint64_t server_started_at_ms = 0;
  /// Time since the server was lost.
  Duration age{};
  /// For how long the answer had gone on by then; zero if it had not begun.
  Duration answered_for{};
};

/// What one host tells the others about a part that was blamed for crashes.
struct PartState {
  PartHash part = 0;
  /// The part is quarantined after so many crashes; zero if it is not.
  std::uint32_t crashes = 0;
  /// Time since the last of them.
  Duration crash_age{};
  /// Probes of the quarantined part that crashed a server.
  std::uint32_t probes = 0;
  /// Times since answers to requests with the part last reached each grade, if
  /// known.
  std::array<std::optional<Duration>, kAnswerGrades> grade_ages = {};
};

/// A decision about a part, with the evidence for it.
struct PartDecision {
  enum class Kind { kSuspected, kQuarantined, kReleased };

  Kind kind = Kind::kSuspected;
  PartHash part = 0;
  std::uint32_t crashes = 0;
  std::uint32_t requests = 0;
  Duration first_crash_age{};
  Duration last_crash_age{};
  /// Time since an answer proved the part sound; negative if none has.
  Duration sound_age{};
};

/// Finds the part of a prompt that crashes each server that begins to write an
/// answer on it, and keeps requests with it from the servers.
///
/// A crash blames all parts of the requests that were at the server, over all
/// hosts, but those of answers that had gone on for longer than
/// `kAnswerTrial`. An answer that is whole, or goes on for longer than the lost
/// ones did, clears the parts of its request from all such blame before it; one
/// that has only begun clears nothing, since the crash may be right behind it.
/// A crash that one part explains blames no other, so that the parts which its
/// requests share with sound ones are not convicted along with it. Not
/// synchronised.
class PartSuspects {
 public:
  struct Settings {
    /// Crashes after which a part is quarantined if no answer has proved it
    /// sound within `evidence_lifetime`, and if one has, but not since.
    std::uint32_t min_crashes = 3;
    std::uint32_t min_crashes_once_sound = 5;
    /// Crashes after which a part is quarantined if all are of one server. A
    /// service may have no other.
    std::uint32_t min_crashes_of_one_server = 5;
    /// Requests that must have carried the part to those crashes.
    std::uint32_t min_requests = 2;
    /// Time that must lie between the first and the last of them, since a
    /// failure of many servers at once says nothing about parts.
    Duration min_span = std::chrono::milliseconds(300);
    /// A crash counts after this time, when all hosts have reported it.
    Duration settle_time = std::chrono::milliseconds(300);
    /// Crashes count against a part for so long.
    Duration evidence_lifetime = std::chrono::minutes(10);
    /// Losses are told to other hosts for so long: three rounds of 300 hosts,
    /// since datagrams get lost.
    Duration report_duration = std::chrono::seconds(12);
  };

  explicit PartSuspects(const Settings& settings) : settings_(settings) {}
  PartSuspects() : PartSuspects(Settings{}) {}

  /// Records that this host lost a server with a request. `loss.part` is
  /// ignored.
  void OnLost(MonoTime now,
              const PartLoss& loss,
              const std::vector<PartHash>& parts);
  /// Records the loss of a part, as reported by another host.
  void OnPeerLoss(MonoTime now, const PartLoss& loss);
  /// Takes in what another host knows of a part.
  void OnPeerState(MonoTime now, const PartState& state);

  /// Records how far the answer to a request with these parts has come.
  void OnAnswer(MonoTime now,
                const std::vector<PartHash>& parts,
                AnswerGrade grade);

  /// Returns none if a request with these parts may be sent, or else the time
  /// after which one may be. `repeat` says that the request has been lost with
  /// a server already; it is then held back on weaker evidence.
  std::optional<Duration> Refusal(MonoTime now,
                                  const std::vector<PartHash>& parts,
                                  bool repeat);

  /// True if the part is quarantined.
  bool IsQuarantined(MonoTime now, PartHash part);

  /// This host's losses that are recent enough to tell other hosts.
  std::vector<PartLoss> RecentLosses(MonoTime now) const;
  /// What this host knows of blamed and of quarantined parts.
  std::vector<PartState> States(MonoTime now);

  /// Tells this host's place, for the seldom probes of a quarantined part.
  void set_turn(std::function<HostTurn()> turn) {
    schedule_.set_turn(std::move(turn));
  }
  /// Called with each decision.
  void set_on_decision(std::function<void(const PartDecision&)> hook) {
    on_decision_ = std::move(hook);
  }

 private:
  /// The requests with one part that were at a server when it was lost.
  struct Lost {
    /// At most a few.
    std::set<std::uint64_t> requests;
    /// The answer that had gone on for longest. If the part were the cause, it
    /// would be that one's.
    Duration answered_for{};
  };
  struct Crash {
    ServerId server;
    std::uint64_t server_started_at_ms = 0;
    MonoTime at;
    MonoTime heard_at;
    std::map<PartHash, Lost> parts;
  };
  struct OwnLoss {
    PartLoss loss;
    MonoTime at;
  };
  /// The crashes of one part that nothing else explains.
  struct Tally {
    std::uint32_t crashes = 0;
    MonoTime first;
    MonoTime last;
    std::set<std::uint64_t> requests = {};
    std::set<ServerId> servers = {};
  };
  struct Quarantine {
    std::uint32_t crashes = 0;
    MonoTime since;
    /// None if another host told of it, or if one of its crashes had to make
    /// room for newer ones.
    std::optional<MonoTime> first_crash;
    /// Failed ones are crashes after the part was quarantined everywhere.
    ProbeHistory probes;
  };
  using Tallies = std::map<PartHash, Tally>;

  void AddLoss(MonoTime now, const PartLoss& loss);
  /// Keeps a loss of this host's, to tell others.
  void AddOwnLoss(MonoTime at, const PartLoss& loss);
  /// What to tell of the answers to requests with the part.
  PartState AnswersOf(MonoTime now, PartHash part) const;
  Crash& FindOrAddCrash(MonoTime now, const PartLoss& loss);
  /// Makes room for a crash. Quarantines that rest on the oldest one become
  /// final, since they could not be convicted again.
  void ForgetOldestCrash();
  void NoteAnswer(MonoTime at, PartHash part, AnswerGrade grade);
  /// When an answer of this grade at least was last known.
  std::optional<MonoTime> AnsweredAt(PartHash part, AnswerGrade grade) const;
  /// When an answer last proved the part sound.
  std::optional<MonoTime> SoundAt(PartHash part) const;
  bool SoundRecently(MonoTime now, PartHash part) const;
  /// True if an answer after `at` refutes the loss of a server with the part.
  bool IsRefuted(PartHash part, Duration answered_for, MonoTime at) const;
  /// True if the part was at the server in a way that may have crashed it.
  static bool Blames(const Crash& crash, PartHash part);
  void Update(MonoTime now);
  void RemoveExpired(MonoTime now);
  Tallies CountCrashes(MonoTime now,
                       const std::set<PartHash>& explaining,
                       Duration settled_for) const;
  /// The parts that explain most crashes, if the evidence convicts any.
  std::set<PartHash> FindCulprits(MonoTime now, const Tallies& tallies) const;
  bool Convicts(MonoTime now, PartHash part, const Tally& tally) const;
  void SetQuarantined(MonoTime now, const Tallies& culprits);
  void SetSuspects(MonoTime now, const std::set<PartHash>& culprits);
  void Release(MonoTime now, PartHash part);
  /// True if other parts that are quarantined were in all crashes of the part.
  bool IsExplained(PartHash part) const;
  /// True if crashes that are known by now can't end the quarantine: part of
  /// its evidence is forgotten, or a probe has confirmed it.
  bool IsFinal(MonoTime now, const Quarantine& quarantine) const;
  void UpdateBy(MonoTime now);
  std::optional<Duration> HoldLeft(MonoTime now, Quarantine& quarantine);
  void Decide(MonoTime now,
              PartDecision::Kind kind,
              PartHash part,
              const Tally& tally) const;

  Settings settings_;
  std::deque<Crash> crashes_;
  std::deque<OwnLoss> own_losses_;
  std::unordered_map<PartHash, GradeTimes> answers_;
  std::map<PartHash, Quarantine> quarantined_;
  std::set<PartHash> suspects_;
  ProbeSchedule schedule_;
  std::function<void(const PartDecision&)> on_decision_;
  MonoTime update_due_ = MonoTime::max();
  MonoTime updated_at_;
};

/// The hashes of all parts but the last, which is the request's own, of
/// "id:tokens,id:tokens".
std::vector<PartHash> SharedPartHashes(std::string_view parts);

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_PART_SUSPECTS_H_
