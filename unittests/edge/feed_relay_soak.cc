// A fleet of which a few hosts read a feed of the store and tell the others in
// datagrams, while hosts stand still, restart with another clock, lose the
// store or each other, backend servers lose and renew their entries, and the
// store is restored from an older copy. No
// host may take its keys for proven when it lacks news, each host that reaches
// the store must have news and each registered server in time, and the store
// must not be read by all once the trouble is over.
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "lib/edge/feed_wire.h"
#include "mangoport/core/invariant.h"
#include "mangoport/fleet/config_feed.h"
#include "mangoport/fleet/feed_tracker.h"
#include "mangoport/fleet/key_evidence.h"
#include "mangoport/fleet/server_feed.h"
#include "mangoport/gossip/soft_state.h"
#include "mangoport/membership/feed_readers.h"
#include "unittests/edge/config_store.h"
#include "unittests/edge/server_checks.h"
#include "unittests/edge/server_store.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr int kHosts = 12;
constexpr int kZones = 3;
constexpr Duration kReaderInterval = milliseconds(800);
constexpr Duration kPatience = milliseconds(1500);
constexpr Duration kCallTime = milliseconds(40);
constexpr Duration kMaxKeyAge = seconds(5);
constexpr Duration kServersInterval = milliseconds(900);
/// What one answer of the store holds of the configuration's log. Hosts that
/// were away for some seconds have missed more.
constexpr std::size_t kMaxRecords = 1;
/// The same for the log of servers. It holds the renewals of all servers.
constexpr std::size_t kMaxServerRecords = 4;
/// Servers register again within two seconds, and hosts learn of it within two.
constexpr Duration kRestoreGap = seconds(4);
constexpr Duration kRetryPause = milliseconds(400);
/// Hosts keep a zone evacuated for so long that a restored store does not name.
constexpr Duration kEvacuationGrace = seconds(10);
/// A period of trouble and a calm one, in steps.
constexpr std::uint64_t kPeriod = 1500;
constexpr std::uint64_t kCalmFrom = 900;
/// Calm steps in which the fleet settles before its calls are counted.
constexpr std::uint64_t kSettle = 250;

/// The start of a server, and how often it has registered since.
using Registration = std::pair<std::uint64_t, std::uint64_t>;

struct Datagram {
  int to = 0;
  MonoTime arrives;
  wire::HostState message;
};

struct Read {
  MonoTime answered;
  BootTime sent;
  std::optional<StorePosition> from;
};

struct Host {
  std::uint64_t incarnation = 0;
  /// This run's clock against the world's.
  Duration clock_offset{};
  std::unique_ptr<PeerTable> peers;
  std::optional<ConfigFeed> config;
  Evacuations evacuations;
  std::optional<KeyEvidence> evidence;
  StoreTimeline timeline = 0;
  std::uint64_t sequence = 0;
  std::optional<Read> read;
  std::optional<ServerFeed> servers;
  std::optional<Read> servers_read;
  /// The registration of each server in its list, a step ago.
  std::map<ServerId, Registration> registrations;
  MonoTime servers_pause_until;
  MonoTime tells_at;
  MonoTime frozen_until;
  /// Since then it runs and reaches the store.
  MonoTime sound_since;
  bool no_store = false;
  bool cut_off = false;
};

class FeedWorld {
 public:
  FeedWorld(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed),
        progress_(progress),
        news_(random_),
        store_(MonoTime(seconds(1000)), random_) {
    for (int i = 0; i < kHosts; ++i)
      Start(i);
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    const bool calm = step % kPeriod >= kCalmFrom;
    if (calm)
      EndTrouble();
    else
      MakeTrouble();
    if (!store_.IsDown(now_))
      ChangeStore(calm);
    store_.Step(now_);
    if (!store_.IsDown(now_))
      news_.Step(now_);
    for (int i = 0; i < kHosts; ++i) {
      if (now_ >= hosts_[i].frozen_until)
        StepHost(i);
    }
    CheckHosts();
    CheckCalls(step);
  }

