#include "mangoport/entryhost/budget_service.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "interruptible_sleep.h"
#include "mangoport/entryhost/peer_service.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr Duration kTick = milliseconds(10);
constexpr Duration kPeerTimeout = milliseconds(500);

/// A host that has received no answer from any dealer for this time starts to
/// serve: it may be partitioned, and then refuses requests beyond the budget
/// that it holds.
constexpr Duration kReadyWithoutDealer = seconds(5);

/// A zone whose dealer has not answered for this time is served by the dealer
/// of the shared pool.
constexpr Duration kDealerSilence = seconds(2);

/// Interval between calls to a dealer of the zone that does not answer.
constexpr Duration kRetryZoneDealer = seconds(30);

/// Interval at which a host that can't read the log asks a peer for the list of
/// dealers.
constexpr Duration kAskForDealers = milliseconds(300);

/// Timeout of appending a release to the log.
constexpr Duration kReleaseWait = milliseconds(1000);

/// Maximum number of records of one stream queued for the log.
constexpr int kMaxAppendsUnderWay = 4;

std::string NewName(const HostId& host) {
  std::random_device random;
  return host.value() + "/" + std::to_string(random()) +
         std::to_string(random());
}

BudgetSettings SettingsFor(int zone_count) {
  BudgetSettings settings;
  settings.zones = zone_count;
  return settings;
}

AccountLimit LimitOf(const AccountPolicy& policy) {
  return {policy.id(), static_cast<std::int64_t>(policy.rate()),
          static_cast<std::int64_t>(policy.burst())};
}

}  // namespace

/// A pending charge. Refunds its unused part exactly once.
class BudgetService::ChargeHandle final : public BudgetCharge {
 public:
  ChargeHandle(BudgetService& service, SpendReceipt receipt)
      : service_(service), receipt_(std::move(receipt)) {}

  bool MayDispatch(MonoTime now) const override {
    return mangoport::MayDispatch(receipt_, now);
  }

  void Settle(std::uint64_t unused) override {
    if (!std::exchange(settled_, true))
      service_.Refund(receipt_, unused);
  }

 private:
  BudgetService& service_;
  SpendReceipt receipt_;
  bool settled_ = false;
};

BudgetService::BudgetService(LogService& log,
                             const HostId& host,
                             const ZoneId& zone,
                             int zone_count)
    : log_(log),
      name_(NewName(host)),
      settings_(SettingsFor(zone_count)),
      started_at_(steady_clock::now()),
      budget_(name_, settings_) {
  pool_.stream = StreamId("budget");
  floor_.stream = StreamId("budget." + zone.value());
  pool_.dealer = std::make_unique<BudgetAllocator>(name_ + ":pool", settings_,
                                                   settings_.zone_grant_lease);
  floor_.dealer = std::make_unique<BudgetAllocator>(name_ + ":zone", settings_,
                                                    settings_.host_grant_lease);
}

BudgetService::~BudgetService() {
  Stop();
  // The followers and the appenders invoke callbacks of this object.
  for (Level* it : {&pool_, &floor_}) {
    it->follower.reset();
    it->appender.reset();
  }
}

void BudgetService::SetConfig(const ConfigView& view) {
  std::vector<AccountLimit> limits;
  std::vector<AccountLimit> pool;
  std::vector<AccountLimit> floor;
  for (const AccountPolicy& it : view.Accounts()) {
    limits.push_back(LimitOf(it));
    pool.push_back(SharedPool(limits.back(), settings_));
    floor.push_back(ZoneFloor(limits.back(), settings_));
  }
  const std::lock_guard lock(mutex_);
  if (view.next_offset() < config_offset_)
    return;
  config_offset_ = view.next_offset();
  const MonoTime now = steady_clock::now();
  pool_.dealer->SetLimits(now, pool);
  floor_.dealer->SetLimits(now, floor);
  budget_.SetLimits(limits);
}

