// The datagrams between edge hosts: what a host sends and how it processes what
// it receives.
#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "lib/edge/crash_wire.h"
#include "lib/edge/feed_wire.h"
#include "mangoport/edge/edge_host.h"

namespace mangoport {
namespace {

constexpr double kPerMille = 1000;

constexpr Duration kHolderLifetime = std::chrono::seconds(2);

/// The holder is suspected after this time without a datagram from it. Readers
/// receive one every few hundred ms, other hosts one per round.
constexpr Duration kHolderSuspicionTimeout = std::chrono::milliseconds(1000);
constexpr int kSilentRounds = 3;

/// The load reported by a host counts for this time, and for at least
/// `kSilentRounds` rounds, after its last datagram.
constexpr Duration kPeerLoadLifetime = std::chrono::seconds(4);

/// Hosts check this often which hosts their zone has.
constexpr Duration kZoneHostsInterval = std::chrono::seconds(1);
/// After its start, or after it has forgotten a host, a host takes this long,
/// and at least `kSilentRounds` rounds, to hear of all others.
constexpr Duration kZoneHostsSettleTime = std::chrono::seconds(3);

/// Longer ages of a timeline make no difference.
constexpr std::uint64_t kMaxTimelineAgeMs = 3'600'000;

std::uint64_t Milliseconds(Duration time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

ModelUse FromWire(const wire::ModelDemandNote& note) {
  return {.model = ModelId(note.model()),
          .arrivals = note.arrivals(),
          .running = note.running(),
          .waiting = note.waiting(),
          .work = std::chrono::milliseconds(note.work_ms())};
}

void ToWire(const ModelUse& use, wire::ModelDemandNote& note) {
  note.set_model(use.model.value());
  note.set_arrivals(use.arrivals);
  note.set_running(use.running);
  note.set_waiting(use.waiting);
  note.set_work_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(use.work).count()));
}

}  // namespace

void EdgeHost::FillFeeds(MonoTime now,
                         const PeerHost& peer,
                         wire::HostState& message) {
  const BootTime boot_now = BootClock::now();
  message.set_servers_timeline(feeds_.servers_position().timeline);
  message.set_servers_position(feeds_.servers_position().offset);
  message.set_store_timeline(store_timeline_.value_or(0));
  message.set_store_timeline_age_ms(
      Milliseconds(boot_now - timeline_age_.known_since));
  if (const FleetConfigPtr& config = forwarder_.config())
    message.set_config_version(config->version());
  // Each zone has a reader, so changes are not sent across zones.
  if (peer.zone == settings_.zone)
    WriteFeeds(boot_now,
               feeds_.OwnUpdatesSince(now, boot_now, peer.servers_position),
               message);
  else
    WriteFeeds(boot_now, feeds_.OwnUpdates(boot_now), message);
}

void EdgeHost::FillState(MonoTime now,
                         const PeerHost& peer,
                         wire::HostState& message) {
  for (const AccountUsage& it : quota_.OwnUsage()) {
    wire::AccountSpending& spending = *message.add_spendings();
    spending.set_account(it.account.value());
    spending.set_total(it.total);
  }
  for (const ServerLoad& it : backends_.OwnLoads(now)) {
    wire::BackendLoad& load = *message.add_loads();
    load.set_server(it.server.value());
    load.set_running(it.running);
    load.set_work_per_mille(
        static_cast<std::uint32_t>(std::lround(it.work * kPerMille)));
    load.set_silent_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(it.silent)
            .count()));
  }
  for (const ServerId& it : backends_.SaidLeaving())
    message.add_leaving_servers(it.value());
  // Until its last order has arrived, the host does not say that it resigned.
  const Duration last_order_age = orders_.last_order_age();
  if (orders_.resigned_term() != 0 && orders_.held_term() == 0 &&
      last_order_age >= Duration::zero()) {
    message.set_resigned_term(orders_.resigned_term());
    message.set_last_order_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(last_order_age)
            .count()));
  }
  if (holder_ && *holder_ == peer.host) {
    for (const ModelUse& it : forwarder_.ModelUses())
      ToWire(it, *message.add_demands());
  }
}