 private:
  bool Chance(int one_in) { return random_() % one_in == 0; }
  static HostId Name(int i) { return HostId("h" + std::to_string(i)); }
  static ZoneId Zone(int i) { return ZoneId("z" + std::to_string(i % kZones)); }
  BootTime Clock(const Host& host) const {
    return BootTime(now_.time_since_epoch() + host.clock_offset);
  }
  MonoTime World(const Host& host, BootTime time) const {
    return MonoTime(time.time_since_epoch() - host.clock_offset);
  }

  void Start(int i) {
    Host& host = hosts_[i];
    ++host.incarnation;
    host.clock_offset = milliseconds(random_() % 100000);
    host.peers =
        std::make_unique<PeerTable>(Name(i), Zone(i), SoftStateSettings{});
    for (int other = 0; other < kHosts; ++other)
      host.peers->OnListed(now_, Name(other), std::to_string(other));
    const Duration delay = milliseconds(random_() % 400);
    host.config.emplace(
        FeedTrackerSettings{.patience = kPatience, .restart_delay = delay});
    host.evacuations = Evacuations();
    host.timeline = 0;
    host.evidence.emplace(kMaxKeyAge);
    host.read.reset();
    host.servers.emplace(
        ServerFeedSettings{.tracker = {.interval = kServersInterval,
                                       .patience = kPatience,
                                       .restart_delay = delay},
                           .directory = kDirectory});
    host.servers_read.reset();
    host.registrations.clear();
    host.servers_pause_until = now_;
    host.tells_at = now_;
    host.frozen_until = now_;
    host.sound_since = now_;
    progress_.Note("start " + Name(i).value());
  }

  void ChangeStore(bool calm) {
    if (Chance(120))
      news_.Write(now_);
    if (Chance(250))
      news_.Evacuate(now_, Zone(static_cast<int>(random_() % kZones)));
    if (Chance(150))
      store_.ChangeOne(now_);
    if (Chance(200))
      store_.LapseOne(now_);
    if (Chance(100))
      store_.WriteLate(now_);
    if (Chance(500)) {
      store_.Forget();
      ++forgotten_;
    }
    if (calm)
      return;
    if (Chance(150)) {
      news_.TakeBackup();
      store_.TakeBackup();
    }
    if (Chance(100))
      ScheduleRestore();
    if (restore_due_ && now_ >= *restore_due_)
      Restore();
    if (!Chance(400))
      return;
    store_.GoDown(now_, now_ + milliseconds(500 + random_() % 7500));
    progress_.Note("store down");
    if (Chance(2) && now_ - restored_at_ >= kRestoreGap)
      Restore();
  }

  /// The store will come back from a copy that lacks its last record, which
  /// only some hosts have read by then.
  void ScheduleRestore() {
    if (restore_due_ || now_ - restored_at_ < kRestoreGap)
      return;
    restore_due_ = now_ + milliseconds(random_() % 120);
    if (Chance(2))
      return;
    news_.TakeBackup();
    if (Chance(2))
      news_.Write(now_);
    else
      news_.Evacuate(now_, Zone(static_cast<int>(random_() % kZones)));
  }

  void Restore() {
    restored_at_ = now_;
    restore_due_.reset();
    news_.Restore(now_);
    store_.Restore(now_);
    progress_.Note("store restored");
  }

  /// The host learns of a timeline of the store.
  void NoteTimeline(Host& host, StoreTimeline timeline, TimelineSource source) {
    host.timeline = std::max(host.timeline, timeline);
    host.config->tracker().OnTimeline(Clock(host), timeline, source);
    host.servers->OnTimeline(Clock(host), timeline, source);
  }

  /// This host can read the store.
  bool Reaches(const Host& host) const {
    return !host.no_store && !store_.IsDown(now_);
  }

  void MakeTrouble() {
    const int i = static_cast<int>(random_() % kHosts);
    Host& host = hosts_[i];
    if (Chance(250))
      Start(i);
    if (Chance(250))
      Freeze(i);
    if (Chance(100)) {
      host.no_store = !host.no_store;
      host.sound_since = std::max(now_, host.frozen_until);
      progress_.Note(Name(i).value() +
                     (host.no_store ? " lost the store" : " has the store"));
    }
    if (Chance(150)) {
      host.cut_off = !host.cut_off;
      progress_.Note(Name(i).value() + (host.cut_off ? " cut off" : " heard"));
    }
  }

