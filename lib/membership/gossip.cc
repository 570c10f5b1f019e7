#include "mangoport/membership/gossip.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

constexpr std::size_t kHostUpdatesPerMessage = 8;
constexpr std::size_t kServerUpdatesPerMessage = 8;
/// On average, one round in this many contacts a host that only peers reported
/// gone, so that the two sides of a healed partition reconnect.
constexpr std::uint64_t kRoundsPerGoneHostRetry = 5;
constexpr std::size_t kMaxProbesPerTick = 3;
/// Limit up to which `min_other_zone_exchanges` may raise the fraction of
/// exchanges with other zones.
constexpr double kMaxOtherZoneShare = 0.5;
/// Approximate encoded size of one host update.
constexpr double kBytesPerHostUpdate = 48;

}  // namespace

Gossip::Gossip(wire::HostUpdate self,
               std::vector<std::string> seed_addresses,
               GossipOptions options,
               ReplicaHooks replica,
               WithdrawalOverlay::IsRecorded is_recorded,
               std::uint64_t random_seed)
    : options_(options),
      seed_addresses_(std::move(seed_addresses)),
      directory_(std::move(self), options.directory),
      replica_(std::move(replica), options.replica),
      overlay_(std::move(is_recorded)),
      random_(random_seed) {}

Duration Gossip::Jitter(Duration up_to) {
  std::uniform_int_distribution<Duration::rep> jitter(0, up_to.count());
  return Duration(jitter(random_));
}

Duration Gossip::HostTableInterval() const {
  const double bytes =
      kBytesPerHostUpdate * static_cast<double>(directory_.hosts().size());
  const std::chrono::duration<double> min_interval(
      bytes / options_.host_table_bytes_per_second);
  return std::max(options_.host_table_interval,
                  std::chrono::duration_cast<Duration>(min_interval));
}

GossipActions Gossip::OnTick(MonoTime now) {
  GossipActions actions;
  if (!started_at_) {
    started_at_ = now;
    next_round_ = now + Jitter(options_.period);
  }
  if (!ready_)
    RequestBootstrap(now, actions);
  SendProbes(now, actions);
  if (now >= next_round_)
    StartRound(now, actions);
  if (replica_.behind() && now - last_catch_up_ >= options_.catch_up_interval) {
    if (const KnownHost* peer = PickPeer())
      CatchUpFrom(now, peer->id, actions);
  }
  PushChanges(now, actions);
  RequestLogRead(now, actions);
  RecordWithdrawals(now, actions);
  UpdateReady(now);
  return actions;
}

wire::SyncRequest Gossip::MakeRequest(MonoTime now) {
  wire::SyncRequest request;
  *request.mutable_sender() = directory_.self();
  request.set_next_offset(replica_.next_offset());
  request.set_highest_known(replica_.highest_known());
  request.set_withdrawals_digest(overlay_.digest());
  for (wire::HostUpdate& it : directory_.TakeUpdates(kHostUpdatesPerMessage))
    *request.add_hosts() = std::move(it);
  const std::size_t hosts = directory_.hosts().size();
  for (wire::ServerUpdate& it :
       servers_.TakeUpdates(now, kServerUpdatesPerMessage, hosts))
    *request.add_servers() = std::move(it);
  return request;
}

void Gossip::Send(MonoTime now, const KnownHost& host, GossipActions& actions) {
  OutgoingSync& sync = actions.syncs.emplace_back();
  sync.to = host.id;
  sync.address = host.address;
  sync.requested_at = now;
  sync.request = MakeRequest(now);
  if (auto update = directory_.UpdateIfNotLive(host.id))
    *sync.request.add_hosts() = std::move(*update);
}

