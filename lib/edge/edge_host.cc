#include "mangoport/edge/edge_host.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include "mangoport/edge/stop_policy.h"

namespace mangoport {
namespace {

constexpr Duration kLogFlushInterval = std::chrono::milliseconds(250);

/// A host is not ready if its configuration was last compared with the store's
/// longer ago. Key evidence may be older after a restore of the store, on all
/// hosts alike.
constexpr Duration kReadyContactAge = std::chrono::milliseconds(3200);

/// The platform and a few operators ask for readiness and metrics.
constexpr std::size_t kMaxStatusConnections = 64;

/// Maximum random delay before a claim, so that hosts do not all claim at once.
constexpr int kClaimSpreadMs = 500;

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

Duration DrawClaimDelay() {
  std::random_device random;
  return std::chrono::milliseconds(random() % kClaimSpreadMs);
}

std::size_t MachineBytes(const EdgeSettings& settings) {
  constexpr std::size_t kMb = std::size_t{1024} * 1024;
  if (settings.machine_memory_mb)
    return *settings.machine_memory_mb * kMb;
  return static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Returns how many descriptors this process may have.
std::size_t DescriptorLimit() {
  rlimit limit{};
  // Cannot fail with these arguments.
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(limit.rlim_cur);
}

OrderLeaseSettings LeaseSettingsFor(const EdgeBounds& bounds) {
  constexpr Duration kSettleMargin = std::chrono::milliseconds(300);
  OrderLeaseSettings out;
  out.settle = bounds.order_lease + kSettleMargin;
  return out;
}

Duration KeyMaxAge(const EdgeBounds& bounds) {
  return bounds.fail_closed ? bounds.key_withdrawal : std::chrono::hours(24);
}

FeedSettings FeedSettingsFor(const EdgeBounds& bounds) {
  // The rest of the bound is for the host's own read and for applying it.
  constexpr int kParts = 4;
  constexpr int kPatientParts = 3;
  // The news of a restored store takes up to a reader's read and a datagram,
  // half of the bound.
  constexpr int kRestartParts = 5;
  FeedSettings out;
  out.restart_spread =
      std::min(bounds.config_apply, bounds.server_drain) / kRestartParts;
  out.config_patience = bounds.config_apply / kParts * kPatientParts;
  out.servers_patience = bounds.server_drain / kParts * kPatientParts;
  return out;
}

}  // namespace

EdgeHost::EdgeHost(const EdgeSettings& settings,
                   ForwardDialect dialect,
                   const PlatformFactory& make_platform,
                   SettingsReader read_settings)
    : settings_(settings),
      dialect_(std::move(dialect)),
      read_settings_(std::move(read_settings)),
      caller_memory_(CallerMemoryBound(MachineBytes(settings_))),
      timers_(io_),
      pool_(io_, timers_),
      caller_(pool_, timers_),
      platform_(make_platform(caller_, settings_, metrics_)),
      key_evidence_(KeyMaxAge(settings_.bounds)),
      backends_(settings_.zone,
                {.zone_crossing_cost = settings_.zone_crossing_cost}),
      forwarder_({.io = io_,
                  .timers = timers_,
                  .pool = pool_,
                  .backends = backends_,
                  .quota = quota_,
                  .key_evidence = key_evidence_,
                  .metrics = metrics_,
                  .log = log_},
                 dialect_,
                 {.ratio = settings_.bounds.repeat_ratio,
                  .extra = settings_.bounds.repeat_extra}),
      soft_state_(
          io_,
          timers_,
          log_,
          settings_.host,
          settings_.zone,
          settings_.peers,
          {.fill_feeds =
               [this](MonoTime now,
                      const PeerHost& peer,
                      wire::HostState& message) {
                 FillFeeds(now, peer, message);
               },
           .fill_changes =
               [this](MonoTime now,
                      const PeerHost& /*peer*/,
                      wire::HostState& message) { FillChanges(now, message); },
           .fill =
               [this](MonoTime now,
                      const PeerHost& peer,
                      wire::HostState& message) {
                 FillState(now, peer, message);
               },
           .on_state =
               [this](MonoTime now,
                      std::optional<BootTime> sent_after,
                      const wire::HostState& message) {
                 OnPeerState(now, sent_after, message);
               },
           .on_reader = [this](bool reader) { feeds_.SetReader(reader); }}),
      feeds_(*platform_,
             timers_,
             key_evidence_,
             log_,
             {.host = settings_.host, .address = ToString(settings_.peers)},
             FeedSettingsFor(settings_.bounds),
             MakeFeedHooks()),
      orders_({.platform = *platform_,
               .timers = timers_,
               .metrics = metrics_,
               .log = log_},
              settings_.host,
              soft_state_.incarnation(),
              LeaseSettingsFor(settings_.bounds),
              DrawClaimDelay()),
      signals_(io_, SIGTERM, SIGINT, SIGHUP) {
  platform_->set_on_answer(
      [this](const StoreAnswer& answer) { OnStoreAnswer(answer); });
  quota_.AwaitHostList();
  caller_.set_on_head([this](const std::string& peer, const HttpHead& head) {
    forwarder_.NoteServerSignals(Now(), backends_.StartOf(ServerId(peer)),
                                 head);
  });
  backends_.set_on_leaving(
      [this](const ServerId& server) { OnServerLeaving(server); });
  forwarder_.set_on_loss([this] { soft_state_.SendChangesSoon(); });
  forwarder_.crash_suspects().set_turn([this] { return ProbeTurn(); });
  forwarder_.part_suspects().set_turn([this] { return ProbeTurn(); });
  forwarder_.set_on_missing([this] { SendToHolder(); });
  orders_.set_own_uses([this] { return forwarder_.ModelUses(); });
  orders_.set_on_changes([this] { SendChanges(); });
  orders_.set_on_role([this](bool holds) {
    soft_state_.SetHoldsOrders(holds);
    // Hosts report demand to a holder that they know.
    if (holds)
      soft_state_.SendChangesSoon();
  });
}

EdgeHost::~EdgeHost() = default;

FeedHooks EdgeHost::MakeFeedHooks() {
  return {.on_config =
              [this](FleetConfigPtr config) {
                const MonoTime now = Now();
                key_evidence_.OnConfigVersion(config->version());
                forwarder_.SetConfig(now, config);
                backends_.SetColdStarts(config->config().services);
                for (const auto& it : CallerSessions())
                  it->SetLimits(now, config->config().limits);
                orders_.SetConfig(std::move(config));
              },
          .on_evacuations =
              [this](const std::set<ZoneId>& zones,
                     const std::vector<ZoneId>& ended) {
                metrics_.SetEvacuatedZones(zones.size());
                backends_.SetEvacuatedZones(Now(), zones, ended);
                orders_.SetServers(backends_.servers());
              },
          .on_servers =
              [this](const std::map<ServerId, ServerEntry>& servers,
                     const std::vector<ServerId>& removed) {
                backends_.SetServers(Now(), servers);
                orders_.SetServers(backends_.servers());
                for (const ServerId& it : removed)
                  pool_.Forget(it.value());
              },
          .on_hosts =
              [this](const std::vector<HostAddress>& hosts) {
                soft_state_.OnHosts(hosts);
                UpdateZoneHosts(Now());
                quota_.OnListed(Now(), hosts.size());
              },
          .on_news = [this] { soft_state_.SendFeedsSoon(); },
          .on_short_read = [this] { metrics_.OnShortFeedRead(); },
          .on_difference = [this] { metrics_.OnListingDifference(); }};
}

void EdgeHost::OnServerLeaving(const ServerId& server) {
  log_.Write(LogLine("server_leaving").Add("server", server.value()));
  orders_.SetServers(backends_.servers());
  pool_.Forget(server.value());
}

void EdgeHost::OnStoreAnswer(const StoreAnswer& answer) {
  if (answer.available)
    feeds_.OnStoreAnswered(Now());
  if (!answer.timeline)
    return;
  OnTimelineAge(*answer.timeline, BootClock::now());
  OnStoreTimeline(*answer.timeline, TimelineSource::kStore, "store");
}

void EdgeHost::OnStoreTimeline(StoreTimeline timeline,
                               TimelineSource source,
                               std::string_view source_name) {
  if (store_timeline_ && timeline <= *store_timeline_)
    return;
  log_.Write(LogLine("store_timeline")
                 .Add("timeline", timeline)
                 .Add("earlier", store_timeline_.value_or(0))
                 .Add("source", source_name));
  store_timeline_ = timeline;
  feeds_.OnStoreTimeline(timeline, source);
}

void EdgeHost::OnTimelineAge(StoreTimeline timeline, BootTime known_since) {
  feeds_.CheckAnnouncement(timeline);
  if (!timeline_age_.Note(timeline, known_since))
    return;
  orders_.OnStoreTimeline(timeline, known_since);
  key_evidence_.OnTimeline(timeline, known_since);
}

void EdgeHost::Run() {
  log_.Write(LogLine("start")
                 .Add("host", settings_.host.value())
                 .Add("zone", settings_.zone.value())
                 .Add("callers", ToString(settings_.callers))
                 .Add("store", ToString(settings_.store))
                 .Add("incarnation", soft_state_.incarnation()));
  const std::size_t max_callers = MaxCallerConnections(DescriptorLimit());
  log_.Write(LogLine("caller_connections").Add("max", max_callers));
  callers_ = Listen(settings_.callers, max_callers,
                    [this](const std::shared_ptr<ClientSession>& session,
                           HttpRequest request) {
                      metrics_.SetActive(forwarder_.active() + 1);
                      forwarder_.OnRequest(session, std::move(request));
                    });
  const auto status = [this](const std::shared_ptr<ClientSession>& session,
                             const HttpRequest& request) {
    AnswerStatus(session, request);
  };
  status_listeners_.push_back(
      Listen(settings_.readiness, kMaxStatusConnections, status));
  if (settings_.metrics)
    status_listeners_.push_back(
        Listen(*settings_.metrics, kMaxStatusConnections, status));
  soft_state_.Start();
  feeds_.Start();
  orders_.Start();
  WaitForSignals();
  FlushLogLater(Now());
  io_.run();
  log_.Write(LogLine("stop").Add("host", settings_.host.value()));
  log_.Flush();
}

std::vector<std::shared_ptr<ClientSession>> EdgeHost::CallerSessions() const {
  if (!callers_)
    return {};
  return callers_->sessions();
}

std::unique_ptr<Listener> EdgeHost::Listen(const Endpoint& endpoint,
                                           std::size_t max_connections,
                                           RequestHandler on_request) {
  ListenerHooks hooks{
      .make_session =
          [this, on_request = std::move(on_request)](
              TcpStream::Ptr stream, ClientSessionHooks session_hooks) {
            return MakeSession(std::move(stream), on_request,
                               std::move(session_hooks));
          },
      .on_given_up =
          [this](bool is_new) {
            metrics_.OnConnectionGivenUp();
            if (is_new)
              log_.Write(LogLine("connection_refused")
                             .Add("reason", "all connections are busy"));
          },
      .on_accept_error =
          [this](const asio::error_code& ec) {
            metrics_.OnAcceptError();
            log_.Write(LogLine("accept_failed").Add("error", ec.message()));
          }};
  auto out = std::make_unique<Listener>(io_, timers_, endpoint, max_connections,
                                        std::move(hooks));
  out->Start();
  return out;
}

std::shared_ptr<ClientSession> EdgeHost::MakeSession(TcpStream::Ptr stream,
                                                     RequestHandler on_request,
                                                     ClientSessionHooks hooks) {
  hooks.on_request = std::move(on_request);
  hooks.on_refused = [this](int status, std::string_view reason) {
    metrics_.OnRefusal("unreadable");
    log_.Write(LogLine("request_unreadable")
                   .Add("status", status)
                   .Add("reason", reason));
  };
  hooks.on_dropped = [this](std::string_view reason, const HttpHead& head,
                            std::size_t bytes) {
    log_.Write(LogLine("connection_dropped")
                   .Add("id", FieldText(head.fields, dialect_.request_id))
                   .Add("reason", reason)
                   .Add("bytes", bytes)
                   .Add("stopping", stopping_));
  };
  const IngressLimits limits = forwarder_.config()
                                   ? forwarder_.config()->config().limits
                                   : IngressLimits();
  auto out = std::make_shared<ClientSession>(
      std::move(stream), timers_, caller_memory_, limits, std::move(hooks));
  if (stopping_)
    out->Drain();
  return out;
}

bool EdgeHost::IsReady() const {
  if (stopping_ || !feeds_.has_config() || !feeds_.has_servers() ||
      !callers_->Accepts(Now()))
    return false;
  const BootTime now = BootClock::now();
  if (!key_evidence_.Age(now))
    return false;
  return !settings_.bounds.fail_closed ||
         *key_evidence_.ContactAge(now) < kReadyContactAge;
}

void EdgeHost::AnswerStatus(const std::shared_ptr<ClientSession>& session,
                            const HttpRequest& request) {
  if (request.head.target == dialect_.ready_path) {
    session->Answer({.status = IsReady() ? 200 : 503});
    return;
  }
  if (request.head.target == "/metrics") {
    session->Answer({.status = 200,
                     .content_type = "text/plain; version=0.0.4",
                     .body = metrics_.Serialize()});
    return;
  }
  session->Answer({.status = 404});
}

void EdgeHost::FlushLogLater(MonoTime now) {
  timers_.Add(now + kLogFlushInterval, [this](MonoTime due) {
    log_.Flush();
    caller_memory_.Enforce();
    metrics_.SetCallerMemory(caller_memory_.bytes(), caller_memory_.given_up());
    FlushLogLater(due);
  });
}

void EdgeHost::WaitForSignals() {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec)
      return;
    OnSignal(signal);
    WaitForSignals();
  });
}

