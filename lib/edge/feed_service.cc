#include "mangoport/edge/feed_service.h"

#include <algorithm>
#include <utility>

#include "lib/edge/feed_log.h"

namespace mangoport {
namespace {

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

/// Hosts delay their first announcement by a random time up to this, to spread
/// the load when many start together.
constexpr Duration kStartSpread = std::chrono::milliseconds(150);

/// A read that has brought no news this long after another host had it is
/// taken for lost with its connection.
constexpr Duration kOverdueAnswer = std::chrono::milliseconds(250);

std::string_view EffectName(ServerChangeEffect effect) {
  switch (effect) {
    case ServerChangeEffect::kNone:
      return "none";
    case ServerChangeEffect::kAdded:
      return "added";
    case ServerChangeEffect::kUpdated:
      return "updated";
    case ServerChangeEffect::kDraining:
      return "draining";
    case ServerChangeEffect::kRemoved:
      return "removed";
    case ServerChangeEffect::kHeld:
      return "held";
    case ServerChangeEffect::kRemovedAfterGrace:
      return "removed_after_grace";
    case ServerChangeEffect::kKeptDraining:
      return "kept_draining";
    case ServerChangeEffect::kDoubted:
      return "not_used_yet";
  }
  return "none";
}

/// A time within `spread` for this host.
Duration Draw(std::mt19937_64& random, Duration spread) {
  std::uniform_real_distribution<> draw(0, 1);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(spread) * draw(random));
}

/// "m1,m2+3" for two models, the second with three adapters.
std::string ModelNames(const ServerEntry& entry) {
  std::string out;
  for (const ResidentModel& it : entry.models) {
    if (!out.empty())
      out.push_back(',');
    out.append(it.model.value());
    if (!it.adapters.empty())
      out.append("+").append(std::to_string(it.adapters.size()));
  }
  return out;
}

/// Adds the parts of an entry whose change can affect work under way.
void AddWhatWorkDependsOn(const ServerEntry& entry, LogLine& line) {
  line.Add("service", entry.service.value())
      .Add("address", entry.address)
      .Add("started_at_ms", entry.started_at_ms)
      .Add("draining", entry.draining);
}

}  // namespace

FeedService::FeedService(FleetPlatform& platform,
                         TimerQueue& timers,
                         KeyEvidence& key_evidence,
                         DecisionLog& log,
                         HostAddress self,
                         const FeedSettings& settings,
                         FeedHooks hooks)
    : platform_(platform),
      timers_(timers),
      key_evidence_(key_evidence),
      log_(log),
      self_(std::move(self)),
      settings_(settings),
      hooks_(std::move(hooks)),
      config_{.name = "config"},
      servers_{.name = "servers"},
      hosts_{.name = "hosts"},
      random_(std::random_device{}()),
      config_feed_({.patience = settings.config_patience,
                    .restart_delay = Draw(random_, settings.restart_spread)}),
      server_feed_(
          {.tracker = {.interval = settings.servers_interval,
                       .patience = settings.servers_patience,
                       .restart_delay = Draw(random_, settings.restart_spread)},
           .directory = {}}) {}

void FeedService::Start() {
  ReadConfig();
  ReadServers();
  StepAfter(hosts_, Draw(random_, kStartSpread), &FeedService::Announce);
}

void FeedService::StepAfter(Feed& feed, Duration wait, Step step) {
  timers_.Cancel(feed.timer);
  feed.timer = timers_.Add(Now() + wait, [this, &feed, step](MonoTime) {
    feed.timer = TimerQueue::kNoTicket;
    if (!stopped_)
      (this->*step)();
  });
}

void FeedService::Follow(Feed& feed, Duration wait, Step follow, Step read) {
  if (feed.in_flight)
    return;
  if (wait > Duration::zero())
    StepAfter(feed, wait, follow);
  else
    (this->*read)();
}

void FeedService::FollowConfig() {
  Follow(config_, config_feed_.tracker().Wait(BootClock::now()),
         &FeedService::FollowConfig, &FeedService::ReadConfig);
}

void FeedService::FollowServers() {
  Follow(servers_, server_feed_.Wait(BootClock::now()),
         &FeedService::FollowServers, &FeedService::ReadServers);
}

void FeedService::SetReader(bool reader) {
  config_feed_.tracker().set_reader(reader);
  server_feed_.set_reader(reader);
  FollowConfig();
  FollowServers();
}

