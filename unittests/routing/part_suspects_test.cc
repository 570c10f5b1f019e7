#include "mangoport/routing/part_suspects.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(5000)};
/// Hosts know after this time what others know (`ContactMs`).
constexpr Duration kContact = seconds(3);
constexpr PartHash kShared = 1;
constexpr PartHash kDeadly = 2;
constexpr PartHash kSound = 3;

PartLoss Loss(std::uint64_t request, int server) {
  return {.fingerprint = request,
          .server = ServerId("s" + std::to_string(server)),
          .server_started_at_ms = 1};
}

/// `n` servers lost 400 ms apart from `at` on, each with another request that
/// carries `parts`; the number of the first is `first`.
void LoseServers(PartSuspects& suspects,
                 MonoTime at,
                 int n,
                 const std::vector<PartHash>& parts,
                 int first = 0) {
  for (int i = 0; i < n; ++i)
    suspects.OnLost(
        at + milliseconds(400) * i,
        Loss(static_cast<std::uint64_t>(first) + static_cast<std::uint64_t>(i),
             first + i),
        parts);
}

Test(part_suspects, the_last_part_is_the_requests_own) {
  const auto two = SharedPartHashes("ab:1,cd:2,ef:3");
  cr_assert_eq(two.size(), 2);
  cr_assert_eq(SharedPartHashes("ab:9,xx:1").front(), two.front());
  cr_assert(SharedPartHashes("ab:1").empty());
  cr_assert(SharedPartHashes("").empty());
}

// Requests with one part crashed server after server, no two of them alike.
Test(part_suspects, part_of_different_requests_is_quarantined_after_3_crashes) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 2, {kShared, kDeadly});
  suspects.OnAnswer(kStart + milliseconds(900), {kShared, kSound},
                    AnswerGrade::kWhole);
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(1), kDeadly));
  LoseServers(suspects, kStart + seconds(1), 1, {kShared, kDeadly}, 2);
  suspects.OnAnswer(kStart + milliseconds(1100), {kShared, kSound},
                    AnswerGrade::kWhole);
  const MonoTime now = kStart + milliseconds(1400);
  cr_assert(suspects.IsQuarantined(now, kDeadly));
  cr_assert_not(suspects.IsQuarantined(now, kShared));
  cr_assert_not(suspects.Refusal(now, {kShared, kSound}, false));
  const auto wait = suspects.Refusal(now, {kShared, kDeadly}, false);
  cr_assert(wait && *wait > seconds(50) && *wait <= seconds(60));
}

Test(part_suspects, a_lost_request_with_a_suspect_part_is_not_repeated) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 2, {kDeadly});
  const MonoTime now = kStart + milliseconds(500);
  cr_assert(suspects.Refusal(now, {kDeadly}, /*repeat=*/true));
  cr_assert_not(suspects.Refusal(now, {kDeadly}, /*repeat=*/false));
}

Test(part_suspects, losses_at_different_hosts_add_up) {
  PartSuspects a;
  PartSuspects b;
  LoseServers(a, kStart, 2, {kShared, kDeadly});
  const MonoTime told = kStart + milliseconds(700);
  for (const PartLoss& it : a.RecentLosses(told))
    b.OnPeerLoss(told, it);
  b.OnLost(told + milliseconds(100), Loss(7, 7), {kShared, kDeadly});
  b.OnAnswer(told + milliseconds(110), {kShared}, AnswerGrade::kWhole);
  cr_assert(b.IsQuarantined(told + milliseconds(500), kDeadly));
  cr_assert_not(b.IsQuarantined(told + milliseconds(500), kShared));
}

// Servers that fail together say nothing about what ran there.
Test(part_suspects, servers_lost_at_once_quarantine_no_part) {
  PartSuspects suspects;
  for (int i = 0; i < 40; ++i)
    suspects.OnLost(kStart + milliseconds(i),
                    Loss(static_cast<std::uint64_t>(i), i % 8),
                    {kShared, kSound});
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(2), kShared));
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(2), kSound));
}