  void Freeze(int i) {
    hosts_[i].frozen_until = now_ + milliseconds(random_() % 6000);
    hosts_[i].sound_since = hosts_[i].frozen_until;
    progress_.Note("freeze " + Name(i).value());
  }

  void EndTrouble() {
    store_.ComeBack(now_);
    for (Host& it : hosts_) {
      if (it.no_store)
        it.sound_since = std::max(now_, it.frozen_until);
      it.no_store = false;
      it.cut_off = false;
    }
  }

  void StepHost(int i) {
    Host& host = hosts_[i];
    ChooseReaders(i);
    Receive(i);
    FinishRead(host);
    const FeedTracker& tracker = host.config->tracker();
    if (!host.read && tracker.Wait(Clock(host)) == Duration::zero()) {
      ++calls_;
      const bool fails = !Reaches(host);
      // A regular reader's call waits for news.
      const bool waits = tracker.ReadsFeedDirectly(Clock(host));
      const Duration held = fails || waits ? kReaderInterval : kCallTime;
      host.read = Read{.answered = now_ + held,
                       .sent = Clock(host),
                       .from = host.config->ReadFrom()};
    }
    StepServers(host);
    if (now_ >= host.tells_at)
      Tell(i);
  }

  void StepServers(Host& host) {
    host.servers->Expire(now_);
    if (host.servers_read && now_ >= host.servers_read->answered) {
      const Read read = *host.servers_read;
      host.servers_read.reset();
      if (Reaches(host)) {
        const ServerNews news = store_.Read(read.from, kMaxServerRecords);
        NoteTimeline(host, store_.timeline(), TimelineSource::kStore);
        if (news.history_lost)
          host.servers->OnHistoryLost();
        else
          host.servers->OnRead(
              now_, {.sent_at = read.sent, .answered_at = Clock(host)}, news);
      } else {
        host.servers->OnReadFailed(now_);
        host.servers_pause_until = now_ + kRetryPause;
      }
    }
    if (!host.servers_read && now_ >= host.servers_pause_until &&
        host.servers->Wait(Clock(host)) == Duration::zero()) {
      ++calls_;
      host.servers_read = Read{.answered = now_ + kCallTime,
                               .sent = Clock(host),
                               .from = host.servers->position()};
    }
  }

  void FinishRead(Host& host) {
    if (!host.read)
      return;
    const bool news = news_.HasNews(host.read->from);
    // A call that fails does so at its end; news answers one at once.
    if (now_ < host.read->answered && !(news && Reaches(host)))
      return;
    const Read read = *host.read;
    host.read.reset();
    if (!Reaches(host))
      return;
    NoteTimeline(host, news_.timeline(), TimelineSource::kStore);
    const std::optional<ConfigTopicRead> result =
        news_.Read(read.from, kMaxRecords);
    if (!result) {
      host.config->tracker().Restart();
      return;
    }
    const FeedReadUse use =
        host.config
            ->OnRead({.sent_at = read.sent, .answered_at = Clock(host)},
                     result->config)
            .use;
    if (use != FeedReadUse::kApply && use != FeedReadUse::kPassed)
      return;
    if (const auto& confirmation = host.config->tracker().confirmation())
      host.evidence->OnCurrentRead(confirmation->sent_at);
    host.evacuations.OnRead(now_, result->config.next, result->config.whole,
                            result->evacuations);
  }