void BudgetService::Start(const std::string& address, PeerService& peers) {
  peers_ = &peers;
  pool_.lease = std::make_unique<HolderLease>(name_, address, settings_,
                                              settings_.pool_holder_lease);
  floor_.lease = std::make_unique<HolderLease>(name_, address, settings_,
                                               settings_.floor_holder_lease);
  for (Level* level : {&pool_, &floor_}) {
    level->reader = std::make_unique<RecordReader>(
        [this, level](const LogPosition& position,
                      const wire::Envelope& envelope) {
          OnRecord(*level, position, envelope);
        });
    level->appender = std::make_unique<LogAppender>(
        log_, level->stream, WriterId(name_ + "/" + level->stream.value()));
  }
  for (Level* level : {&pool_, &floor_}) {
    level->follower = std::make_unique<LogFollower>(
        log_, level->stream,
        [this, level] {
          const std::lock_guard lock(mutex_);
          return level->reader->next_offset();
        },
        [this, level](MonoTime /*requested_at*/, const LogPage& page) {
          OnPage(*level, page);
        });
  }
  ticker_ = std::jthread([this](const std::stop_token& stop) { Tick(stop); });
}

void BudgetService::OnPage(Level& level, const LogPage& page) {
  const std::lock_guard lock(mutex_);
  if (page.first_retained > level.reader->next_offset())
    level.lease->StartAfterGap();
  for (const LogEntry& it : page.entries)
    level.reader->ReadEntry(it.offset, it.payload);
  if (page.entries.size() < kMaxPageEntries)
    level.lease->OnCaughtUp(steady_clock::now());
}

void BudgetService::OnRecord(Level& level,
                             const LogPosition& position,
                             const wire::Envelope& envelope) {
  wire::BudgetRecord record;
  if (envelope.kind() != wire::RECORD_KIND_BUDGET ||
      !record.ParseFromString(envelope.body()))
    return;
  // Read the time after the page has arrived. With an earlier time, a
  // challenger would overestimate how long the holder has been silent.
  const MonoTime now = steady_clock::now();
  if (!level.lease->OnRecord(now, position, record) || record.holder() != name_)
    return;
  if (record.kind() == wire::BudgetRecord::CLAIM) {
    level.dealer->StartEpoch(now, {level.stream, position},
                             level.lease->fold().inheritance());
    return;
  }
  level.dealer->OnReservesRecorded(record.nonce());
}

void BudgetService::Tick(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    std::vector<Outgoing> outgoing;
    bool ask_for_dealers = false;
    {
      const std::lock_guard lock(mutex_);
      const MonoTime now = steady_clock::now();
      RunHolderLocked(now, pool_);
      if (const auto pool = DealerOf(pool_))
        floor_.dealer->SetUplink(now, pool->id);
      RunHolderLocked(now, floor_);
      ChooseDealerLocked(now);
      if (const auto request = budget_.MakeRequest(now))
        AddRequestLocked(*request, /*from_zone=*/false, outgoing);
      if (const auto request = floor_.dealer->MakeUplinkRequest(now))
        AddRequestLocked(*request, /*from_zone=*/true, outgoing);
      ask_for_dealers = MustAskForDealersLocked(now);
    }
    if (ask_for_dealers)
      AskForDealers();
    for (Outgoing& it : outgoing)
      Send(std::move(it));
    SleepUnlessStopped(stop, kTick);
  }
}

void BudgetService::RunHolderLocked(MonoTime now, Level& level) {
  level.dealer->SetHeldUntil(level.lease->held_until());
  level.dealer->Tick(now);
  if (level.appends_under_way >= kMaxAppendsUnderWay)
    return;
  std::optional<wire::BudgetRecord> record =
      level.lease->MakeRecord(now, level.dealer->wants_record());
  if (!record)
    return;
  if (record->kind() == wire::BudgetRecord::RENEWAL) {
    for (auto& it : level.dealer->ReservesToRecord(record->nonce()))
      *record->add_reserves() = std::move(it);
  }
  AppendLocked(level, *record);
}

void BudgetService::AppendLocked(Level& level,
                                 const wire::BudgetRecord& record) {
  const auto done = [this, &level](const AppendResult&) {
    const std::lock_guard lock(mutex_);
    --level.appends_under_way;
    appended_.notify_all();
  };
  if (level.appender->Append(wire::RECORD_KIND_BUDGET,
                             record.SerializeAsString(), done))
    ++level.appends_under_way;
}