Test(part_suspects, crashes_between_sound_answers_quarantine_no_part) {
  PartSuspects suspects;
  for (int i = 0; i < 30; ++i) {
    const MonoTime at = kStart + milliseconds(500) * i;
    suspects.OnLost(at, Loss(static_cast<std::uint64_t>(i), i), {kShared});
    suspects.OnAnswer(at + milliseconds(100), {kShared}, AnswerGrade::kWhole);
    cr_assert_not(suspects.IsQuarantined(at + milliseconds(400), kShared));
  }
}

Test(part_suspects, an_answer_elsewhere_clears_a_part) {
  PartSuspects a;
  PartSuspects b;
  LoseServers(a, kStart, 4, {kSound});
  cr_assert(a.IsQuarantined(kStart + seconds(2), kSound));
  for (const PartLoss& it : a.RecentLosses(kStart + seconds(2)))
    b.OnPeerLoss(kStart + seconds(2), it);
  b.OnAnswer(kStart + seconds(2), {kSound}, AnswerGrade::kWhole);
  for (const PartState& it : b.States(kStart + seconds(3)))
    a.OnPeerState(kStart + seconds(3), it);
  cr_assert_not(a.IsQuarantined(kStart + seconds(3), kSound));
}

// A part that was beside the deadly one at each crash was taken for deadly too.
Test(part_suspects, a_part_that_another_explains_is_released) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 3, {kSound, kDeadly});
  cr_assert(suspects.IsQuarantined(kStart + seconds(2), kSound));
  LoseServers(suspects, kStart + seconds(2), 1, {kDeadly}, 3);
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(3), kSound));
  cr_assert(suspects.IsQuarantined(kStart + seconds(3), kDeadly));
}

Test(part_suspects, a_host_that_has_just_started_is_told) {
  PartSuspects old;
  PartSuspects fresh;
  LoseServers(old, kStart, 5, {kDeadly});
  cr_assert(old.IsQuarantined(kStart + seconds(3), kDeadly));
  for (const PartState& it : old.States(kStart + seconds(20)))
    fresh.OnPeerState(kStart + seconds(20), it);
  cr_assert(fresh.IsQuarantined(kStart + seconds(20), kDeadly));
  cr_assert(fresh.IsQuarantined(kStart + minutes(30), kDeadly));
}

// A host that starts knew nothing of the probes, and sent its own too early.
Test(part_suspects, a_host_that_has_just_started_does_not_probe_early) {
  PartSuspects old;
  PartSuspects fresh;
  LoseServers(old, kStart, 5, {kDeadly});
  cr_assert(old.IsQuarantined(kStart + seconds(3), kDeadly));
  const MonoTime probe = kStart + minutes(2);
  cr_assert_not(old.Refusal(probe, {kDeadly}, false));
  old.OnLost(probe, Loss(9, 9), {kDeadly});
  for (const PartState& it : old.States(probe + seconds(5)))
    fresh.OnPeerState(probe + seconds(5), it);
  for (int s = 5; s < 590; s += 5)
    cr_assert(fresh.Refusal(probe + seconds(s), {kDeadly}, false), "%d s", s);
}

