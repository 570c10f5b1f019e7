#include "mangoport/edge/feed_service.h"

#include <algorithm>
#include <utility>

namespace mangoport {
namespace {

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

/// Hosts that start together spread their first calls over this time.
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
      config_{.name = "config",
              .track = FeedTracker({.patience = settings.config_patience})},
      servers_{.name = "servers",
               .track = FeedTracker({.interval = settings.servers_interval,
                                     .patience = settings.servers_patience})},
      hosts_{.name = "hosts", .track = FeedTracker({})},
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

void FeedService::Follow(Feed& feed, Step follow, Step read) {
  if (feed.in_flight)
    return;
  const Duration wait = feed.track.Wait(BootClock::now());
  if (wait > Duration::zero())
    StepAfter(feed, wait, follow);
  else
    (this->*read)();
}

void FeedService::FollowConfig() {
  Follow(config_, &FeedService::FollowConfig, &FeedService::ReadConfig);
}

void FeedService::FollowServers() {
  Follow(servers_, &FeedService::FollowServers, &FeedService::ReadServers);
}

void FeedService::SetReader(bool reader) {
  config_.track.set_reader(reader);
  servers_.track.set_reader(reader);
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
  const bool regular = config_.track.ReadsFeedDirectly(config_.sent_at);
  platform_.ReadConfig(config_.track.position(),
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
    config_.track.Restart();
    ReadConfig();
    return;
  }
  const FeedConfirmation proof{.sent_at = config_.sent_at,
                               .answered_at = BootClock::now()};
  config_.track.OnRead(proof, reply.value.next);
  if (reply.value.newest)
    ApplyConfig(std::move(*reply.value.newest), reply.value.next);
  key_evidence_.OnCurrentRead(proof.sent_at);
  // Before the first configuration there is nothing to wait behind.
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
  if (config_.track.ReadsFeedDirectly(BootClock::now()))
    hooks_.on_news();
}

void FeedService::ReadServers() {
  if (servers_.in_flight)
    return;
  timers_.Cancel(servers_.timer);
  servers_.in_flight = true;
  servers_.sent_at = BootClock::now();
  platform_.ReadServers(servers_.track.position(),
                        [this](const CallReply<ServerNews>& reply) {
                          if (!stopped_)
                            OnServers(reply);
                        });
}

void FeedService::OnServers(const CallReply<ServerNews>& reply) {
  const MonoTime now = Now();
  if (reply.status != CallStatus::kOk) {
    directory_.OnReadFailed(now);
    StepAfter(servers_, NoteFailure(servers_, reply.status, reply.error),
              &FeedService::FollowServers);
    return;
  }
  NoteSuccess(servers_);
  LogProblems(servers_, reply.value.problems);
  if (reply.value.history_lost) {
    servers_.track.Restart();
    ReadServers();
    return;
  }
  const BootTime answered_at = BootClock::now();
  const bool newest = servers_.track.OnRead(
      {.sent_at = servers_.sent_at, .answered_at = answered_at},
      reply.value.next);
  servers_read_ = true;
  if (newest) {
    ServerBatch applied{.next = reply.value.next, .changes = {}};
    ApplyServers(now, reply.value.changes, reply.value.whole, applied);
    const bool news = !applied.changes.empty();
    if (reply.value.whole)
      relay_.Restart(reply.value.next);
    else
      relay_.Add(now, std::move(applied));
    if (news && servers_.track.ReadsFeedDirectly(answered_at))
      hooks_.on_news();
  }
  FollowServers();
}

void FeedService::ApplyServers(MonoTime now,
                               const std::vector<ServerChange>& changes,
                               bool whole,
                               ServerBatch& applied) {
  std::vector<ServerId> removed;
  const auto note = [&](const ServerId& id, ServerChangeEffect effect) {
    if (effect == ServerChangeEffect::kRemoved)
      removed.push_back(id);
    const auto entry = directory_.servers().find(id);
    const bool gone = entry == directory_.servers().end();
    log_.Write(
        LogLine("server_list")
            .Add("server", id.value())
            .Add("change", EffectName(effect))
            .Add("position", applied.next)
            .Add("models", gone ? std::string() : ModelNames(entry->second)));
  };
  if (whole) {
    std::vector<ServerEntry> entries;
    for (const ServerChange& it : changes) {
      if (it.entry)
        entries.push_back(*it.entry);
    }
    bool any = false;
    directory_.Replace(now, entries,
                       [&](const ServerId& id, ServerChangeEffect effect) {
                         any = true;
                         note(id, effect);
                       });
    if (any)
      hooks_.on_servers(directory_.servers(), removed);
  } else {
    for (const ServerChange& it : changes) {
      const ServerChangeEffect effect = directory_.Apply(now, it);
      if (effect == ServerChangeEffect::kNone)
        continue;
      note(it.id, effect);
      applied.changes.push_back(it);
    }
    if (!applied.changes.empty())
      hooks_.on_servers(directory_.servers(), removed);
  }
  ExpireServers(now);
}

void FeedService::ExpireServers(MonoTime now) {
  const std::vector<ServerId> gone = directory_.Expire(now);
  for (const ServerId& it : gone)
    log_.Write(LogLine("server_list")
                   .Add("server", it.value())
                   .Add("change", "removed_after_grace"));
  if (!gone.empty())
    hooks_.on_servers(directory_.servers(), gone);
  timers_.Cancel(expiry_timer_);
  if (const auto next = directory_.NextExpiry())
    expiry_timer_ = timers_.Add(*next, [this](MonoTime due) {
      expiry_timer_ = TimerQueue::kNoTicket;
      if (!stopped_)
        ExpireServers(due);
    });
}

FeedWords FeedService::OwnWords(BootTime now) const {
  FeedWords out;
  if (version_)
    out.config = config_.track.MakeFeedUpdate(now, config_changed_at_);
  out.servers = servers_.track.MakeFeedUpdate(now, relay_.changed_at());
  return out;
}

FeedWords FeedService::OwnWordsSince(MonoTime now,
                                     BootTime boot_now,
                                     std::uint64_t position) {
  FeedWords out = OwnWords(boot_now);
  if (!out.servers)
    return out;
  out.batches = relay_.Since(now, position);
  out.servers->complete_from = relay_.complete_from();
  return out;
}

void FeedService::OnPeerWords(MonoTime now, const FeedWords& words) {
  if (stopped_)
    return;
  if (words.config)
    OnConfigWord(*words.config);
  if (words.servers)
    OnServersWord(now, words);
}

void FeedService::OnConfigWord(const FeedUpdate& word) {
  if (!version_)
    return;
  if (config_.track.OnFeedUpdate(word) == FeedUpdateCoverage::kCurrent) {
    if (word.proof)
      key_evidence_.OnCurrentRead(word.proof->sent_at);
    return;
  }
  config_.track.RequestImmediateRead();
  // While calls fail, the pauses between them hold.
  if (config_.backoff == Duration::zero())
    FollowConfig();
}

void FeedService::OnServersWord(MonoTime now, const FeedWords& words) {
  const FeedUpdate& word = *words.servers;
  // A word that does not reach back far enough proves nothing here. Another
  // reader's may, or this host reads for itself soon.
  if (servers_.track.Judge(word) == FeedUpdateCoverage::kBehind)
    return;
  for (const ServerBatch& it : words.batches) {
    if (it.next <= relay_.position() || it.next > word.position)
      continue;
    ServerBatch applied{.next = it.next, .changes = {}};
    ApplyServers(now, it.changes, /*whole=*/false, applied);
    relay_.Add(now, std::move(applied));
  }
  servers_.track.OnFeedUpdate(word);
  if (word.position > relay_.position())
    relay_.Add(now, {.next = word.position, .changes = {}});
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
  platform_.ReadHosts([this](const CallReply<std::vector<HostAddress>>& reply) {
    if (stopped_)
      return;
    if (reply.status != CallStatus::kOk) {
      StepAfter(hosts_, NoteFailure(hosts_, reply.status, reply.error),
                &FeedService::ReadHosts);
      return;
    }
    NoteSuccess(hosts_);
    hooks_.on_hosts(reply.value);
    StepAfter(hosts_, settings_.hosts_interval, &FeedService::ReadHosts);
  });
}

}  // namespace mangoport
