#include "mangoport/entryhost/peer_service.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "interruptible_sleep.h"
#include "mangoport/adapters/logging.h"
#include "mangoport/adapters/nghttp2_peer_client.h"
#include "mangoport/adapters/nghttp2_peer_server.h"
#include "mangoport/entryhost/config_service.h"
#include "mangoport/membership/gossip.h"
#include "mangoport/ports/host_list.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::string_view kSyncMethod = "sync";
constexpr Duration kTick = milliseconds(100);
constexpr Duration kCallTimeout = seconds(1);
constexpr Duration kListInterval = seconds(2);
constexpr Duration kListTimeout = seconds(1);

std::uint64_t RandomSeed() {
  std::random_device random;
  return (std::uint64_t{random()} << 32) | random();
}

const char* ConditionName(wire::HostCondition condition) {
  switch (condition) {
    case wire::HOST_CONDITION_LIVE:
      return "live";
    case wire::HOST_CONDITION_SUSPECT:
      return "suspect";
    case wire::HOST_CONDITION_LEAVING:
      return "leaving";
    default:
      return "gone";
  }
}

}  // namespace

struct PeerService::State {
  State(const HostSettings& given, ConfigService& service, HostList* list)
      : settings(given),
        config(service),
        host_list(list),
        client({.seed = RandomSeed()}) {}

  std::uint16_t Start();
  void Stop();
  std::unique_ptr<Gossip> MakeGossip(std::uint16_t port);
  ReplicaHooks MakeReplicaHooks();
  void OnRequest(std::string_view method,
                 const std::string& body,
                 const std::function<void(std::string)>& respond);
  void OnOutcome(const OutgoingSync& sent, const PeerReply& reply);
  void OnLogPage(MonoTime requested_at, const LogPage& page);
  void ReadHostList();
  void Tick(const std::stop_token& stop);
  void WatchHostList(const std::stop_token& stop);
  /// Applies what gossip has received to this host.
  void ApplyLocked(MonoTime now);
  void RecordLocked(const std::vector<wire::KeyWithdrawal>& withdrawals);
  /// Executes the actions. Must be called without the lock.
  void Perform(GossipActions actions);

  const HostSettings settings;
  ConfigService& config;
  HostList* host_list;
  Logger logger{"peers"};
  mutable std::mutex mutex;
  std::unique_ptr<Gossip> gossip;
  std::uint64_t withdrawals_digest = 0;
  std::atomic<bool> stopping{false};
  std::atomic<bool> ready{false};
  std::map<std::string, PeerHandler, std::less<>> methods;
  std::unique_ptr<Nghttp2PeerServer> server;
  Nghttp2PeerClient client;
  std::jthread ticker;
  std::jthread list_reader;
};

ReplicaHooks PeerService::State::MakeReplicaHooks() {
  ReplicaHooks hooks;
  hooks.position = [this] {
    // Read in this order, because the configuration may change in between.
    const std::uint64_t next_offset = config.view()->next_offset();
    return ReplicaPosition{next_offset, config.read_from()};
  };
  hooks.read_entries = [this](std::uint64_t first_retained,
                              const std::vector<EntryView>& entries) {
    config.ReadPeerEntries(first_retained, entries);
  };
  hooks.load_snapshot = [this](const std::string& bytes) {
    wire::ConfigSnapshot snapshot;
    if (snapshot.ParseFromString(bytes))
      config.LoadPeerSnapshot(MonoTime{}, snapshot);
  };
  hooks.make_snapshot = [this] {
    return config.MakeSnapshot().SerializeAsString();
  };
  return hooks;
}

std::unique_ptr<Gossip> PeerService::State::MakeGossip(std::uint16_t port) {
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  wire::HostUpdate self;
  self.set_host(settings.id.value());
  self.set_zone(settings.zone.value());
  self.set_address(ToString(Endpoint{settings.peers.ip, port}));
  self.set_incarnation(
      static_cast<std::uint64_t>(started / std::chrono::milliseconds(1)));
  std::vector<std::string> seeds;
  for (const Endpoint& it : settings.seed_peers)
    seeds.push_back(ToString(it));
  const auto recorded = [this](const KeyId& key) {
    const wire::KeyConfig* stored = config.view()->FindKey(key);
    return stored != nullptr && stored->withdrawn();
  };
  return std::make_unique<Gossip>(std::move(self), std::move(seeds),
                                  GossipOptions{}, MakeReplicaHooks(), recorded,
                                  RandomSeed());
}

