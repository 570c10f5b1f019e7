// Soak test of what hosts know together of requests that crash servers. Hosts
// restart one at a time, their datagrams are lost and late, servers crash by
// themselves, alone and several at once, and requests that crash each server
// come again and again beside sound ones. Checks that such a request reaches
// servers in no more than three tries once all hosts in touch must know it, and
// that a sound request is served again soon after servers have failed.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mangoport/core/invariant.h"
#include "mangoport/routing/crash_suspects.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(200);
constexpr std::size_t kServers = 8;
/// Requests below this crash each server that runs them.
constexpr std::uint64_t kDeadly = 2;
/// The sound ones above are each sent by many callers.
constexpr std::uint64_t kSound = 6;
/// A host is in touch from so long after its start, and the others know by then
/// what it knew (`ContactMs`).
constexpr Duration kContact = seconds(3);
constexpr int kMostLateTries = 3;
constexpr Duration kServerRestart = seconds(2);
/// In which the number of requests at work is not counted.
constexpr Duration kRunTime = milliseconds(600);
/// Longest time until a sound request is served again after the last crash of a
/// server that ran it: the first hold, a turn of each host, and a run.
constexpr Duration kMostHeld = minutes(1) + 8 * seconds(5) + seconds(10);

class CrashSimulation {
 public:
  CrashSimulation(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed), progress_(progress), servers_(kServers) {
    hosts_.resize(3 + options.seed % 6);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      Start(i);
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    // Long enough calm for what must end to have ended.
    const bool inject_faults = step % 1200 < 400;
    if (inject_faults && Chance(80))
      RestartHost();
    if (inject_faults && Chance(60))
      CrashServers(Chance(4) ? kServers / 2 : 1);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      Tell(i, inject_faults);
    Deliver();
    EndRuns();
    SendRequests();
    CheckSound();
  }

 private:
  struct Host {
    std::unique_ptr<CrashSuspects> suspects;
    MonoTime started_at;
  };
  struct Server {
    std::uint64_t start = 1;
    MonoTime up_at;
  };
  struct Run {
    std::size_t host = 0;
    MonoTime host_started_at;
    std::size_t server = 0;
    std::uint64_t request = 0;
    MonoTime ends_at;
  };
  struct Datagram {
    std::size_t to = 0;
    MonoTime arrives_at;
    std::vector<CrashSuspicion> losses;
    std::vector<RequestState> states;
  };

  bool Chance(int one_in) { return random_() % one_in == 0; }
  bool IsInTouch(const Host& host) const {
    return now_ - host.started_at >= kContact;
  }

  void Start(std::size_t i) {
    hosts_[i] = {.suspects = std::make_unique<CrashSuspects>(),
                 .started_at = now_};
    hosts_[i].suspects->set_turn(
        [i, this] { return HostTurn{.rank = i, .hosts = hosts_.size()}; });
  }

  /// One host at a time: what all forget at once is lost.
  void RestartHost() {
    const bool all_in_touch =
        std::all_of(hosts_.begin(), hosts_.end(),
                    [this](const Host& it) { return IsInTouch(it); });
    if (!all_in_touch)
      return;
    const std::size_t i = random_() % hosts_.size();
    progress_.Note("host " + std::to_string(i) + " starts again");
    Start(i);
  }

  void CrashServers(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      Crash(random_() % kServers);
  }

  void Crash(std::size_t server) {
    if (now_ < servers_[server].up_at)
      return;
    for (const Run& it : runs_) {
      if (it.server != server)
        continue;
      lost_at_[it.request] = now_;
      if (it.host_started_at != hosts_[it.host].started_at)
        continue;
      hosts_[it.host].suspects->OnServerLost(
          now_, {.fingerprint = it.request,
                 .server = ServerId("s" + std::to_string(server)),
                 .server_started_at_ms = servers_[server].start});
    }
    std::erase_if(runs_,
                  [server](const Run& it) { return it.server == server; });
    ++servers_[server].start;
    servers_[server].up_at = now_ + kServerRestart;
  }

