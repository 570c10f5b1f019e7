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
      random_(std::random_device{}()) {}

void FeedService::Start() {
  ReadConfig();
  ReadServers();
  const std::chrono::duration<double> spread(kStartSpread);
  std::uniform_real_distribution<> draw(0, 1);
  After(std::chrono::duration_cast<Duration>(spread * draw(random_)),
        &FeedService::Announce);
}

void FeedService::After(Duration wait, void (FeedService::*step)()) {
  timers_.Add(Now() + wait, [this, step](MonoTime) {
    if (!stopped_)
      (this->*step)();
  });
}

Duration FeedService::NoteFailure(Feed& feed,
                                  CallStatus status,
                                  const std::string& error) {
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
  const BootTime sent = BootClock::now();
  platform_.ReadConfig(config_.position, settings_.config_wait,
                       [this, sent](CallReply<ConfigNews> reply) {
                         if (!stopped_)
                           OnConfig(sent, std::move(reply));
                       });
}

void FeedService::OnConfig(BootTime sent, CallReply<ConfigNews> reply) {
  if (reply.status != CallStatus::kOk) {
    After(NoteFailure(config_, reply.status, reply.error),
          &FeedService::ReadConfig);
    return;
  }
  NoteSuccess(config_);
  LogProblems(config_, reply.value.problems);
  if (reply.value.history_lost) {
    config_.position.reset();
    ReadConfig();
    return;
  }
  config_.position = reply.value.next;
  if (reply.value.newest &&
      (!version_ || reply.value.newest->version > *version_)) {
    version_ = reply.value.newest->version;
    const auto view =
        std::make_shared<const FleetConfigView>(std::move(*reply.value.newest));
    log_.Write(LogLine("config_applied")
                   .Add("version", view->version())
                   .Add("routes", view->config().routes.size())
                   .Add("services", view->config().services.size())
                   .Add("accounts", view->config().accounts.size()));
    hooks_.on_config(view);
  }
  key_evidence_.OnProof(sent);
  // Before the first configuration there is nothing to wait behind.
  if (!version_)
    After(settings_.first_backoff, &FeedService::ReadConfig);
  else
    ReadConfig();
}

void FeedService::ReadServers() {
  platform_.ReadServers(servers_.position, [this](CallReply<ServerNews> reply) {
    if (!stopped_)
      OnServers(std::move(reply));
  });
}

void FeedService::OnServers(CallReply<ServerNews> reply) {
  const MonoTime now = Now();
  if (reply.status != CallStatus::kOk) {
    directory_.OnReadFailed(now);
    After(NoteFailure(servers_, reply.status, reply.error),
          &FeedService::ReadServers);
    return;
  }
  NoteSuccess(servers_);
  LogProblems(servers_, reply.value.problems);
  if (reply.value.history_lost) {
    servers_.position.reset();
    ReadServers();
    return;
  }
  servers_.position = reply.value.next;
  servers_read_ = true;
  ApplyServers(now, reply.value);
  After(settings_.servers_interval, &FeedService::ReadServers);
}

void FeedService::ApplyServers(MonoTime now, const ServerNews& news) {
  std::vector<ServerId> removed;
  bool any = false;
  const auto note = [&](const ServerId& id, ServerChangeEffect effect) {
    any = true;
    if (effect == ServerChangeEffect::kRemoved)
      removed.push_back(id);
    const auto entry = directory_.servers().find(id);
    log_.Write(LogLine("server_list")
                   .Add("server", id.value())
                   .Add("change", EffectName(effect))
                   .Add("position", news.next)
                   .Add("models", entry == directory_.servers().end()
                                      ? std::string()
                                      : ModelNames(entry->second)));
  };
  if (news.whole) {
    std::vector<ServerEntry> entries;
    for (const ServerChange& it : news.changes) {
      if (it.entry)
        entries.push_back(*it.entry);
    }
    directory_.Replace(now, entries, note);
  } else {
    for (const ServerChange& it : news.changes) {
      const ServerChangeEffect effect = directory_.Apply(now, it);
      if (effect != ServerChangeEffect::kNone)
        note(it.id, effect);
    }
  }
  ExpireServers(now);
  if (any)
    hooks_.on_servers(directory_.servers(), removed);
}

void FeedService::ExpireServers(MonoTime now) {
  const std::vector<ServerId> gone = directory_.Expire(now);
  for (const ServerId& it : gone)
    log_.Write(LogLine("server_list")
                   .Add("server", it.value())
                   .Add("change", "removed_after_grace"));
  if (!gone.empty())
    hooks_.on_servers(directory_.servers(), gone);
}

void FeedService::Announce() {
  platform_.AnnounceHost(self_, [this](const CallReply<bool>& reply) {
    if (stopped_)
      return;
    if (reply.status != CallStatus::kOk) {
      After(NoteFailure(hosts_, reply.status, reply.error),
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
      After(NoteFailure(hosts_, reply.status, reply.error),
            &FeedService::ReadHosts);
      return;
    }
    NoteSuccess(hosts_);
    hooks_.on_hosts(reply.value);
    After(settings_.hosts_interval, &FeedService::ReadHosts);
  });
}

}  // namespace mangoport
