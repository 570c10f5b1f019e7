#ifndef MANGOPORT_ADAPTERS_LOGGING_H_
#define MANGOPORT_ADAPTERS_LOGGING_H_

#include <memory>
#include <string>
#include <string_view>

#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// Sets the level and form of all logs; they go to standard error. `host` is
/// part of each JSON line.
void SetUpLogging(const LogSettings& settings, const HostId& host);

/// The log of one part. Every line starts with the part's name; a sentence
/// that is repeated many times a second is written once and then counted.
class Logger {
 public:
  explicit Logger(std::string_view part);
  ~Logger();

  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void Debug(const std::string& sentence);
  void Info(const std::string& sentence);
  void Warn(const std::string& sentence);
  void Error(const std::string& sentence);

 private:
  struct State;

  void Write(int level, const std::string& sentence);

  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ADAPTERS_LOGGING_H_
