#ifndef MANGOPORT_CLI_CONFIG_CLIENT_H_
#define MANGOPORT_CLI_CONFIG_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mangoport/config.pb.h"
#include "mangoport/core/time.h"
#include "mangoport/ledger/config_fold.h"
#include "mangoport/ports/log_service.h"
#include "mangoport/settings/operator_settings.h"

namespace mangoport {

enum class PublishStatus {
  kAccepted,
  /// The fold refused it; another change won, or it breaks a rule.
  kRefused,
  /// The log did not take it.
  kNotAppended,
  /// The log gave no answer and the change has not been found in it yet.
  kUnknown,
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  std::string reason;
  /// The first offset after the change, once it is accepted.
  std::uint64_t in_force_from = 0;
};

/// The configuration as an operator's command sees and changes it.
class ConfigClient {
 public:
  ConfigClient(LogService& log, std::string author);

  /// Reads the stream to its end. False if the log does not answer or the
  /// state can't be known.
  bool Refresh();

  const ConfigView& view() const { return *fold_.view(); }
  const ItemMap& items() const { return view().items(); }

  /// Appends `change`, based on what was last read, and reads its verdict.
  PublishResult Publish(wire::ConfigChange change, WallTime now);

 private:
  LogPage Read();

  LogService& log_;
  std::string author_;
  ConfigFold fold_;
  RecordWriter writer_;
  std::vector<ChangeVerdict> verdicts_;
};

}  // namespace mangoport

#endif  // MANGOPORT_CLI_CONFIG_CLIENT_H_