void EdgeHost::OnSignal(int signal) {
  if (signal == SIGHUP) {
    Reload();
    return;
  }
  if (!stopping_)
    BeginStop(Now());
}

void EdgeHost::Reload() {
  const std::optional<EdgeSettings> settings = read_settings_();
  log_.Write(LogLine("reload").Add("usable", settings.has_value()));
  if (!settings)
    return;
  // Addresses cannot change at run time; only the bounds are reloaded.
  settings_.bounds = settings->bounds;
  key_evidence_.set_max_age(KeyMaxAge(settings_.bounds));
}

void EdgeHost::BeginStop(MonoTime now) {
  stopping_ = true;
  stop_began_ = now;
  log_.Write(LogLine("stopping")
                 .Add("active", forwarder_.active())
                 .Add("connections", callers_->size()));
  log_.Flush();
  for (const auto& it : CallerSessions())
    it->Drain();
  soft_state_.AnnounceLeaving();
  orders_.Release([this] { released_ = true; });
  ContinueStop(now);
}

void EdgeHost::ContinueStop(MonoTime now) {
  const StopDecision decision =
      DecideStop({.passed = now - stop_began_,
                  .grace = settings_.bounds.stop_grace,
                  .active_requests = forwarder_.active(),
                  .connections = callers_->size(),
                  .lease_released = released_});
  if (decision.refuse_new)
    forwarder_.RefuseNew(
        now, stop_began_ + AnswersEndAfter(settings_.bounds.stop_grace));
  if (decision.close_idle) {
    for (const auto& it : CallerSessions())
      it->CloseIfIdle();
  }
  if (decision.finish) {
    forwarder_.EndAll(now);
    feeds_.Stop();
    io_.stop();
    return;
  }
  timers_.Add(stop_began_ + decision.next,
              [this](MonoTime due) { ContinueStop(due); });
}

}  // namespace mangoport