Duration FeedService::NoteFailure(Feed& feed,
                                  CallStatus status,
                                  const std::string& error) {
  feed.in_flight = false;
  if (!std::exchange(feed.lost, true))
    log_.Write(LogLine("dependency_lost")
                   .Add("name", feed.name)
                   .Add("status", CallStatusName(status))
                   .Add("error", error));
  feed.backoff = feed.backoff == Duration::zero()
                     ? settings_.first_backoff
                     : std::min(feed.backoff * 2, settings_.longest_backoff);
  std::uniform_real_distribution<> draw(0.75, 1.25);
  return std::chrono::duration_cast<Duration>(feed.backoff * draw(random_));
}

void FeedService::NoteSuccess(Feed& feed) {
  feed.in_flight = false;
  feed.backoff = Duration::zero();
  if (std::exchange(feed.lost, false))
    log_.Write(LogLine("dependency_regained").Add("name", feed.name));
}

void FeedService::OnStoreTimeline(StoreTimeline timeline,
                                  TimelineSource source) {
  if (stopped_)
    return;
  const BootTime now = BootClock::now();
  FeedTracker& tracker = config_feed_.tracker();
  if (const auto position = tracker.OnTimeline(now, timeline, source))
    LogRestart(config_, position, "store_restored");
  if (const auto position = server_feed_.OnTimeline(now, timeline, source))
    LogRestart(servers_, position, "store_restored");
  // After a failure, the backoff timer triggers the next read.
  if (config_.backoff == Duration::zero() && has_config())
    FollowConfig();
  if (servers_.backoff == Duration::zero() && has_servers())
    FollowServers();
}

void FeedService::ReadConfig() {
  if (config_.in_flight)
    return;
  timers_.Cancel(config_.timer);
  config_.in_flight = true;
  config_.sent_at = BootClock::now();
  // While the keys are not proven, callers are refused. The present state
  // proves them with one answer, also if much was missed.
  config_.asked = key_evidence_.HasLostStore(config_.sent_at)
                      ? std::nullopt
                      : config_feed_.ReadFrom();
  const Duration wait = ConfigWait(config_.sent_at);
  config_.held = wait > Duration::zero() && config_.asked;
  platform_.ReadConfig(
      config_.asked, wait,
      [this, read = ++config_.reads](CallReply<ConfigNews> reply) {
        if (!stopped_ && read == config_.reads)
          OnConfig(std::move(reply));
      });
}

void FeedService::ReplaceConfigRead() {
  if (!config_.in_flight)
    return;
  log_.Write(LogLine("feed_read_replaced")
                 .Add("feed", config_.name)
                 .Add("asked", PositionText(config_.asked))
                 .Add("age", BootClock::now() - config_.sent_at));
  config_.in_flight = false;
  config_.lost = true;
  ReadConfig();
}

Duration FeedService::ConfigWait(BootTime now) const {
  if (!config_feed_.tracker().ReadsFeedDirectly(now))
    return Duration::zero();
  // A call that is not held goes over a connection that other calls use too;
  // a new one for calls that are held may be what failed.
  if (config_.lost)
    return Duration::zero();
  // A call that is held proves the keys only as of its sending.
  return std::min(
      settings_.config_wait,
      key_evidence_.FirstProofDueIn(now).value_or(settings_.config_wait));
}

