#ifndef MANGOPORT_ENTRYHOST_BUDGET_SERVICE_H_
#define MANGOPORT_ENTRYHOST_BUDGET_SERVICE_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/caller_api.h"
#include "mangoport/entryhost/log_appender.h"
#include "mangoport/entryhost/log_follower.h"
#include "mangoport/ledger/config_view.h"
#include "mangoport/limits/budget_allocator.h"
#include "mangoport/limits/holder_lease.h"
#include "mangoport/limits/host_budget.h"
#include "mangoport/ports/log_service.h"
#include "mangoport/ports/peer.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

class PeerService;

/// The method under which hosts ask each other for tokens.
inline constexpr std::string_view kBudgetMethod = "budget";

/// The method under which a host that can't read the log asks for the dealers.
inline constexpr std::string_view kBudgetDealersMethod = "budget-dealers";

/// Keeps this host's token budgets, and deals tokens to others while it holds
/// a budget stream's lease.
///
/// All decisions are those of `limits`; this class gives them the log, the
/// peers and the time, under one lock that is not held over either.
class BudgetService {
 public:
  /// `zone_count` is the number of availability zones of the whole fleet.
  BudgetService(LogService& log,
                const HostId& host,
                const ZoneId& zone,
                int zone_count);
  ~BudgetService();

  BudgetService(const BudgetService&) = delete;
  BudgetService& operator=(const BudgetService&) = delete;

  /// Takes over the rates and bursts of a configuration, unless a newer one is
  /// in use.
  void SetConfig(const ConfigView& view);

  /// Starts to follow the streams and to contend for their leases. `address`
  /// is where this host answers peers; `peers` outlives this object.
  void Start(const std::string& address, PeerService& peers);

  /// Answers a peer that asks who deals.
  void OnDealersRequest(const std::function<void(std::string)>& respond) const;

  /// Answers a peer that asks for tokens.
  void OnPeerRequest(const std::string& body,
                     const std::function<void(std::string)>& respond);

  /// Charges a request, waiting for a grant for a short while if need be.
  BudgetDecision Charge(MonoTime arrived,
                        const AccountId& account,
                        std::uint64_t tokens);

  /// True once a dealer has answered, or after a while without one.
  bool ready() const;

  /// Gives up the leases at a planned stop, after the last request, and gives
  /// the log a moment to take it.
  void Release();

  /// Asks and deals no more. Peers may go after this.
  void Stop();

  /// Balances and leases, as JSON for operators.
  std::string StatusJson() const;

 private:
  class ChargeHandle;

  /// A dealer, and where it answers.
  struct KnownDealer {
    AllocatorId id;
    Endpoint address;
  };

  /// This host's part in one budget stream.
  struct Level {
    StreamId stream;
    std::unique_ptr<HolderLease> lease;
    std::unique_ptr<BudgetAllocator> dealer;
    std::unique_ptr<RecordReader> reader;
    std::unique_ptr<LogAppender> appender;
    std::unique_ptr<LogFollower> follower;
    int appends_under_way = 0;
    /// The stream's dealer as a peer last named it, for use while the log is
    /// unavailable.
    std::optional<KnownDealer> peer_dealer;
  };

  /// A request to a dealer, ready to be sent.
  struct Outgoing {
    PeerAddress holder;
    std::string body;
    bool from_zone = false;
  };

  void OnPage(Level& level, const LogPage& page);
  void OnRecord(Level& level,
                const LogPosition& position,
                const wire::Envelope& envelope);
  void Tick(const std::stop_token& stop);
  void RunHolderLocked(MonoTime now, Level& level);
  void AppendLocked(Level& level, const wire::BudgetRecord& record);
  void ChooseDealerLocked(MonoTime now);
  /// Whether the zone's dealer is worth asking: it answers, or has not yet been
  /// asked for long.
  bool ZoneAnswersLocked(MonoTime now, const AllocatorId& zone);
  /// The stream's present dealer: from the log, or else as a peer last named
  /// it.
  std::optional<KnownDealer> DealerOf(const Level& level) const;
  bool MustAskForDealersLocked(MonoTime now);
  void AskForDealers();
  void OnDealers(const wire::BudgetDealers& dealers);
  void AddRequestLocked(const wire::BudgetRequest& request,
                        bool from_zone,
                        std::vector<Outgoing>& outgoing) const;
  void Send(Outgoing outgoing);
  void OnReply(const wire::BudgetReply& reply, bool from_zone);
  void Refund(SpendReceipt receipt, std::uint64_t unused);

  LogService& log_;
  const std::string name_;
  const BudgetSettings settings_;
  PeerService* peers_ = nullptr;
  MonoTime started_at_;
  mutable std::mutex mutex_;
  std::condition_variable replied_;
  std::condition_variable appended_;
  HostBudget budget_;
  Level pool_;
  Level floor_;
  /// The zone's dealer as it was last asked; since when; its last answer.
  std::optional<AllocatorId> zone_dealer_;
  MonoTime zone_asked_since_;
  MonoTime zone_replied_at_;
  std::uint64_t config_offset_ = 0;
  MonoTime asked_for_dealers_at_;
  std::jthread ticker_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_BUDGET_SERVICE_H_
