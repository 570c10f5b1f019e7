#ifndef MANGOPORT_METRICS_HOST_METRICS_H_
#define MANGOPORT_METRICS_HOST_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// The metrics of one entry host, named as Prometheus users expect. No key and
/// no prompt is ever part of one.
class HostMetrics {
 public:
  HostMetrics();
  ~HostMetrics();

  HostMetrics(const HostMetrics&) = delete;
  HostMetrics& operator=(const HostMetrics&) = delete;

  /// A caller's request ended. `code` is "ok" or an error code's name.
  void CountRequest(const AccountId& account,
                    std::string_view surface,
                    std::string_view code);
  void ObserveFirstToken(Duration since_arrival);
  void ObserveTokenGap(Duration since_last_token);
  void CountTokens(const AccountId& account, std::uint64_t tokens);

  /// An attempt at a backend server ended.
  void CountAttempt(std::string_view outcome);

  void SetConfigOffset(std::uint64_t offset);
  void SetConfigEvidenceAge(Duration age);
  void SetActiveRequests(std::uint64_t n);
  void CountLogAppend(std::string_view stream, std::string_view outcome);

  /// The text exposition format.
  std::string Render() const;

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_METRICS_HOST_METRICS_H_