void BudgetService::ChooseDealerLocked(MonoTime now) {
  const std::optional<KnownDealer> zone = DealerOf(floor_);
  if (zone && ZoneAnswersLocked(now, zone->id)) {
    budget_.SetAllocator(now, zone->id);
    return;
  }
  if (const auto pool = DealerOf(pool_))
    budget_.SetAllocator(now, pool->id);
}

bool BudgetService::ZoneAnswersLocked(MonoTime now, const AllocatorId& zone) {
  const bool is_new = zone_dealer_ != zone;
  const bool try_again = now - zone_asked_since_ > kRetryZoneDealer;
  const bool answers = now - zone_replied_at_ <= kDealerSilence;
  if (is_new || (try_again && !answers)) {
    zone_dealer_ = zone;
    zone_asked_since_ = now;
  }
  return answers || now - zone_asked_since_ <= kDealerSilence;
}

std::optional<BudgetService::KnownDealer> BudgetService::DealerOf(
    const Level& level) const {
  const BudgetFold& fold = level.lease->fold();
  if (!fold.epoch())
    return level.peer_dealer;
  KnownDealer dealer{{level.stream, *fold.epoch()}, {}};
  if (fold.holder().empty() ||
      !ParseEndpoint(fold.holder_address(), dealer.address))
    return std::nullopt;
  return dealer;
}

bool BudgetService::MustAskForDealersLocked(MonoTime now) {
  const bool knows = DealerOf(floor_) || DealerOf(pool_);
  const bool answered =
      budget_.last_reply() && now - *budget_.last_reply() < kDealerSilence;
  if ((knows && answered) || now - asked_for_dealers_at_ < kAskForDealers)
    return false;
  asked_for_dealers_at_ = now;
  return true;
}

void BudgetService::AskForDealers() {
  const std::vector<PeerAddress> live = peers_->LivePeers();
  if (live.empty())
    return;
  thread_local std::minstd_rand random(std::random_device{}());
  peers_->client().Call(live[random() % live.size()], kBudgetDealersMethod, "",
                        kPeerTimeout, [this](const PeerReply& reply) {
                          wire::BudgetDealers dealers;
                          if (reply.status == PeerStatus::kOk &&
                              dealers.ParseFromString(reply.body))
                            OnDealers(dealers);
                        });
}

void BudgetService::OnDealers(const wire::BudgetDealers& dealers) {
  const std::lock_guard lock(mutex_);
  KnownDealer floor{FromWire(dealers.floor()), {}};
  if (floor.id.stream == floor_.stream &&
      ParseEndpoint(dealers.floor_address(), floor.address))
    floor_.peer_dealer = floor;
  KnownDealer pool{FromWire(dealers.pool()), {}};
  if (pool.id.stream == pool_.stream &&
      ParseEndpoint(dealers.pool_address(), pool.address))
    pool_.peer_dealer = pool;
}

void BudgetService::OnDealersRequest(
    const std::function<void(std::string)>& respond) const {
  wire::BudgetDealers known;
  {
    const std::lock_guard lock(mutex_);
    if (const auto floor = floor_.lease ? DealerOf(floor_) : std::nullopt) {
      *known.mutable_floor() = ToWire(floor->id);
      known.set_floor_address(ToString(floor->address));
    }
    if (const auto pool = pool_.lease ? DealerOf(pool_) : std::nullopt) {
      *known.mutable_pool() = ToWire(pool->id);
      known.set_pool_address(ToString(pool->address));
    }
  }
  respond(known.SerializeAsString());
}

void BudgetService::AddRequestLocked(const wire::BudgetRequest& request,
                                     bool from_zone,
                                     std::vector<Outgoing>& outgoing) const {
  const AllocatorId dealer = FromWire(request.dealer());
  const Level& level = dealer.stream == pool_.stream ? pool_ : floor_;
  const std::optional<KnownDealer> known = DealerOf(level);
  if (!known || known->id != dealer)
    return;
  outgoing.push_back({{known->address.ip, known->address.port},
                      request.SerializeAsString(),
                      from_zone});
}