std::uint16_t PeerService::State::Start() {
  const std::lock_guard lock(mutex);
  PeerServerOptions options;
  options.listen = {settings.peers.ip, settings.peers.port};
  auto started = Nghttp2PeerServer::Start(
      options,
      [this](std::string_view method, const std::string& body,
             const auto& respond) { OnRequest(method, body, respond); });
  if (!started)
    return 0;
  server = std::move(started.value());
  gossip = MakeGossip(server->port());
  config.SetPageObserver([this](MonoTime requested_at, const LogPage& page) {
    OnLogPage(requested_at, page);
  });
  ticker = std::jthread([this](const std::stop_token& stop) { Tick(stop); });
  if (host_list != nullptr) {
    list_reader = std::jthread(
        [this](const std::stop_token& stop) { WatchHostList(stop); });
  }
  return server->port();
}

void PeerService::State::Stop() {
  stopping.store(true);
  config.SetPageObserver(nullptr);
  ticker = {};
  list_reader = {};
  server.reset();
}

void PeerService::State::OnRequest(
    std::string_view method,
    const std::string& body,
    const std::function<void(std::string)>& respond) {
  const auto it = methods.find(method);
  if (it != methods.end()) {
    it->second(method, body, respond);
    return;
  }
  wire::SyncRequest request;
  if (method != kSyncMethod || !request.ParseFromString(body)) {
    logger.Warn("A peer sent a request that can't be read.");
    return;
  }
  GossipActions actions;
  wire::SyncReply reply;
  {
    const std::lock_guard lock(mutex);
    const MonoTime now = steady_clock::now();
    reply = gossip->OnRequest(now, request, actions);
    ApplyLocked(now);
  }
  respond(reply.SerializeAsString());
  Perform(std::move(actions));
}

void PeerService::State::OnOutcome(const OutgoingSync& sent,
                                   const PeerReply& reply) {
  if (stopping.load())
    return;
  wire::SyncReply answer;
  const bool answered =
      reply.status == PeerStatus::kOk && answer.ParseFromString(reply.body);
  GossipActions actions;
  {
    const std::lock_guard lock(mutex);
    const MonoTime now = steady_clock::now();
    if (answered)
      actions = gossip->OnReply(now, sent, answer);
    else
      gossip->OnFailure(now, sent);
    ApplyLocked(now);
  }
  Perform(std::move(actions));
}

void PeerService::State::OnLogPage(MonoTime requested_at, const LogPage& page) {
  LogReadResult reading{true, requested_at, page.first_retained, {}, false};
  for (const LogEntry& it : page.entries)
    reading.entries.push_back({it.offset, it.payload});
  reading.reached_end = page.entries.size() < kMaxPageEntries;
  GossipActions actions;
  {
    const std::lock_guard lock(mutex);
    const MonoTime now = steady_clock::now();
    actions = gossip->OnLogReadResult(now, reading);
    ApplyLocked(now);
  }
  Perform(std::move(actions));
}

void PeerService::State::ApplyLocked(MonoTime now) {
  const auto age = gossip->EvidenceAge(now);
  if (age)
    config.NotePeerEvidence(now - *age, gossip->replica().next_offset());
  ready.store(gossip->ready());
  if (gossip->withdrawals().digest() == withdrawals_digest)
    return;
  withdrawals_digest = gossip->withdrawals().digest();
  ConfigService::KeySet keys;
  for (const auto& [key, withdrawal] : gossip->withdrawals().entries())
    keys.insert(key);
  config.SetWithdrawnKeys(std::move(keys));
}

void PeerService::State::RecordLocked(
    const std::vector<wire::KeyWithdrawal>& withdrawals) {
  const auto view = config.view();
  for (const wire::KeyWithdrawal& it : withdrawals) {
    const wire::KeyConfig* stored = view->FindKey(KeyId(it.key()));
    if (stored == nullptr)
      continue;
    wire::ConfigChange change;
    change.set_based_on(view->next_offset());
    change.set_author(it.author());
    change.set_note("withdrawn while the log was out");
    wire::KeyConfig& key = *change.add_puts()->mutable_key();
    key = *stored;
    key.set_withdrawn(true);
    key.set_withdrawal_reason(it.reason());
    config.Publish(change);
  }
}

void PeerService::State::Perform(GossipActions actions) {
  if (stopping.load())
    return;
  for (OutgoingSync& it : actions.syncs) {
    Endpoint peer;
    if (!ParseEndpoint(it.address, peer))
      continue;
    std::string body = it.request.SerializeAsString();
    client.Call(PeerAddress{peer.ip, peer.port}, kSyncMethod, std::move(body),
                kCallTimeout,
                [this, sent = std::move(it)](const PeerReply& reply) {
                  OnOutcome(sent, reply);
                });
  }
}

