// Soak test of what hosts know together of parts of prompts that crash servers.
// Hosts restart one at a time, their datagrams are lost and late, servers crash
// by themselves, alone and several at once, and answers go on for a second to a
// minute. One part crashes each server some time after it has begun to answer.
// Checks that few requests with that part reach servers once all hosts in touch
// must know it, and that sound requests are not held for long.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "mangoport/core/invariant.h"
#include "mangoport/routing/part_suspects.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(100);
constexpr std::size_t kHosts = 12;
constexpr std::size_t kServers = 40;
constexpr Duration kServerRestart = seconds(3);
/// A host is in touch from so long after its start, and the others know by then
/// what it knew (`ContactMs`).
constexpr Duration kContact = seconds(3);
/// Requests with the deadly part that may reach servers after the fifth crash
/// and `kContact`.
constexpr int kMostLate = 3;
constexpr int kMostSends = 2;
/// A part of all requests, and the others that sound ones carry.
constexpr PartHash kShared = 1;
constexpr PartHash kDocuments = 40;
constexpr PartHash kFirstDocument = 100;
constexpr PartHash kFirstDeadly = 1000;
/// A period of trouble and a calm one, in steps.
constexpr std::uint64_t kPeriod = 1200;
constexpr std::uint64_t kCalmFrom = 600;
/// The share of sound requests that may be held in a period: one in so many.
constexpr int kHeldOneIn = 20;

class PartSimulation {
 public:
  PartSimulation(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed), progress_(progress), servers_(kServers) {
    hosts_.resize(kHosts);
    for (std::size_t i = 0; i < kHosts; ++i)
      Start(i);
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    if (step % kPeriod == 1)
      BeginPeriod();
    trouble_ = step % kPeriod < kCalmFrom;
    if (trouble_ && Chance(200))
      RestartHost();
    if (trouble_ && Chance(40))
      Crash(random_() % kServers);
    if (trouble_ && Chance(400))
      CrashHalf();
    for (std::size_t i = 0; i < kHosts; ++i)
      Tell(i);
    Deliver();
    GoOn();
    for (int i = 0; i < 4; ++i)
      Arrive(kFirstDocument + random_() % kDocuments);
    if (Chance(15))
      Arrive(deadly_);
  }

 private:
  struct Host {
    std::unique_ptr<PartSuspects> suspects;
    MonoTime started_at;
  };
  struct Server {
    std::uint64_t start = 1;
    MonoTime up_at;
  };
  struct Run {
    std::size_t host = 0;
    std::size_t server = 0;
    std::uint64_t request = 0;
    PartHash part = 0;
    int sends = 0;
    MonoTime begins;
    Duration time{};
    std::optional<AnswerGrade> grade = std::nullopt;
  };
  struct Datagram {
    std::size_t to = 0;
    MonoTime arrives_at;
    std::vector<PartLoss> losses;
    std::vector<PartState> states;
  };

  bool Chance(int one_in) { return random_() % one_in == 0; }
  bool IsInTouch(const Host& host) const {
    return now_ - host.started_at >= kContact;
  }
  bool IsDeadly(PartHash part) const { return part >= kFirstDeadly; }

  /// Another part is deadly, and crashes servers after another time.
  void BeginPeriod() {
    CheckInvariant(
        held_ * kHeldOneIn <= arrived_, "few sound requests are held", [this] {
          return std::to_string(held_) + " of " + std::to_string(arrived_);
        });
    deadly_ = kFirstDeadly + ++periods_;
    crash_delay_ = milliseconds(random_() % 2 == 0 ? 0 : random_() % 1500);
    answer_time_ = seconds(1) + seconds(random_() % 3 * (random_() % 20));
    crashes_ = late_ = held_ = arrived_ = 0;
    progress_.Note(
        "part " + std::to_string(deadly_) + " crashes servers after " +
        std::to_string(crash_delay_ / milliseconds(1)) + " ms, answers take " +
        std::to_string(answer_time_ / seconds(1)) + " s");
  }

  void Start(std::size_t i) {
    hosts_[i] = {.suspects = std::make_unique<PartSuspects>(),
                 .started_at = now_};
    hosts_[i].suspects->set_turn(
        [i] { return HostTurn{.rank = i, .hosts = kHosts}; });
  }

  /// One host at a time: what all forget at once is lost.
  void RestartHost() {
    if (!std::all_of(hosts_.begin(), hosts_.end(),
                     [this](const Host& it) { return IsInTouch(it); }))
      return;
    const std::size_t i = random_() % kHosts;
    progress_.Note("host " + std::to_string(i) + " starts again");
    Start(i);
    std::erase_if(runs_, [i](const Run& it) { return it.host == i; });
  }

  void CrashHalf() {
    progress_.Note("half of the servers end");
    for (std::size_t i = 0; i < kServers / 2; ++i)
      Crash(i);
  }