void FeedService::OnConfig(CallReply<ConfigNews> reply) {
  if (reply.status != CallStatus::kOk) {
    StepAfter(config_, NoteFailure(config_, reply.status, reply.error),
              &FeedService::FollowConfig);
    return;
  }
  NoteSuccess(config_);
  LogProblems(config_, reply.value.problems);
  if (reply.value.history_lost) {
    LogRestart(config_, config_.asked, "history_lost");
    config_feed_.tracker().Restart();
    ReadConfig();
    return;
  }
  LogShortRead(config_, reply.value.next, reply.value.log_end);
  const FeedTracker& tracker = config_feed_.tracker();
  const FeedPosition position = tracker.position();
  const BootTime now = BootClock::now();
  const ConfigReadOutcome outcome = config_feed_.OnRead(
      {.sent_at = config_.sent_at, .answered_at = now},
      {.next = reply.value.next,
       .whole = reply.value.whole,
       .log_end = reply.value.log_end,
       .version = reply.value.newest
                      ? std::optional(reply.value.newest->version)
                      : std::nullopt,
       .has_other_records = !reply.value.evacuations.empty()});
  if (outcome.use != FeedReadUse::kApply)
    LogDiscarded(config_, outcome.use, reply.value.next);
  if (outcome.use == FeedReadUse::kEarlierTimeline) {
    StepAfter(config_, settings_.first_backoff, &FeedService::FollowConfig);
    return;
  }
  if (outcome.use == FeedReadUse::kNoContinuation) {
    FollowConfig();
    return;
  }
  const EvacuationOutcome evacuations = evacuations_.OnRead(
      Now(), reply.value.next, reply.value.whole, reply.value.evacuations);
  OnEvacuations(evacuations, "store", reply.value.next);
  if (evacuations.changed() && tracker.ReadsFeedDirectly(now))
    hooks_.on_news();
  if (outcome.apply)
    ApplyConfig(std::move(*reply.value.newest));
  else if (reply.value.newest)
    log_.Write(LogLine("config_not_newer")
                   .Add("version", reply.value.newest->version)
                   .Add("applied", config_feed_.version().value_or(0))
                   .Add("position", ToString(reply.value.next)));
  if (const auto& confirmation = tracker.confirmation())
    key_evidence_.OnCurrentRead(confirmation->sent_at);
  // Without a configuration the host cannot serve, so it polls.
  if (!has_config())
    StepAfter(config_, settings_.first_backoff, &FeedService::ReadConfig);
  else if (tracker.is_behind() && tracker.position() == position)
    StepAfter(config_, settings_.first_backoff, &FeedService::FollowConfig);
  else
    FollowConfig();
}

void FeedService::ApplyConfig(FleetConfig config) {
  const auto view = std::make_shared<const FleetConfigView>(std::move(config));
  log_.Write(LogLine("config_applied")
                 .Add("version", view->version())
                 .Add("routes", view->config().routes.size())
                 .Add("services", view->config().services.size())
                 .Add("accounts", view->config().accounts.size()));
  hooks_.on_config(view);
  if (config_feed_.tracker().ReadsFeedDirectly(BootClock::now()))
    hooks_.on_news();
}

void FeedService::ReadServers() {
  if (servers_.in_flight)
    return;
  timers_.Cancel(servers_.timer);
  servers_.in_flight = true;
  servers_.sent_at = BootClock::now();
  servers_.asked = server_feed_.position();
  platform_.ReadServers(servers_.asked,
                        [this](const CallReply<ServerNews>& reply) {
                          if (!stopped_)
                            OnServers(reply);
                        });
}

void FeedService::OnServers(const CallReply<ServerNews>& reply) {
  const MonoTime now = Now();
  if (reply.status != CallStatus::kOk) {
    server_feed_.OnReadFailed(now);
    StepAfter(servers_, NoteFailure(servers_, reply.status, reply.error),
              &FeedService::FollowServers);
    return;
  }
  NoteSuccess(servers_);
  LogProblems(servers_, reply.value.problems);
  if (reply.value.history_lost) {
    LogRestart(servers_, servers_.asked, "history_lost");
    server_feed_.OnHistoryLost();
    ReadServers();
    return;
  }
  LogShortRead(servers_, reply.value.next, reply.value.log_end);
  const FeedPosition position = server_feed_.position();
  const ServerFeedOutcome outcome = server_feed_.OnRead(
      now, {.sent_at = servers_.sent_at, .answered_at = BootClock::now()},
      reply.value);
  if (outcome.read_use != FeedReadUse::kApply)
    LogDiscarded(servers_, outcome.read_use, reply.value.next);
  OnServerOutcome(now, outcome);
  const bool stalled =
      server_feed_.is_behind() && server_feed_.position() == position;
  if (stalled || outcome.read_use == FeedReadUse::kEarlierTimeline)
    StepAfter(servers_, settings_.first_backoff, &FeedService::FollowServers);
  else
    FollowServers();
}