const KnownHost* Gossip::PickRandom(const std::vector<const KnownHost*>& from) {
  if (from.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  return from[any(random_)];
}

const KnownHost* Gossip::PickPeer() {
  std::vector<const KnownHost*> same_zone;
  std::vector<const KnownHost*> other_zones;
  for (const KnownHost* it : directory_.Contactable()) {
    const bool in_same_zone = it->zone.value() == directory_.self().zone();
    (in_same_zone ? same_zone : other_zones).push_back(it);
  }
  // In a small zone, `other_zone_share` alone would give too few exchanges with
  // other zones, so raise the probability to the configured minimum.
  const double needed = options_.min_other_zone_exchanges /
                        (1 + static_cast<double>(same_zone.size()));
  std::bernoulli_distribution other_zone(std::max(
      options_.other_zone_share, std::min(needed, kMaxOtherZoneShare)));
  const bool use_other_zone =
      same_zone.empty() || (!other_zones.empty() && other_zone(random_));
  return PickRandom(use_other_zone ? other_zones : same_zone);
}

void Gossip::SendProbes(MonoTime now, GossipActions& actions) {
  std::vector<HostId> probes = directory_.TakeHostsToProbe();
  if (probes.size() > kMaxProbesPerTick)
    probes.resize(kMaxProbesPerTick);
  for (const HostId& it : probes) {
    if (const KnownHost* host = directory_.Find(it))
      Send(now, *host, actions);
  }
}

void Gossip::StartRound(MonoTime now, GossipActions& actions) {
  next_round_ = std::max(next_round_ + options_.period, now);
  directory_.Tick(now);
  log_reader_ = IsLogReader();
  if (MutantEnabled("no_periodic_rounds"))
    return;
  if (const KnownHost* peer = PickPeer()) {
    Send(now, *peer, actions);
    if (now >= next_host_table_) {
      actions.syncs.back().request.set_wants_all_hosts(true);
      next_host_table_ = now + HostTableInterval();
    }
  } else {
    RequestFromSeed(now, actions);
  }
  if (random_() % kRoundsPerGoneHostRetry != 0)
    return;
  std::vector<const KnownHost*> gone;
  for (const auto& [id, host] : directory_.hosts()) {
    if (host.declared_gone_by_peers)
      gone.push_back(&host);
  }
  if (const KnownHost* host = PickRandom(gone))
    Send(now, *host, actions);
}

void Gossip::RequestFromSeed(MonoTime now, GossipActions& actions) {
  if (seed_addresses_.empty())
    return;
  OutgoingSync& sync = actions.syncs.emplace_back();
  sync.address = seed_addresses_[random_() % seed_addresses_.size()];
  sync.requested_at = now;
  sync.request = MakeRequest(now);
  sync.request.set_wants_all_hosts(true);
}

void Gossip::RequestBootstrap(MonoTime now, GossipActions& actions) {
  if (now - last_bootstrap_ < options_.bootstrap_interval)
    return;
  last_bootstrap_ = now;
  const bool use_seed = !seed_addresses_.empty() &&
                        bootstrap_responders_.empty() &&
                        (directory_.hosts().empty() || random_() % 2 == 0);
  if (use_seed)
    return RequestFromSeed(now, actions);
  std::vector<const KnownHost*> not_yet_replied;
  for (const KnownHost* it : directory_.Contactable()) {
    if (bootstrap_responders_.count(it->id.value()) == 0)
      not_yet_replied.push_back(it);
  }
  if (const KnownHost* host = PickRandom(not_yet_replied))
    Send(now, *host, actions);
}

void Gossip::UpdateReady(MonoTime now) {
  if (ready_ || !started_at_)
    return;
  const std::size_t live = directory_.Live().size();
  const std::size_t replies_needed =
      std::max<std::size_t>(1, std::min(options_.bootstrap_peers, live));
  const bool enough_replies = bootstrap_responders_.size() >= replies_needed;
  const bool up_to_date =
      !replica_.behind() || MutantEnabled("ready_while_behind");
  const bool timed_out = now - *started_at_ >= options_.bootstrap_timeout;
  if (!log_read_to_end_ && !enough_replies)
    return;
  if (!up_to_date && !timed_out)
    return;
  CheckInvariant(
      !replica_.behind() || timed_out,
      "a new host serves at the highest reported offset or after a timeout",
      [&] {
        return std::to_string(replica_.next_offset()) + " of " +
               std::to_string(replica_.highest_known());
      });
  ready_ = true;
}

void Gossip::AddWithdrawals(
    const google::protobuf::RepeatedPtrField<wire::KeyWithdrawal>&
        withdrawals) {
  for (const wire::KeyWithdrawal& it : withdrawals) {
    if (overlay_.Add(it))
      push_withdrawals_.push_back(it);
  }
}

void Gossip::MergeUpdates(
    MonoTime now,
    const google::protobuf::RepeatedPtrField<wire::HostUpdate>& hosts,
    const google::protobuf::RepeatedPtrField<wire::ServerUpdate>& servers) {
  for (const wire::HostUpdate& it : hosts)
    directory_.Merge(now, it);
  for (const wire::ServerUpdate& it : servers)
    servers_.Merge(now, it);
}

void Gossip::OnOffsetAdvanced(std::uint64_t from) {
  overlay_.DropRecorded();
  if (!push_from_)
    push_from_ = from;
}

wire::SyncReply Gossip::OnRequest(MonoTime now,
                                  const wire::SyncRequest& request,
                                  GossipActions& actions) {
  MergeUpdates(now, request.hosts(), request.servers());
  directory_.OnMessageReceived(now, request.sender());
  const std::uint64_t before = replica_.next_offset();
  replica_.NoteOffset(request.next_offset());
  replica_.NoteOffset(request.highest_known());
  if (replica_.OnPushedEntries(request.entries()))
    OnOffsetAdvanced(before);
  AddWithdrawals(request.withdrawals());

  wire::SyncReply reply;
  replica_.FillReply(request.next_offset(), reply);
  if (auto evidence = replica_.MakeEvidence(now))
    *reply.mutable_evidence() = std::move(*evidence);
  reply.set_withdrawals_digest(overlay_.digest());
  const bool digests_differ = request.withdrawals_digest() != overlay_.digest();
  if (digests_differ && !MutantEnabled("withdrawals_not_compared")) {
    for (const auto& [key, it] : overlay_.entries())
      *reply.add_withdrawals() = it;
  }
  const bool all = request.wants_all_hosts();
  for (wire::HostUpdate& it :
       all ? directory_.AllUpdates()
           : directory_.TakeUpdates(kHostUpdatesPerMessage))
    *reply.add_hosts() = std::move(it);
  if (auto it = directory_.UpdateIfNotLive(HostId(request.sender().host())))
    *reply.add_hosts() = std::move(*it);
  for (wire::ServerUpdate& it : servers_.TakeUpdates(
           now, kServerUpdatesPerMessage, directory_.hosts().size()))
    *reply.add_servers() = std::move(it);
  *reply.mutable_sender() = directory_.self();

  if (request.next_offset() > replica_.next_offset())
    CatchUpFrom(now, HostId(request.sender().host()), actions);
  PushChanges(now, actions);
  return reply;
}

GossipActions Gossip::OnReply(MonoTime now,
                              const OutgoingSync& sent,
                              const wire::SyncReply& reply) {
  GossipActions actions;
  // The seed addresses in the settings may include this host's own.
  if (reply.sender().host() == directory_.self().host())
    return actions;
  MergeUpdates(now, reply.hosts(), reply.servers());
  directory_.OnMessageReceived(now, reply.sender());
  directory_.OnProbeAnswered(HostId(reply.sender().host()));
  const std::uint64_t before = replica_.next_offset();
  replica_.NoteOffset(reply.highest_known());
  const bool advanced = replica_.OnReply(sent.requested_at, reply);
  if (advanced)
    OnOffsetAdvanced(before);
  AddWithdrawals(reply.withdrawals());
  SendMissingWithdrawals(now, sent, reply, actions);
  bootstrap_responders_.insert(reply.sender().host());
  if (advanced && reply.next_offset() > replica_.next_offset())
    CatchUpFrom(now, HostId(reply.sender().host()), actions);
  PushChanges(now, actions);
  UpdateReady(now);
  return actions;
}

void Gossip::SendMissingWithdrawals(MonoTime now,
                                    const OutgoingSync& sent,
                                    const wire::SyncReply& reply,
                                    GossipActions& actions) {
  const bool digests_differ =
      sent.request.withdrawals_digest() != reply.withdrawals_digest() &&
      !MutantEnabled("withdrawals_not_compared");
  if (!digests_differ || !sent.request.withdrawals().empty())
    return;
  std::set<std::string> has;
  for (const wire::KeyWithdrawal& it : reply.withdrawals())
    has.insert(it.key());
  OutgoingSync sync{sent.to, sent.address, now, {}};
  for (const auto& [key, it] : overlay_.entries()) {
    if (has.count(key.value()) == 0)
      *sync.request.add_withdrawals() = it;
  }
  if (sync.request.withdrawals().empty())
    return;
  auto withdrawals = sync.request.withdrawals();
  sync.request = MakeRequest(now);
  *sync.request.mutable_withdrawals() = std::move(withdrawals);
  actions.syncs.push_back(std::move(sync));
}

void Gossip::OnFailure(MonoTime now, const OutgoingSync& sent) {
  if (!sent.to.empty())
    directory_.OnProbeFailed(now, sent.to);
}

void Gossip::CatchUpFrom(MonoTime now,
                         const HostId& peer,
                         GossipActions& actions) {
  const KnownHost* host = directory_.Find(peer);
  if (host == nullptr)
    return;
  last_catch_up_ = now;
  Send(now, *host, actions);
}

void Gossip::PushTo(MonoTime now,
                    const std::vector<const KnownHost*>& targets,
                    std::size_t n,
                    GossipActions& actions) {
  std::vector<const KnownHost*> chosen;
  std::sample(targets.begin(), targets.end(), std::back_inserter(chosen), n,
              random_);
  for (const KnownHost* it : chosen) {
    Send(now, *it, actions);
    wire::SyncRequest& request = actions.syncs.back().request;
    if (push_from_)
      replica_.FillPush(*push_from_, request);
    for (const wire::KeyWithdrawal& withdrawal : push_withdrawals_)
      *request.add_withdrawals() = withdrawal;
  }
}

void Gossip::PushChanges(MonoTime now, GossipActions& actions) {
  const bool has_changes =
      push_from_ || !push_withdrawals_.empty() || push_self_;
  if (!has_changes || now - last_push_ < options_.push_interval)
    return;
  last_push_ = now;
  std::vector<const KnownHost*> same_zone;
  std::vector<const KnownHost*> other_zones;
  for (const KnownHost* it : directory_.Contactable()) {
    const bool in_same_zone = it->zone.value() == directory_.self().zone();
    (in_same_zone ? same_zone : other_zones).push_back(it);
  }
  PushTo(now, same_zone, options_.fan_out, actions);
  // Other zones receive configuration entries from their own log readers.
  const bool to_other_zones = !push_withdrawals_.empty() || push_self_;
  if (to_other_zones)
    PushTo(now, other_zones, 1, actions);
  push_from_.reset();
  push_withdrawals_.clear();
  push_self_ = false;
}

void Gossip::OnPlatformList(MonoTime now,
                            Duration age,
                            const std::vector<HostListEntry>& hosts,
                            const std::vector<ServerListEntry>& servers) {
  directory_.OnList(now, age, hosts);
  servers_.OnList(now, age, servers);
}

GossipActions Gossip::Withdraw(MonoTime now,
                               const wire::KeyWithdrawal& withdrawal) {
  GossipActions actions;
  if (overlay_.Add(withdrawal))
    push_withdrawals_.push_back(withdrawal);
  PushChanges(now, actions);
  return actions;
}

void Gossip::OnServerObserved(MonoTime now,
                              const ServerId& server,
                              wire::ServerCondition observed) {
  servers_.OnObserved(now, server, observed);
}

GossipActions Gossip::AnnounceLeaving(MonoTime now) {
  GossipActions actions;
  directory_.AnnounceLeaving();
  push_self_ = true;
  // Do not wait for `push_interval`.
  last_push_ = MonoTime{};
  PushChanges(now, actions);
  return actions;
}

}  // namespace mangoport