  void Tell(int i) {
    Host& host = hosts_[i];
    for (const DuePeer& due : host.peers->DuePeers(now_)) {
      const PeerHost& peer = due.peer;
      Datagram out;
      out.to = std::stoi(peer.address);
      out.message.set_host(Name(i).value());
      out.message.set_zone(Zone(i).value());
      out.message.set_address(std::to_string(i));
      out.message.set_incarnation(host.incarnation);
      out.message.set_sequence(++host.sequence);
      out.message.set_sent_at_us(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(
              Clock(host).time_since_epoch())
              .count()));
      out.message.set_echo_us(peer.clock_us);
      out.message.set_echo_incarnation(peer.incarnation);
      FeedUpdates updates;
      updates.config = host.config->OwnUpdate(Clock(host));
      if (updates.config)
        updates.evacuated_zones = host.evacuations.stated_zones();
      updates.servers = peer.zone == Zone(i)
                            ? host.servers->OwnUpdateSince(
                                  now_, Clock(host), peer.servers_position)
                            : host.servers->OwnUpdate(Clock(host));
      const StorePosition& position = host.servers->list_position();
      out.message.set_servers_timeline(position.timeline);
      out.message.set_servers_position(position.offset);
      out.message.set_store_timeline(host.timeline);
      WriteFeeds(Clock(host), updates, out.message);
      const bool lost = host.cut_off || hosts_[out.to].cut_off || Chance(20);
      out.arrives = now_ + milliseconds(random_() % 30);
      if (!lost)
        flying_.push_back(std::move(out));
    }
    host.tells_at = host.peers->next_due();
  }

  void Receive(int i) {
    Host& host = hosts_[i];
    for (auto it = flying_.begin(); it != flying_.end();) {
      if (it->to != i || it->arrives > now_) {
        ++it;
        continue;
      }
      const wire::HostState message = std::move(it->message);
      it = flying_.erase(it);
      if (!host.peers->OnMessage(now_, message))
        continue;
      NoteTimeline(host, message.store_timeline(), TimelineSource::kPeer);
      const auto sent_after = SentAfter(message, host.incarnation);
      const FeedUpdates updates = ReadFeeds(sent_after, message);
      if (updates.servers)
        host.servers->OnPeerUpdate(now_, *updates.servers);
      if (updates.config && updates.evacuated_zones)
        host.evacuations.OnPeerState(now_,
                                     {.position = updates.config->position,
                                      .zones = *updates.evacuated_zones});
      if (!updates.config || !host.config->version())
        continue;
      FeedTracker& tracker = host.config->tracker();
      const FeedUpdateCoverage coverage = tracker.OnFeedUpdate(*updates.config);
      if (coverage == FeedUpdateCoverage::kBehind)
        tracker.RequestImmediateRead();
      else if (coverage == FeedUpdateCoverage::kCurrent &&
               updates.config->proof)
        host.evidence->OnCurrentRead(updates.config->proof->sent_at);
    }
  }

  void ChooseReaders(int i) {
    Host& host = hosts_[i];
    std::vector<FleetHost> fleet = {{.host = Name(i), .zone = Zone(i)}};
    for (const PeerHost& it : host.peers->ReachablePeers(now_))
      fleet.push_back({.host = it.host, .zone = it.zone});
    const std::set<HostId> readers = ChooseFeedReaders(fleet);
    host.peers->SetReaders(readers);
    host.config->tracker().set_reader(readers.contains(Name(i)));
    host.servers->set_reader(readers.contains(Name(i)));
  }

  static std::uint64_t Version(const Host& host) {
    return host.config->version().value_or(0);
  }

  /// No host goes back to an earlier registration of a server in its list.
  void CheckRegistrations(int i) {
    Host& host = hosts_[i];
    std::map<ServerId, Registration> present;
    for (const auto& it : host.servers->servers()) {
      const ServerEntry& entry = it.second;
      const Registration now(entry.started_at_ms, entry.registrations.value);
      const auto before = host.registrations.find(entry.id);
      CheckInvariant(
          before == host.registrations.end() || now >= before->second,
          "an older registration replaces none",
          [&] { return Name(i).value() + ", server " + entry.id.value(); });
      present[entry.id] = now;
    }
    host.registrations = std::move(present);
  }

  void CheckHosts() {
    for (int i = 0; i < kHosts; ++i) {
      CheckRegistrations(i);
      const Host& host = hosts_[i];
      const auto age = host.evidence->Age(Clock(host));
      if (age) {
        const MonoTime proven = World(host, Clock(host) - *age);
        CheckInvariant(Version(host) >= news_.NewestThroughout(proven - kStep),
                       "keys are proven only with all news",
                       [&] { return Name(i).value(); });
      }
      const MonoTime up_since = std::max(host.sound_since, store_.down_until());
      if (!Reaches(host) || now_ - up_since < kSettled)
        continue;
      CheckServers(
          store_, host.servers->servers(),
          {.now = now_, .up_since = up_since, .restored_at = restored_at_},
          Name(i).value());
      CheckEvacuations(host, i, up_since);
      CheckInvariant(
          Version(host) >= news_.NewestThroughout(now_ - kApplyBound),
          "news is known in time", [&] {
            const FeedTracker& tracker = host.config->tracker();
            return Name(i).value() + " knows " + std::to_string(Version(host)) +
                   " of " + std::to_string(news_.NewestThroughout(now_)) +
                   ", next read in " +
                   std::to_string(tracker.Wait(Clock(host)) / milliseconds(1)) +
                   " ms, reads itself " +
                   std::to_string(tracker.ReadsFeedDirectly(Clock(host))) +
                   ", call under way " + std::to_string(host.read.has_value()) +
                   ", at " +
                   ToString(tracker.position().value_or(StorePosition{}));
          });
    }
  }

  /// The host has read the store for long enough to know what it says, or did
  /// so before a restore that took the record away.
  void CheckEvacuations(const Host& host, int i, MonoTime up_since) {
    for (int zone = 0; zone < kZones; ++zone) {
      const ZoneId id = Zone(zone);
      const MonoTime stated = news_.StatedSince(id);
      const bool is_stated =
          stated != MonoTime::max() && now_ - stated >= kApplyBound;
      const MonoTime stated_before = news_.StatedBeforeRestore(id);
      const bool was_known = stated_before != MonoTime::max() &&
                             stated_before + kApplyBound <= restored_at_ &&
                             host.sound_since + kSettled <= restored_at_ &&
                             store_.down_until() + kSettled <= restored_at_ &&
                             now_ - restored_at_ < kRestoreGap;
      const bool evacuated = host.evacuations.zones().contains(id);
      const auto detail = [&] { return Name(i).value() + ", " + id.value(); };
      if (news_.WantsEvacuated(id) && (is_stated || was_known))
        CheckInvariant(evacuated, "an evacuated zone stays evacuated", detail);
      // A host holds what a restored store does not name for a grace period,
      // from when it learns of the restore.
      if (!news_.WantsEvacuated(id) && is_stated &&
          now_ - std::max(restored_at_, up_since) >=
              kEvacuationGrace + kApplyBound)
        CheckInvariant(!evacuated, "the end of an evacuation is known", detail);
    }
  }

  void CheckCalls(std::uint64_t step) {
    const std::uint64_t at = step % kPeriod;
    if (at == kCalmFrom + kSettle) {
      calls_ = 0;
      forgotten_ = 0;
      news_counted_ = news_.writes();
    }
    if (at != kPeriod - 1 || step < kPeriod)
      return;
    const std::chrono::duration<double> passed =
        kStep * (kPeriod - 1 - kCalmFrom - kSettle);
    const std::chrono::duration<double> interval = kReaderInterval;
    // Three readers' own calls for two feeds, each host's one for each piece of
    // news and each whole read after a forgotten history.
    const double most =
        1.5 * (2 * 3 * passed.count() / interval.count() +
               kHosts * static_cast<double>(news_.writes() - news_counted_ +
                                            forgotten_));
    CheckInvariant(static_cast<double>(calls_) <= most,
                   "few hosts read the store in calm times", [&] {
                     return std::to_string(calls_) + " calls, at most " +
                            std::to_string(most);
                   });
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  MonoTime now_ = MonoTime(seconds(1000));
  Host hosts_[kHosts];
  std::deque<Datagram> flying_;
  ConfigStore news_;
  MonoTime restored_at_;
  std::optional<MonoTime> restore_due_;
  ServerStore store_;
  std::uint64_t calls_ = 0;
  std::uint64_t forgotten_ = 0;
  std::uint64_t news_counted_ = 0;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  FeedWorld world(options, progress);
  for (std::uint64_t step = 0; step < options.steps; ++step)
    world.Step(step);
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"digests_not_compared", "echo_of_any_run", "gap_overlooked",
       "old_copy_believed", "older_registration_used",
       "readers_trusted_for_ever", "reads_cross_timelines",
       "restore_ends_evacuations", "rewritten_record_ignored",
       "short_read_confirms", "updates_cross_timelines",
       "unchanged_renewal_dropped"},
      mangoport::Run);
}
