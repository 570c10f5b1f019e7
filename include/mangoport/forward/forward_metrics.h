#ifndef MANGOPORT_FORWARD_FORWARD_METRICS_H_
#define MANGOPORT_FORWARD_FORWARD_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// Counters and latency histograms of one host, for the metrics address.
class ForwardMetrics {
 public:
  ForwardMetrics();
  ~ForwardMetrics();

  ForwardMetrics(const ForwardMetrics&) = delete;
  ForwardMetrics& operator=(const ForwardMetrics&) = delete;

  /// A caller's request has ended. `outcome` is one of few fixed words.
  void OnRequest(std::string_view kind,
                 const AccountId& account,
                 std::string_view outcome,
                 Duration total);
  /// From a stream request's arrival to its first event.
  void OnFirstEvent(Duration time);
  void OnEvents(std::size_t n);
  void OnAttempt(std::string_view outcome);
  /// A request goes to a server of the host's zone, or of another one and why.
  void OnDispatch(std::string_view zone_use);
  /// A request is kept until there is room at a server.
  void OnHold();
  /// A request was refused; `reason` is one of few fixed words.
  void OnRefusal(std::string_view reason);
  /// A call to the platform or to an engine's own interface.
  void OnCall(std::string_view call, bool ok, Duration time);

  /// This host's list of servers differed from another host's.
  void OnListingDifference();

  /// A read of the store's log stopped short of the log's end.
  void OnShortFeedRead();

  /// A caller's connection was closed since there were too many.
  void OnConnectionGivenUp();
  /// A connection could not be accepted.
  void OnAcceptError();

  void SetConfigVersion(std::uint64_t version);
  void SetActive(std::size_t requests);
  void SetOrderHolder(bool holds);
  /// What is held for callers, and the connections given up for it so far.
  void SetCallerMemory(std::size_t bytes, std::size_t given_up);
  void SetEvacuatedZones(std::size_t zones);
  /// A request was sent to a server that bears only part of its load yet.
  void OnColdDispatch();

  /// All of them, as Prometheus text.
  std::string Serialize() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_FORWARD_METRICS_H_