void PeerService::State::Tick(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    GossipActions actions;
    {
      const std::lock_guard lock(mutex);
      const MonoTime now = steady_clock::now();
      actions = gossip->OnTick(now);
      RecordLocked(actions.withdrawals_to_record);
      ApplyLocked(now);
    }
    Perform(std::move(actions));
    SleepUnlessStopped(stop, kTick);
  }
}

void PeerService::State::ReadHostList() {
  const MonoTime requested_at = steady_clock::now();
  const HostListPage page = host_list->Read(kListTimeout);
  if (!page.ok)
    return;
  std::vector<HostListEntry> hosts;
  for (const ListedHost& it : page.hosts)
    hosts.push_back({it.id, it.zone, ToString(it.peer), it.leaving});
  std::vector<ServerListEntry> servers;
  for (const ListedServer& it : page.servers)
    servers.push_back({it.id, it.leaving});
  const std::lock_guard lock(mutex);
  const MonoTime now = steady_clock::now();
  gossip->OnPlatformList(now, page.age + (now - requested_at), hosts, servers);
}

void PeerService::State::WatchHostList(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    ReadHostList();
    SleepUnlessStopped(stop, kListInterval);
  }
}

PeerService::PeerService(const HostSettings& settings,
                         ConfigService& config,
                         HostList* host_list)
    : state_(std::make_unique<State>(settings, config, host_list)) {}

PeerService::~PeerService() {
  state_->Stop();
}

std::uint16_t PeerService::Start() {
  return state_->Start();
}

void PeerService::AddMethod(std::string_view method, PeerHandler handler) {
  state_->methods.emplace(method, std::move(handler));
}

std::vector<PeerAddress> PeerService::LivePeers() const {
  const std::lock_guard lock(state_->mutex);
  std::vector<PeerAddress> live;
  if (state_->gossip == nullptr)
    return live;
  for (const auto& [id, it] : state_->gossip->directory().hosts()) {
    Endpoint endpoint;
    if (id != state_->settings.id &&
        it.condition == wire::HOST_CONDITION_LIVE &&
        ParseEndpoint(it.address, endpoint))
      live.push_back({endpoint.ip, endpoint.port});
  }
  return live;
}

PeerClient& PeerService::client() {
  return state_->client;
}

void PeerService::Withdraw(const KeyId& key, const std::string& reason) {
  wire::KeyWithdrawal withdrawal;
  withdrawal.set_key(key.value());
  withdrawal.set_reason(reason);
  withdrawal.set_author("operator at " + state_->settings.id.value());
  GossipActions actions;
  {
    const std::lock_guard lock(state_->mutex);
    const MonoTime now = steady_clock::now();
    actions = state_->gossip->Withdraw(now, withdrawal);
    state_->ApplyLocked(now);
  }
  state_->logger.Info("Key id " + key.value() + " is withdrawn: " + reason +
                      ".");
  state_->Perform(std::move(actions));
}

void PeerService::AnnounceLeaving() {
  GossipActions actions;
  {
    const std::lock_guard lock(state_->mutex);
    if (state_->gossip == nullptr)
      return;
    actions = state_->gossip->AnnounceLeaving(steady_clock::now());
  }
  state_->Perform(std::move(actions));
}

bool PeerService::ready() const {
  return state_->ready.load();
}

std::string PeerService::StatusJson() const {
  const std::lock_guard lock(state_->mutex);
  if (state_->gossip == nullptr)
    return "{}";
  const Gossip& gossip = *state_->gossip;
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& [id, it] : gossip.directory().hosts()) {
    hosts.push_back({{"id", id.value()},
                     {"availability_zone", it.zone.value()},
                     {"address", it.address},
                     {"condition", ConditionName(it.condition)}});
  }
  nlohmann::json withdrawals = nlohmann::json::array();
  for (const auto& [key, it] : gossip.withdrawals().entries())
    withdrawals.push_back({{"key", key.value()}, {"reason", it.reason()}});
  const PeerClientCounters counters = state_->client.counters();
  return nlohmann::json(
             {{"hosts", hosts},
              {"unrecorded_withdrawals", withdrawals},
              {"highest_offset_known", gossip.replica().highest_known()},
              {"connections_opened", counters.connections_opened},
              {"connections_silent", counters.connections_silent}})
      .dump();
}

}  // namespace mangoport