// With 295 hosts a round takes 3.7 s, and a report may miss two.
Test(part_suspects, losses_are_told_for_three_rounds_of_a_large_fleet) {
  PartSuspects suspects;
  suspects.OnLost(kStart, Loss(1, 1), {kDeadly});
  cr_assert_eq(suspects.RecentLosses(kStart + milliseconds(11'100)).size(), 1);
  cr_assert(suspects.RecentLosses(kStart + seconds(13)).empty());
}

// After a burst of losses, later ones were not told until the burst was old.
Test(part_suspects, the_newest_losses_are_told_first) {
  PartSuspects suspects;
  for (std::uint64_t i = 0; i < 300; ++i)
    suspects.OnLost(kStart, Loss(i, 1), {1000 + i});
  suspects.OnLost(kStart + seconds(2), Loss(400, 2), {kDeadly});
  const auto told = suspects.RecentLosses(kStart + seconds(2));
  cr_assert_not(told.empty());
  cr_assert_eq(told.front().part, kDeadly);
}

// Many other crashes pushed a deadly part's own out, and it was released.
Test(part_suspects, a_quarantine_outlives_the_crashes_that_are_pushed_out) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 5, {kDeadly});
  cr_assert(suspects.IsQuarantined(kStart + seconds(3), kDeadly));
  for (int i = 0; i < 130; ++i) {
    const MonoTime at = kStart + seconds(4) + milliseconds(400) * i;
    LoseServers(suspects, at, 1, {1000 + static_cast<PartHash>(i)}, 100 + i);
    cr_assert(suspects.IsQuarantined(at, kDeadly), "after %d", i);
  }
  cr_assert(suspects.IsQuarantined(kStart + minutes(1), kDeadly));
}

// The report of an answer that began between the crashes came after the
// quarantine, and was not weighed.
Test(part_suspects, a_late_report_of_an_answer_between_crashes_acquits) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 3, {kSound, kDeadly});
  const MonoTime now = kStart + seconds(2);
  cr_assert(suspects.IsQuarantined(now, kSound));
  PartState answered{.part = kSound};
  answered.grade_ages.fill(milliseconds(1500));
  suspects.OnPeerState(now, answered);
  cr_assert_not(suspects.IsQuarantined(now + milliseconds(100), kSound));
  cr_assert(suspects.IsQuarantined(now + milliseconds(100), kDeadly));
}

// A bad server that crashed again and again convicted the sound parts that
// affinity sends there. Where there is one server only, it must do.
Test(part_suspects, crashes_of_one_server_alone_need_to_be_more) {
  PartSuspects suspects;
  for (std::uint64_t start = 1; start <= 5; ++start) {
    const MonoTime at = kStart + seconds(4) * start;
    PartLoss loss = Loss(start, 1);
    loss.server_started_at_ms = start;
    suspects.OnLost(at, loss, {kSound});
    cr_assert_eq(suspects.IsQuarantined(at + seconds(1), kSound), start == 5,
                 "after crash %d", static_cast<int>(start));
  }
}

// A part that few requests carry crashed servers for a whole day.
Test(part_suspects, a_seldom_part_is_quarantined_too) {
  PartSuspects suspects;
  for (int i = 0; i < 5; ++i) {
    const MonoTime at = kStart + seconds(50) * i;
    suspects.OnLost(at, Loss(static_cast<std::uint64_t>(i), i),
                    {kShared, kDeadly});
    suspects.OnAnswer(at + seconds(1), {kShared}, AnswerGrade::kWhole);
  }
  cr_assert(suspects.IsQuarantined(kStart + seconds(210), kDeadly));
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(210), kShared));
}

// Crashes that are forgotten one after the other must not end a quarantine.
Test(part_suspects, a_quarantine_outlives_its_evidence) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 5, {kDeadly});
  for (int s = 2; s < 1500; ++s)
    cr_assert(suspects.IsQuarantined(kStart + seconds(s), kDeadly), "%d s", s);
}

// A part that stays deadly crashes three servers in the day after its
// quarantine at most.
Test(part_suspects, probes_of_a_deadly_part_are_seldom) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 5, {kDeadly});
  int sent = 0;
  for (int s = 10; s < 24 * 3600; ++s) {
    const MonoTime now = kStart + seconds(s);
    if (suspects.Refusal(now, {kDeadly}, false))
      continue;
    ++sent;
    suspects.OnLost(now + milliseconds(200), Loss(1000U + s, 1000 + s),
                    {kDeadly});
  }
  cr_assert_leq(sent, 3, "%d", sent);
  cr_assert_geq(sent, 2, "%d", sent);
}

