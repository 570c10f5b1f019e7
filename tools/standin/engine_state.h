#ifndef MANGOPORT_TOOLS_STANDIN_ENGINE_STATE_H_
#define MANGOPORT_TOOLS_STANDIN_ENGINE_STATE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangoport/core/time.h"
#include "tools/standin/batcher.h"
#include "tools/standin/flags.h"

namespace mangoport::standin {

/// An order as it comes on POST /control/orders.
struct EngineOrder {
  std::string order_id;
  std::uint64_t epoch = 0;
  std::string kind;
  /// The base model of an adapter; empty serves any.
  std::string model;
  std::string name;
  std::string version;
  std::int64_t size_mb = 0;
};

enum class OrderAnswer { kAccepted, kStaleEpoch, kNoMemory, kUnknownKind };

struct EngineStateOptions {
  std::string engine;
  std::int64_t memory_mb = 80000;
  std::int64_t preload_size_mb = 10000;
  Millis load_time{50};
  Millis report_lag{0};
  bool honours_fencing = true;
  /// Fetches weights; false if the store refused for good.
  std::function<bool(const EngineOrder&)> fetch;
};

/// What an engine holds in memory, and the orders that change it. Memory is
/// taken when a load starts and given back when an unload is complete.
class EngineState {
 public:
  EngineState(EngineStateOptions options, Batcher* batcher);

  /// Loads "name[@version][:size_mb]" at once.
  bool Preload(const std::string& item);

  OrderAnswer Accept(const EngineOrder& order);

  /// Starts a completion if its model and adapter are loaded; otherwise
  /// returns null and sets `error`.
  std::shared_ptr<Generation> Submit(CompletionRequest request,
                                     std::string* error);

  /// The report as it was `report_lag` ago.
  nlohmann::json Report(MonoTime now);
  void AddTo(nlohmann::json& stats) const;

 private:
  /// A model version, an adapter or imported KV cache that takes memory.
  struct Holding {
    std::string kind{};
    std::string model{};
    std::string name{};
    std::string version{};
    std::int64_t size_mb = 0;
    bool ready = false;
  };

  struct OrderState {
    std::string order_id;
    std::string state;
  };

  struct OldReport {
    MonoTime made_at;
    nlohmann::json report;
  };

  Holding* Find(const EngineOrder& order);
  bool IsLoaded(const CompletionRequest& request, std::string* error) const;
  OrderAnswer Begin(const EngineOrder& order);
  void Execute(const EngineOrder& order);
  void ExecuteUnload(const EngineOrder& order);
  void Finish(const EngineOrder& order, bool done);
  void Remove(const EngineOrder& order);
  std::int64_t UsedMb() const;
  nlohmann::json MakeReport() const;
  void SampleReports();

  const EngineStateOptions options_;
  Batcher* const batcher_;
  mutable std::mutex mutex_;
  std::vector<Holding> holdings_;
  std::deque<OrderState> orders_;
  std::map<std::string, std::uint64_t> times_received_;
  std::uint64_t highest_epoch_ = 0;
  std::string role_ = "mixed";
  std::deque<OldReport> reports_;
  std::int64_t most_used_mb_ = 0;
  std::uint64_t overcommit_attempts_ = 0;
  std::uint64_t stale_refused_ = 0;
  std::uint64_t stale_executed_ = 0;
};

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_ENGINE_STATE_H_