void FeedService::OnServerOutcome(MonoTime now,
                                  const ServerFeedOutcome& outcome) {
  std::vector<ServerId> removed;
  for (const ServerFeedOutcome::Effect& it : outcome.effects) {
    if (it.effect == ServerChangeEffect::kRemoved ||
        it.effect == ServerChangeEffect::kRemovedAfterGrace)
      removed.push_back(it.id);
    const auto entry = server_feed_.servers().find(it.id);
    const bool gone = entry == server_feed_.servers().end();
    LogLine line("server_list");
    line.Add("server", it.id.value())
        .Add("change", EffectName(it.effect))
        .Add("position", ToString(it.position))
        .Add("models", gone ? std::string() : ModelNames(entry->second));
    if (!gone)
      AddWhatWorkDependsOn(entry->second, line);
    log_.Write(line);
  }
  if (!outcome.effects.empty())
    hooks_.on_servers(server_feed_.servers(), removed);
  if (outcome.news)
    hooks_.on_news();
  timers_.Cancel(expiry_timer_);
  if (const auto next = server_feed_.NextExpiry())
    expiry_timer_ = timers_.Add(std::max(*next, now), [this](MonoTime due) {
      expiry_timer_ = TimerQueue::kNoTicket;
      if (!stopped_)
        ExpireServers(due);
    });
}

void FeedService::ExpireServers(MonoTime now) {
  OnServerOutcome(now, server_feed_.Expire(now));
}

FeedUpdates FeedService::OwnUpdates(BootTime now) const {
  FeedUpdates out;
  out.config = config_feed_.OwnUpdate(now);
  if (out.config)
    out.evacuated_zones = evacuations_.stated_zones();
  out.servers = server_feed_.OwnUpdate(now);
  return out;
}

FeedUpdates FeedService::OwnUpdatesSince(MonoTime now,
                                         BootTime boot_now,
                                         const StorePosition& position) {
  FeedUpdates out = OwnUpdates(boot_now);
  out.servers = server_feed_.OwnUpdateSince(now, boot_now, position);
  return out;
}

void FeedService::OnPeerUpdates(MonoTime now,
                                const HostId& peer,
                                const FeedUpdates& updates) {
  if (stopped_)
    return;
  if (updates.config)
    NoteProof(now, *updates.config);
  if (updates.servers)
    NoteProof(now, updates.servers->feed);
  OnPeerEvacuations(now, peer, updates);
  if (updates.config)
    OnConfigUpdate(*updates.config);
  if (updates.servers)
    OnServersUpdate(now, peer, *updates.servers);
}

void FeedService::NoteProof(MonoTime now, const FeedUpdate& update) {
  if (!update.proof)
    return;
  const Duration age = BootClock::now() - update.proof->answered_at;
  server_feed_.OnStoreAnswered(now - age);
}

void FeedService::OnConfigUpdate(const FeedUpdate& update) {
  if (!has_config())
    return;
  FeedTracker& tracker = config_feed_.tracker();
  const FeedUpdateCoverage coverage = tracker.OnFeedUpdate(update);
  if (coverage == FeedUpdateCoverage::kOutdated)
    return;
  if (coverage == FeedUpdateCoverage::kCurrent) {
    if (update.proof)
      key_evidence_.OnCurrentRead(update.proof->sent_at);
    return;
  }
  if (tracker.RequestImmediateRead())
    log_.Write(LogLine("feed_behind")
                   .Add("feed", config_.name)
                   .Add("position", PositionText(tracker.position()))
                   .Add("peer_position", ToString(update.position))
                   .Add("complete_from", update.complete_from));
  // The store answers a held read at once if there is news.
  if (config_.in_flight && config_.held &&
      config_.timer == TimerQueue::kNoTicket)
    StepAfter(config_, kOverdueAnswer, &FeedService::ReplaceConfigRead);
  // After a failure, the backoff timer triggers the next read.
  if (config_.backoff == Duration::zero())
    FollowConfig();
}

void FeedService::OnServersUpdate(MonoTime now,
                                  const HostId& peer,
                                  const ServerFeedUpdate& update) {
  const ServerFeedOutcome outcome = server_feed_.OnPeerUpdate(now, update);
  OnServerOutcome(now, outcome);
  if (!outcome.difference)
    return;
  log_.Write(LogLine("server_list_differs")
                 .Add("peer", peer.value())
                 .Add("position", ToString(outcome.difference->position))
                 .Add("own_digest", outcome.difference->own_digest)
                 .Add("peer_digest", outcome.difference->peer_digest));
  hooks_.on_difference();
  // After a failure, the backoff timer triggers the next read.
  if (servers_.backoff == Duration::zero())
    FollowServers();
}

}  // namespace mangoport