Test(part_suspects, hosts_take_turns_with_probes) {
  std::vector<PartSuspects> hosts(5);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].set_turn([i] { return HostTurn{.rank = i, .hosts = 5}; });
    LoseServers(hosts[i], kStart, 5, {kDeadly});
  }
  for (int ms = 60'000; ms < 120'000; ms += 100) {
    int sent = 0;
    for (PartSuspects& it : hosts)
      sent += it.Refusal(kStart + milliseconds(ms), {kDeadly}, false) ? 0 : 1;
    cr_assert_leq(sent, 1);
  }
}

Test(part_suspects, a_probe_that_is_answered_ends_the_quarantine) {
  PartSuspects suspects;
  LoseServers(suspects, kStart, 5, {kSound});
  cr_assert(suspects.Refusal(kStart + seconds(3), {kSound}, false));
  const MonoTime now = kStart + minutes(2);
  cr_assert_not(suspects.Refusal(now, {kSound}, false));
  cr_assert(suspects.Refusal(now, {kSound}, false));
  suspects.OnAnswer(now + seconds(1), {kSound}, AnswerGrade::kWhole);
  cr_assert_not(suspects.Refusal(now + seconds(2), {kSound}, false));
}

Test(part_suspects, evidence_of_many_parts_stays_bounded) {
  PartSuspects suspects;
  for (std::uint64_t i = 0; i < 50'000; ++i) {
    suspects.OnAnswer(kStart, {i + 10}, AnswerGrade::kWhole);
    suspects.OnLost(kStart, Loss(i, static_cast<int>(i)), {i + 10});
  }
  cr_assert_leq(suspects.RecentLosses(kStart).size(), 128);
  cr_assert_leq(suspects.States(kStart).size(), 128);
}

/// Tries of one request, as the whole request is held after so many crashes.
constexpr int kMostSends = 3;

/// Hosts that send requests to servers; requests with one part crash the server
/// that begins to answer them, or servers crash for no such reason.
class Fleet {
 public:
  Fleet(std::uint64_t seed, int hosts, int servers)
      : random_(seed), hosts_(static_cast<std::size_t>(hosts)) {
    for (int i = 0; i < servers; ++i)
      servers_.push_back({});
  }

  /// One request in `one_in` carries the deadly part.
  int deadly_one_in = 0;
  /// A server crashes by itself each so many milliseconds; never if zero.
  int crash_interval_ms = 0;
  /// The only server that does, or any if negative.
  int bad_server = -1;
  /// How long a sound answer goes on.
  Duration answer_time{};
  /// How long the answer to a deadly request goes on until its server crashes.
  Duration crash_delay{};

  void Run(Duration time) {
    const MonoTime end = now_ + time;
    for (; now_ < end; now_ += milliseconds(5)) {
      if (Draw(3) == 0)
        Arrive();
      Answer();
      if (crash_interval_ms > 0 && Draw(crash_interval_ms / 5) == 0)
        Crash(static_cast<std::size_t>(
            bad_server >= 0 ? bad_server
                            : Draw(static_cast<int>(servers_.size()))));
      Gossip();
    }
  }

  /// All servers of an availability zone end at once.
  void CrashHalf() {
    for (std::size_t i = 0; i < servers_.size() / 2; ++i)
      Crash(i);
  }

  MonoTime now() const { return now_; }

  int crashes = 0;
  /// Deadly requests that reached servers later than `kContact` after the fifth
  /// crash.
  int deadly_late = 0;
  std::optional<MonoTime> fifth_crash_at;
  int deadly_sent = 0;
  int sound_refused = 0;
  int sound_sent = 0;

 private:
  struct Request {
    std::size_t host = 0;
    std::uint64_t number = 0;
    std::vector<PartHash> parts;
    bool deadly = false;
    MonoTime begins;
    std::optional<AnswerGrade> grade = std::nullopt;
    int sends = 0;