  void Tell(std::size_t from, bool inject_faults) {
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      if (to == from || (inject_faults && Chance(5)))
        continue;
      const Duration delay =
          inject_faults ? milliseconds(random_() % 800) : milliseconds(0);
      datagrams_.push_back({.to = to,
                            .arrives_at = now_ + delay,
                            .losses = hosts_[from].suspects->Recent(now_),
                            .states = hosts_[from].suspects->States(now_)});
    }
  }

  void Deliver() {
    for (const Datagram& it : datagrams_) {
      if (now_ < it.arrives_at)
        continue;
      CrashSuspects& suspects = *hosts_[it.to].suspects;
      for (const CrashSuspicion& loss : it.losses)
        suspects.OnPeerServerLost(now_, loss);
      for (const RequestState& state : it.states)
        suspects.OnPeerState(now_, state);
    }
    std::erase_if(datagrams_,
                  [this](const Datagram& it) { return now_ >= it.arrives_at; });
  }

  void EndRuns() {
    std::vector<Run> ended;
    for (const Run& it : runs_) {
      if (now_ >= it.ends_at)
        ended.push_back(it);
    }
    std::erase_if(runs_, [this](const Run& it) { return now_ >= it.ends_at; });
    for (const Run& it : ended) {
      served_at_[it.request] = now_;
      if (it.host_started_at == hosts_[it.host].started_at)
        hosts_[it.host].suspects->OnAnswered(now_, it.request);
    }
  }

  void SendRequests() {
    for (std::uint64_t request = 1; request <= kDeadly; ++request) {
      if (Chance(4))
        Send(random_() % hosts_.size(), request);
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      const std::uint64_t request = kDeadly + 1 + random_() % kSound;
      Send(host, request);
    }
  }

  void Send(std::size_t host, std::uint64_t request) {
    Host& sender = hosts_[host];
    const std::size_t server = random_() % kServers;
    if (now_ < servers_[server].up_at)
      return;
    const auto wait = sender.suspects->Refusal(now_, request);
    if (wait) {
      CheckInvariant(*wait > Duration::zero(), "a refusal names a time to come",
                     [request] { return std::to_string(request); });
      return;
    }
    runs_.push_back({.host = host,
                     .host_started_at = sender.started_at,
                     .server = server,
                     .request = request,
                     .ends_at = now_ + kRunTime});
    if (request > kDeadly)
      return;
    progress_.Note("request " + std::to_string(request) + " crashes server " +
                   std::to_string(server) + " from host " +
                   std::to_string(host));
    Crash(server);
    CountCrash(request, IsInTouch(sender));
  }

  void CountCrash(std::uint64_t request, bool in_touch) {
    Tries& tries = tries_[request];
    if (++tries.crashes == 3)
      tries.third_at = now_;
    if (tries.crashes <= 3 || !in_touch || now_ < tries.third_at + kContact)
      return;
    ++tries.late;
    CheckInvariant(tries.late <= kMostLateTries,
                   "a request that crashes servers is kept from them",
                   [request] { return std::to_string(request); });
  }

  void CheckSound() {
    for (const auto& it : lost_at_) {
      const std::uint64_t request = it.first;
      if (request <= kDeadly)
        continue;
      const MonoTime since = std::max(it.second, served_at_[request]);
      CheckInvariant(now_ - since < kMostHeld,
                     "a sound request is served again",
                     [request] { return std::to_string(request); });
    }
  }

  struct Tries {
    int crashes = 0;
    int late = 0;
    MonoTime third_at;
  };

  std::mt19937_64 random_;
  SoakProgress& progress_;
  MonoTime now_{seconds(1000)};
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::vector<Run> runs_;
  std::vector<Datagram> datagrams_;
  std::map<std::uint64_t, Tries> tries_;
  /// When a server that ran the request was last lost, and when the request was
  /// last answered.
  std::map<std::uint64_t, MonoTime> lost_at_;
  std::map<std::uint64_t, MonoTime> served_at_;
};

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"deadly_request_forgotten", "deadly_request_not_told",
       "failed_probe_ignored", "answer_clears_nothing"},
      [](const mangoport::SoakOptions& options,
         mangoport::SoakProgress& progress) {
        mangoport::CrashSimulation simulation(options, progress);
        for (std::uint64_t step = 1; step <= options.steps; ++step)
          simulation.Step(step);
      });
}