  void Crash(std::size_t server) {
    if (now_ < servers_[server].up_at)
      return;
    std::vector<Run> lost;
    std::erase_if(runs_, [&](const Run& it) {
      if (it.server == server)
        lost.push_back(it);
      return it.server == server;
    });
    for (const Run& it : lost) {
      const PartLoss loss{.fingerprint = it.request,
                          .server = ServerId("s" + std::to_string(server)),
                          .server_started_at_ms = servers_[server].start,
                          .answered_for = AnsweredFor(it)};
      hosts_[it.host].suspects->OnLost(now_, loss, {kShared, it.part});
    }
    ++servers_[server].start;
    servers_[server].up_at = now_ + kServerRestart;
    for (const Run& it : lost) {
      if (it.sends < kMostSends)
        Send(it, AnsweredFor(it) <= kAnswerTrial);
    }
  }

  Duration AnsweredFor(const Run& run) const {
    return std::max<Duration>(now_ - run.begins, Duration::zero());
  }

  void Tell(std::size_t from) {
    for (std::size_t to = 0; to < kHosts; ++to) {
      // Each host tells another one twice a second.
      if (to == from || random_() % 5 != 0 || (trouble_ && Chance(5)))
        continue;
      const Duration delay =
          trouble_ ? milliseconds(random_() % 800) : milliseconds(0);
      PartSuspects& suspects = *hosts_[from].suspects;
      datagrams_.push_back({.to = to,
                            .arrives_at = now_ + delay,
                            .losses = suspects.RecentLosses(now_),
                            .states = suspects.States(now_)});
    }
  }

  void Deliver() {
    for (const Datagram& it : datagrams_) {
      if (now_ < it.arrives_at)
        continue;
      PartSuspects& suspects = *hosts_[it.to].suspects;
      for (const PartLoss& loss : it.losses)
        suspects.OnPeerLoss(now_, loss);
      for (const PartState& state : it.states)
        suspects.OnPeerState(now_, state);
    }
    std::erase_if(datagrams_,
                  [this](const Datagram& it) { return now_ >= it.arrives_at; });
  }

  void GoOn() {
    std::vector<std::size_t> crashing;
    std::erase_if(runs_, [&](Run& it) {
      if (now_ < it.begins)
        return false;
      const Duration time = AnsweredFor(it);
      const bool deadly = IsDeadly(it.part);
      if (deadly && time >= crash_delay_) {
        crashing.push_back(it.server);
        return false;
      }
      const bool whole = !deadly && time >= it.time;
      const auto grade = whole ? AnswerGrade::kWhole : GradeAfter(time);
      if (grade > it.grade)
        hosts_[it.host].suspects->OnAnswer(now_, {kShared, it.part}, *grade);
      it.grade = grade;
      return whole;
    });
    for (const std::size_t it : crashing) {
      if (now_ < servers_[it].up_at)
        continue;
      progress_.Note("part " + std::to_string(deadly_) + " crashes server " +
                     std::to_string(it));
      Crash(it);
      if (++crashes_ == 5)
        fifth_crash_at_ = now_;
    }
  }

  void Arrive(PartHash part) {
    Run run;
    run.host = random_() % kHosts;
    run.request = ++requests_;
    run.part = part;
    if (!IsDeadly(part))
      ++arrived_;
    Send(run, /*repeat=*/false);
  }

  void Send(Run run, bool repeat) {
    Host& host = hosts_[run.host];
    if (host.suspects->Refusal(now_, {kShared, run.part}, repeat)) {
      held_ += IsDeadly(run.part) ? 0 : 1;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < kServers; ++i) {
      if (now_ >= servers_[i].up_at)
        up.push_back(i);
    }
    if (up.empty())
      return;
    if (run.part == deadly_)
      CountLate(host);
    run.server = up[random_() % up.size()];
    run.begins = now_ + milliseconds(100 + random_() % 200);
    run.time = answer_time_;
    run.grade.reset();
    ++run.sends;
    runs_.push_back(run);
  }

  void CountLate(const Host& host) {
    if (crashes_ < 5 || !IsInTouch(host) || now_ <= fifth_crash_at_ + kContact)
      return;
    CheckInvariant(++late_ <= kMostLate, "a deadly part is kept from servers",
                   [this] { return std::to_string(deadly_); });
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  MonoTime now_{seconds(1000)};
  bool trouble_ = false;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::vector<Run> runs_;
  std::vector<Datagram> datagrams_;
  std::uint64_t requests_ = 0;
  std::uint64_t periods_ = 0;
  PartHash deadly_ = kFirstDeadly;
  Duration crash_delay_{};
  Duration answer_time_ = seconds(1);
  int crashes_ = 0;
  int late_ = 0;
  MonoTime fifth_crash_at_;
  /// Of the sound requests of this period.
  int held_ = 0;
  int arrived_ = 0;
};

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"begun_acquits", "loss_behind_event_ignored", "answers_not_told"},
      [](const mangoport::SoakOptions& options,
         mangoport::SoakProgress& progress) {
        mangoport::PartSimulation simulation(options, progress);
        for (std::uint64_t step = 1; step <= options.steps; ++step)
          simulation.Step(step);
      });
}