void EdgeHost::FillChanges(MonoTime now, wire::HostState& message) {
  WriteRequests(now, forwarder_.crash_suspects(), message);
  WriteParts(now, forwarder_.part_suspects(), message);
  const std::uint64_t term = orders_.held_term();
  if (term == 0)
    return;
  message.set_order_term(term);
  for (const EngineOrderTracker::ResidencyUpdate& it : orders_.Changes(now)) {
    wire::ResidencyNote& note = *message.add_residencies();
    note.set_server(it.engine.value());
    note.set_model(it.item.value());
    note.set_orders_accepted(it.orders_accepted);
    note.set_gone(it.gone);
  }
}

void EdgeHost::OnPeerState(MonoTime now,
                           std::optional<BootTime> sent_after,
                           const wire::HostState& message) {
  const std::chrono::milliseconds timeline_age(
      std::min(message.store_timeline_age_ms(), kMaxTimelineAgeMs));
  OnTimelineAge(message.store_timeline(), BootClock::now() - timeline_age);
  key_evidence_.OnPeerConfigVersion(message.config_version());
  if (message.store_timeline() != 0)
    OnStoreTimeline(message.store_timeline(), TimelineSource::kPeer,
                    message.host());
  if (!message.leaving())
    feeds_.OnPeerUpdates(now, HostId(message.host()),
                         ReadFeeds(sent_after, message));
  if (message.order_term() != 0 && !message.leaving())
    OnHolderState(now, message);
  for (const wire::CrashSuspicionNote& it : message.suspicions())
    OnSuspicion(now, it);
  if (!message.feeds_only())
    OnPeerFullState(now, message);
}

void EdgeHost::OnSuspicion(MonoTime now, const wire::CrashSuspicionNote& note) {
  if (note.part() != 0) {
    ReadPart(now, note, forwarder_.part_suspects());
    return;
  }
  ReadRequest(now, note, forwarder_.crash_suspects());
}

void EdgeHost::OnHolderState(MonoTime now, const wire::HostState& message) {
  const HostId host(message.host());
  holder_ = host;
  holder_heard_at_ = now;
  orders_.OnHolderUpdate(host, message.order_term());
  SendNoticeIfDue(now);
  for (const wire::ResidencyNote& it : message.residencies())
    backends_.NoteResidency(now, {.server = ServerId(it.server()),
                                  .item = ModelId(it.model()),
                                  .orders_accepted = it.orders_accepted(),
                                  .gone = it.gone()});
}

void EdgeHost::OnPeerFullState(MonoTime now, const wire::HostState& message) {
  const HostId host(message.host());
  PeerUsage spending{.host = host,
                     .incarnation = message.incarnation(),
                     .leaving = message.leaving()};
  for (const wire::AccountSpending& it : message.spendings())
    spending.uses.push_back(
        {.account = AccountId(it.account()), .total = it.total()});
  UpdateZoneHosts(now);
  quota_.OnPeerUsage(now, spending);
  forwarder_.SetHostCount(now, quota_.host_count());
  AdaptToFleetSize();
  std::vector<ServerLoad> loads;
  for (const wire::BackendLoad& it : message.loads())
    loads.push_back({.server = ServerId(it.server()),
                     .running = it.running(),
                     .silent = std::chrono::milliseconds(it.silent_ms()),
                     .work = it.work_per_mille() / kPerMille});
  backends_.SetPeerLoads(now, host, loads);
  NotePeerLeavingServers(now, message);
  if (message.leaving())
    return;
  if (message.resigned_term() != 0)
    orders_.OnHolderResigned(
        host, message.resigned_term(),
        std::chrono::milliseconds(message.last_order_age_ms()));
  std::vector<ModelUse> uses;
  for (const wire::ModelDemandNote& it : message.demands())
    uses.push_back(FromWire(it));
  orders_.OnPeerDemand(now, host, message.incarnation(), uses);
}

