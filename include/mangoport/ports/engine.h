#ifndef MANGOPORT_PORTS_ENGINE_H_
#define MANGOPORT_PORTS_ENGINE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// One call of a model engine. The caller's key is no part of it.
struct CompletionCall {
  RequestId request;
  ModelId model;
  AdapterId adapter;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  /// Index of the first token wanted; above zero when a stream is resumed.
  std::uint32_t resume_from = 0;
  Duration connect_timeout{};
  /// The longest silence before the first token, and then between tokens.
  Duration first_token_timeout{};
  Duration between_tokens_timeout{};
};

/// One event of an engine's stream.
struct TokenEvent {
  RequestId request;
  std::uint32_t index = 0;
  std::string text;
  /// The final event, which carries the count and no text.
  bool finished = false;
  std::uint32_t tokens = 0;
};

/// Takes the events of one call; returns false to cancel it.
using TokenSink = std::function<bool(const TokenEvent&)>;

enum class CompletionStatus {
  /// The stream ended with its final event.
  kComplete,
  /// Nothing was sent: no connection came about.
  kNotSent,
  /// The engine answered that it would not run the request.
  kRefused,
  /// The stream broke off or went silent; the engine may still be running it.
  kBroken,
  /// The sink cancelled.
  kCancelled,
};

struct CompletionResult {
  CompletionStatus status = CompletionStatus::kBroken;
  std::string detail;
};

struct LoadedModel {
  ModelId name;
  std::string version;
};

struct LoadedAdapter {
  ModelId model;
  AdapterId name;
};

enum class OrderState { kRunning, kDone, kFailed };

struct ReportedOrder {
  std::string order_id;
  OrderState state = OrderState::kRunning;
};

/// What an engine says of itself, some time ago.
struct EngineReport {
  Duration age{};
  std::uint64_t memory_total_mb = 0;
  std::uint64_t memory_used_mb = 0;
  std::vector<LoadedModel> models;
  std::vector<LoadedAdapter> adapters;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t highest_epoch = 0;
  std::vector<ReportedOrder> orders;
};

/// An order to load, unload or change role.
struct EngineOrder {
  std::string order_id;
  std::uint64_t epoch = 0;
  std::string kind;
  std::string name;
  std::string version;
  std::uint64_t size_mb = 0;
};

enum class OrderStatus { kAccepted, kStaleEpoch, kRefused, kUnknown };

/// Model engines. Every call blocks until it has ended.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Runs one call on a connection of its own, without repeating it.
  virtual CompletionResult Complete(const Endpoint& engine,
                                    const CompletionCall& call,
                                    const TokenSink& sink) = 0;

  virtual void Cancel(const Endpoint& engine, const RequestId& request) = 0;

  virtual std::optional<EngineReport> Report(const Endpoint& engine,
                                             Duration timeout) = 0;

  virtual OrderStatus Order(const Endpoint& engine,
                            const EngineOrder& order,
                            Duration timeout) = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PORTS_ENGINE_H_
