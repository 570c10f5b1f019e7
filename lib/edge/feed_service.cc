#include "mangoport/edge/feed_service.h"

#include <algorithm>
#include <utility>

namespace mangoport {
namespace {

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

/// Hosts delay their first announcement by a random time up to this, to spread
/// the load when many start together.
constexpr Duration kStartSpread = std::chrono::milliseconds(150);

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
      return "held_after_outage";
    case ServerChangeEffect::kRemovedAfterGrace:
      return "removed_after_grace";
  }
  return "none";
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
      config_track_({.patience = settings.config_patience}),
      server_feed_({.tracker = {.interval = settings.servers_interval,
                                .patience = settings.servers_patience},
                    .directory = {}}),
      random_(std::random_device{}()) {}

void FeedService::Start() {
  ReadConfig();
  ReadServers();
  const std::chrono::duration<double> spread(kStartSpread);
  std::uniform_real_distribution<> draw(0, 1);
  StepAfter(hosts_,
            std::chrono::duration_cast<Duration>(spread * draw(random_)),
            &FeedService::Announce);
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
  Follow(config_, config_track_.Wait(BootClock::now()),
         &FeedService::FollowConfig, &FeedService::ReadConfig);
}

void FeedService::FollowServers() {
  Follow(servers_, server_feed_.Wait(BootClock::now()),
         &FeedService::FollowServers, &FeedService::ReadServers);
}

void FeedService::SetReader(bool reader) {
  config_track_.set_reader(reader);
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

void FeedService::LogProblems(const Feed& feed,
                              const std::vector<std::string>& problems) {
  for (const std::string& it : problems)
    log_.Write(LogLine("record_passed_over")
                   .Add("feed", feed.name)
                   .Add("problem", it));
}

void FeedService::ReadConfig() {
  if (config_.in_flight)
    return;
  timers_.Cancel(config_.timer);
  config_.in_flight = true;
  config_.sent_at = BootClock::now();
  const bool regular = config_track_.ReadsFeedDirectly(config_.sent_at);
  platform_.ReadConfig(config_track_.position(),
                       regular ? settings_.config_wait : Duration::zero(),
                       [this](CallReply<ConfigNews> reply) {
                         if (!stopped_)
                           OnConfig(std::move(reply));
                       });
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
    config_track_.Restart();
    ReadConfig();
    return;
  }
  const FeedConfirmation proof{.sent_at = config_.sent_at,
                               .answered_at = BootClock::now()};
  config_track_.OnRead(proof, reply.value.next);
  if (reply.value.newest)
    ApplyConfig(std::move(*reply.value.newest), reply.value.next);
  key_evidence_.OnCurrentRead(proof.sent_at);
  // Without a configuration the host cannot serve, so it polls.
  if (!version_)
    StepAfter(config_, settings_.first_backoff, &FeedService::ReadConfig);
  else
    FollowConfig();
}

void FeedService::ApplyConfig(FleetConfig config, std::uint64_t next) {
  if (version_ && config.version <= *version_)
    return;
  version_ = config.version;
  config_changed_at_ = next;
  const auto view = std::make_shared<const FleetConfigView>(std::move(config));
  log_.Write(LogLine("config_applied")
                 .Add("version", view->version())
                 .Add("routes", view->config().routes.size())
                 .Add("services", view->config().services.size())
                 .Add("accounts", view->config().accounts.size()));
  hooks_.on_config(view);
  if (config_track_.ReadsFeedDirectly(BootClock::now()))
    hooks_.on_news();
}

void FeedService::ReadServers() {
  if (servers_.in_flight)
    return;
  timers_.Cancel(servers_.timer);
  servers_.in_flight = true;
  servers_.sent_at = BootClock::now();
  platform_.ReadServers(server_feed_.position(),
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
    server_feed_.OnHistoryLost();
    ReadServers();
    return;
  }
  OnServerOutcome(now, server_feed_.OnRead(now,
                                           {.sent_at = servers_.sent_at,
                                            .answered_at = BootClock::now()},
                                           reply.value));
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
    log_.Write(
        LogLine("server_list")
            .Add("server", it.id.value())
            .Add("change", EffectName(it.effect))
            .Add("position", it.position)
            .Add("models", gone ? std::string() : ModelNames(entry->second)));
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
  if (version_)
    out.config = config_track_.MakeFeedUpdate(now, config_changed_at_);
  out.servers = server_feed_.OwnUpdate(now);
  return out;
}

FeedUpdates FeedService::OwnUpdatesSince(MonoTime now,
                                         BootTime boot_now,
                                         std::uint64_t position) {
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
    OnConfigUpdate(*updates.config);
  if (updates.servers)
    OnServersUpdate(now, peer, *updates.servers);
}

void FeedService::OnConfigUpdate(const FeedUpdate& update) {
  if (!version_)
    return;
  if (config_track_.OnFeedUpdate(update) == FeedUpdateCoverage::kCurrent) {
    if (update.proof)
      key_evidence_.OnCurrentRead(update.proof->sent_at);
    return;
  }
  config_track_.RequestImmediateRead();
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
                 .Add("position", outcome.difference->position)
                 .Add("own_digest", outcome.difference->own_digest)
                 .Add("peer_digest", outcome.difference->peer_digest));
  hooks_.on_difference();
  // After a failure, the backoff timer triggers the next read.
  if (servers_.backoff == Duration::zero())
    FollowServers();
}

void FeedService::Announce() {
  platform_.AnnounceHost(self_, [this](const CallReply<bool>& reply) {
    if (stopped_)
      return;
    if (reply.status != CallStatus::kOk) {
      StepAfter(hosts_, NoteFailure(hosts_, reply.status, reply.error),
                &FeedService::Announce);
      return;
    }
    ReadHosts();
  });
}

void FeedService::ReadHosts() {
  platform_.ReadHosts([this](const CallReply<HostNews>& reply) {
    if (stopped_)
      return;
    if (reply.status != CallStatus::kOk) {
      StepAfter(hosts_, NoteFailure(hosts_, reply.status, reply.error),
                &FeedService::ReadHosts);
      return;
    }
    NoteSuccess(hosts_);
    LogProblems(hosts_, reply.value.problems);
    hooks_.on_hosts(reply.value.hosts);
    StepAfter(hosts_, settings_.hosts_interval, &FeedService::ReadHosts);
  });
}

}  // namespace mangoport