void EdgeHost::NotePeerLeavingServers(MonoTime now,
                                      const wire::HostState& message) {
  // The ids mean the starts in the sender's list. If that is older than this
  // host's, a server may have started again since.
  const StorePosition position{.timeline = message.servers_timeline(),
                               .offset = message.servers_position()};
  if (position < feeds_.servers_position())
    return;
  for (const std::string& it : message.leaving_servers())
    backends_.NoteSignals(now, backends_.StartOf(ServerId(it)),
                          {.leaving = true});
}

void EdgeHost::AdaptToFleetSize() {
  const Duration round = soft_state_.peers().RoundDuration();
  quota_.set_update_round(round);
  orders_.SetUpdateRound(round);
  backends_.set_peer_load_lifetime(
      std::max(kPeerLoadLifetime, round * kSilentRounds));
  orders_.SetSuspicionTimeout(
      soft_state_.is_reader()
          ? kHolderSuspicionTimeout
          : std::max(kHolderSuspicionTimeout, round * kSilentRounds));
  holder_lifetime_ = std::max(kHolderLifetime, round * kSilentRounds);
}

void EdgeHost::UpdateZoneHosts(MonoTime now) {
  if (now - zone_hosts_updated_at_ < kZoneHostsInterval)
    return;
  zone_hosts_updated_at_ = now;
  std::vector<HostId> hosts = {settings_.host};
  for (const auto& [id, peer] : soft_state_.peers().peers()) {
    if (peer.zone == settings_.zone)
      hosts.push_back(id);
  }
  std::sort(hosts.begin(), hosts.end());
  if (hosts == zone_hosts_)
    return;
  if (zone_hosts_.empty() ||
      !std::includes(hosts.begin(), hosts.end(), zone_hosts_.begin(),
                     zone_hosts_.end()))
    zone_hosts_whole_since_ = now;
  zone_hosts_ = hosts;
  const Duration settle =
      std::max(kZoneHostsSettleTime,
               soft_state_.peers().RoundDuration() * kSilentRounds);
  backends_.SetZoneHosts(now, settings_.host, std::move(hosts),
                         zone_hosts_whole_since_ + settle);
}

void EdgeHost::SendToHolder() {
  holder_notice_.OnDemand();
  SendNoticeIfDue(Now());
}

void EdgeHost::SendNoticeIfDue(MonoTime now) {
  const bool holds = orders_.held_term() != 0;
  const bool known = holder_ && now - holder_heard_at_ < holder_lifetime_;
  const std::optional<MonoTime> due = holder_notice_.DueAt(holds || known);
  if (!due)
    return;
  if (now < *due) {
    if (std::exchange(notice_timer_set_, true))
      return;
    timers_.Add(*due, [this](MonoTime time) {
      notice_timer_set_ = false;
      SendNoticeIfDue(time);
    });
    return;
  }
  holder_notice_.OnSent(now);
  if (holds)
    orders_.PlanSoon();
  else
    soft_state_.SendTo(*holder_);
}

HostTurn EdgeHost::ProbeTurn() const {
  const std::vector<PeerHost> peers = soft_state_.peers().ReachablePeers(Now());
  const auto before = std::count_if(
      peers.begin(), peers.end(),
      [&](const PeerHost& it) { return it.host < settings_.host; });
  return {.rank = static_cast<std::size_t>(before), .hosts = peers.size() + 1};
}

void EdgeHost::SendChanges() {
  const MonoTime now = Now();
  for (const EngineOrderTracker::ResidencyUpdate& it : orders_.Changes(now))
    backends_.NoteResidency(now, {.server = it.engine,
                                  .item = it.item,
                                  .orders_accepted = it.orders_accepted,
                                  .gone = it.gone});
  soft_state_.SendChangesSoon();
}

}  // namespace mangoport