    Duration AnsweredFor(MonoTime now) const {
      return std::max(now - begins, Duration::zero());
    }
  };
  struct Server {
    std::vector<Request> running;
    std::uint64_t starts = 1;
    MonoTime up_at;
  };

  int Draw(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

  void Arrive() {
    Request it;
    it.number = ++requests_;
    it.host = static_cast<std::size_t>(Draw(static_cast<int>(hosts_.size())));
    it.deadly = deadly_one_in > 0 && Draw(deadly_one_in) == 0;
    const PartHash document = 100 + static_cast<PartHash>(Draw(40));
    it.parts = {kShared, it.deadly ? kDeadly : document};
    Send(std::move(it), /*repeat=*/false);
  }

  void Send(Request it, bool repeat) {
    PartSuspects& host = hosts_[it.host];
    if (host.Refusal(now_, it.parts, repeat)) {
      sound_refused += it.deadly ? 0 : 1;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].up_at <= now_)
        up.push_back(i);
    }
    if (up.empty())
      return;
    (it.deadly ? deadly_sent : sound_sent) += 1;
    if (it.deadly && fifth_crash_at && now_ > *fifth_crash_at + kContact)
      ++deadly_late;
    it.begins = now_ + milliseconds(40 + Draw(160));
    it.grade.reset();
    ++it.sends;
    servers_[up[static_cast<std::size_t>(Draw(static_cast<int>(up.size())))]]
        .running.push_back(std::move(it));
  }

  void Answer() {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      bool crashes_now = false;
      std::erase_if(servers_[i].running, [&](Request& it) {
        if (it.begins > now_)
          return false;
        if (it.deadly && it.AnsweredFor(now_) >= crash_delay) {
          crashes_now = true;
          return false;
        }
        return GoOn(it);
      });
      if (crashes_now)
        Crash(i);
    }
  }

  /// Returns true if the answer is whole.
  bool GoOn(Request& request) {
    const Duration time = request.AnsweredFor(now_);
    const bool whole = !request.deadly && time >= answer_time;
    const auto grade = whole ? AnswerGrade::kWhole : GradeAfter(time);
    if (grade > request.grade)
      hosts_[request.host].OnAnswer(now_, request.parts, *grade);
    request.grade = grade;
    return whole;
  }

  void Crash(std::size_t index) {
    Server& server = servers_[index];
    if (server.up_at > now_)
      return;
    if (++crashes == 5)
      fifth_crash_at = now_;
    const std::vector<Request> lost = std::move(server.running);
    server.running.clear();
    server.up_at = now_ + seconds(3);
    const std::uint64_t start = server.starts++;
    for (const Request& it : lost) {
      PartLoss loss = Loss(it.number, static_cast<int>(index));
      loss.server_started_at_ms = start;
      loss.answered_for = it.AnsweredFor(now_);
      hosts_[it.host].OnLost(now_, loss, it.parts);
    }
    for (const Request& it : lost) {
      if (it.sends < kMostSends)
        Send(it, it.AnsweredFor(now_) <= kAnswerTrial);
    }
  }

  /// Each host tells another one, each a fifth of a second.
  void Gossip() {
    if ((now_ - kStart) % milliseconds(200) != milliseconds(0))
      return;
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (from == to || Draw(10) == 0)
          continue;
        for (const PartLoss& it : hosts_[from].RecentLosses(now_))
          hosts_[to].OnPeerLoss(now_, it);
        for (const PartState& it : hosts_[from].States(now_))
          hosts_[to].OnPeerState(now_, it);
      }
    }
  }

  std::mt19937_64 random_;
  std::vector<PartSuspects> hosts_;
  std::vector<Server> servers_;
  std::uint64_t requests_ = 0;
  MonoTime now_ = kStart;
};