void BudgetService::Send(Outgoing outgoing) {
  peers_->client().Call(
      outgoing.holder, kBudgetMethod, std::move(outgoing.body), kPeerTimeout,
      [this, from_zone = outgoing.from_zone](const PeerReply& reply) {
        wire::BudgetReply parsed;
        if (reply.status == PeerStatus::kOk && !reply.body.empty() &&
            parsed.ParseFromString(reply.body))
          OnReply(parsed, from_zone);
      });
}

void BudgetService::OnReply(const wire::BudgetReply& reply, bool from_zone) {
  const std::lock_guard lock(mutex_);
  const MonoTime now = steady_clock::now();
  if (from_zone) {
    floor_.dealer->OnUplinkReply(now, reply);
    return;
  }
  if (zone_dealer_ == FromWire(reply.dealer()))
    zone_replied_at_ = now;
  budget_.OnReply(now, reply);
  replied_.notify_all();
}

void BudgetService::OnPeerRequest(
    const std::string& body,
    const std::function<void(std::string)>& respond) {
  wire::BudgetRequest request;
  std::string answer;
  if (request.ParseFromString(body)) {
    const AllocatorId dealer = FromWire(request.dealer());
    const std::lock_guard lock(mutex_);
    for (Level* it : {&pool_, &floor_}) {
      if (it->dealer->id() != dealer)
        continue;
      if (const auto reply =
              it->dealer->OnRequest(steady_clock::now(), request))
        answer = reply->SerializeAsString();
    }
  }
  respond(std::move(answer));
}

BudgetDecision BudgetService::Charge(MonoTime arrived,
                                     const AccountId& account,
                                     std::uint64_t tokens) {
  SpendRequest request{account, static_cast<std::int64_t>(tokens), arrived,
                       false};
  std::unique_lock lock(mutex_);
  while (true) {
    SpendDecision decision = budget_.TrySpend(steady_clock::now(), request);
    if (decision.verdict == SpendVerdict::kAdmitted)
      return {
          true,
          {},
          std::make_shared<ChargeHandle>(*this, std::move(decision.receipt))};
    if (decision.verdict != SpendVerdict::kWait)
      return {false, decision.retry_after, nullptr};
    request.retried = true;
    replied_.wait_for(lock, kTick);
  }
}

void BudgetService::Refund(SpendReceipt receipt, std::uint64_t unused) {
  const std::lock_guard lock(mutex_);
  budget_.Refund(steady_clock::now(), receipt,
                 static_cast<std::int64_t>(unused));
}

bool BudgetService::ready() const {
  const std::lock_guard lock(mutex_);
  return budget_.last_reply() ||
         steady_clock::now() - started_at_ > kReadyWithoutDealer;
}

void BudgetService::Stop() {
  ticker_ = {};
}

void BudgetService::Release() {
  std::unique_lock lock(mutex_);
  if (!pool_.lease)
    return;
  for (Level* it : {&floor_, &pool_}) {
    std::optional<wire::BudgetRecord> record =
        it->lease->MakeRelease(steady_clock::now());
    it->dealer->SetHeldUntil(MonoTime::min());
    if (!record)
      continue;
    for (auto& reserve : it->dealer->ReservesToRecord(record->nonce()))
      *record->add_reserves() = std::move(reserve);
    AppendLocked(*it, *record);
  }
  appended_.wait_for(lock, kReleaseWait, [this] {
    return pool_.appends_under_way == 0 && floor_.appends_under_way == 0;
  });
}

std::string BudgetService::StatusJson() const {
  const std::lock_guard lock(mutex_);
  const MonoTime now = steady_clock::now();
  nlohmann::json status = nlohmann::json::object();
  for (const Level* it : {&pool_, &floor_}) {
    if (!it->lease)
      continue;
    const BudgetFold& fold = it->lease->fold();
    status[it->stream.value()] = {
        {"holder", fold.holder()},
        {"epoch", fold.epoch() ? ToString(*fold.epoch()) : ""},
        {"held_here", it->lease->holds(now)},
        {"takers", it->dealer->grantee_count()}};
  }
  return status.dump();
}

}  // namespace mangoport