// A deadly part kept crashing the servers of the whole fleet.
Test(part_suspects, a_fleet_stops_sending_a_deadly_part, .timeout = 120) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed, 12, 10);
    fleet.Run(seconds(5));
    fleet.deadly_one_in = 15;
    fleet.Run(seconds(8));
    const int sent = fleet.deadly_sent;
    cr_assert_leq(fleet.crashes, 15, "seed %d: %d crashes",
                  static_cast<int>(seed), fleet.crashes);
    fleet.sound_refused = 0;
    fleet.sound_sent = 0;
    fleet.Run(seconds(30));
    cr_assert_eq(fleet.deadly_sent, sent, "seed %d: %d more sent",
                 static_cast<int>(seed), fleet.deadly_sent - sent);
    cr_assert_leq(fleet.sound_refused * 10, fleet.sound_sent,
                  "seed %d: %d refused, %d sent", static_cast<int>(seed),
                  fleet.sound_refused, fleet.sound_sent);
  }
}

// Crashes for other reasons must keep no sound part from the servers.
Test(part_suspects, a_storm_of_crashes_quarantines_no_part, .timeout = 120) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed, 12, 10);
    fleet.crash_interval_ms = 500;
    fleet.Run(seconds(60));
    cr_assert_geq(fleet.crashes, 50);
    cr_assert_leq(fleet.sound_refused * 100, fleet.sound_sent,
                  "seed %d: %d refused, %d sent", static_cast<int>(seed),
                  fleet.sound_refused, fleet.sound_sent);
  }
}

constexpr int kAnswerTimesMs[] = {500, 3'000, 10'000, 60'000};

// An answer that had begun acquitted its parts right before its server crashed,
// and the crash blamed nothing, so that a deadly part was never held.
Test(part_suspects,
     a_part_that_crashes_servers_behind_its_first_events_is_held,
     .timeout = 300) {
  for (const int answer_ms : kAnswerTimesMs) {
    for (const int delay_ms : {0, 20, 100, 400, 900, 1'900}) {
      Fleet fleet(static_cast<std::uint64_t>(answer_ms + delay_ms), 12, 10);
      fleet.answer_time = milliseconds(answer_ms);
      fleet.crash_delay = milliseconds(delay_ms);
      fleet.Run(seconds(20));
      fleet.deadly_one_in = 100;
      fleet.Run(seconds(10));
      fleet.sound_refused = 0;
      fleet.sound_sent = 0;
      fleet.Run(seconds(30));
      cr_expect_leq(fleet.deadly_late, 3, "answers of %d ms, %d ms: %d late",
                    answer_ms, delay_ms, fleet.deadly_late);
      cr_expect_leq(fleet.crashes, 20, "answers of %d ms, %d ms: %d crashes",
                    answer_ms, delay_ms, fleet.crashes);
      cr_expect_leq(fleet.sound_refused * 20, fleet.sound_sent,
                    "answers of %d ms, %d ms: %d refused, %d sent", answer_ms,
                    delay_ms, fleet.sound_refused, fleet.sound_sent);
    }
  }
}

// Answers that had begun when servers crashed for other reasons blame no part
// for longer than hosts need to hear of other answers.
Test(part_suspects, lost_streams_quarantine_no_sound_part, .timeout = 300) {
  for (const int answer_ms : kAnswerTimesMs) {
    for (const int bad_server : {-1, 0}) {
      Fleet fleet(static_cast<std::uint64_t>(answer_ms), 12, 10);
      fleet.answer_time = milliseconds(answer_ms);
      fleet.Run(seconds(10));
      fleet.crash_interval_ms = 1'000;
      fleet.bad_server = bad_server;
      fleet.Run(seconds(40));
      fleet.CrashHalf();
      fleet.Run(seconds(20));
      cr_expect_geq(fleet.crashes, 10);
      cr_expect_leq(fleet.sound_refused * 100, fleet.sound_sent,
                    "answers of %d ms, server %d: %d refused, %d sent",
                    answer_ms, bad_server, fleet.sound_refused,
                    fleet.sound_sent);
    }
  }
}

}  // namespace
}  // namespace mangoport
