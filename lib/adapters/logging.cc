#include "mangoport/adapters/logging.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace mangoport {
namespace {

/// A sentence that was written within this time is counted instead.
constexpr Duration kRepeatInterval = std::chrono::seconds(5);

/// More different sentences than this are not told apart.
constexpr std::size_t kMaxRemembered = 256;

void EnsureInitialized() {
  static log4cplus::Initializer initializer;
}

log4cplus::LogLevel ParseLevel(const std::string& level) {
  if (level == "debug")
    return log4cplus::DEBUG_LOG_LEVEL;
  if (level == "warn")
    return log4cplus::WARN_LOG_LEVEL;
  if (level == "error")
    return log4cplus::ERROR_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}

/// One JSON object a line.
class JsonLayout final : public log4cplus::Layout {
 public:
  explicit JsonLayout(std::string host) : host_(std::move(host)) {}

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const nlohmann::json line = {
        {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        event.getTimestamp().time_since_epoch())
                        .count()},
        {"level", llmCache.toString(event.getLogLevel())},
        {"host", host_},
        {"part", event.getLoggerName()},
        {"message", event.getMessage()}};
    output << line.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace)
           << "\n";
  }

 private:
  std::string host_;
};

}  // namespace

struct Logger::State {
  struct Repeat {
    std::chrono::steady_clock::time_point written;
    std::uint64_t suppressed = 0;
  };

  log4cplus::Logger logger;
  std::mutex mutex;
  std::unordered_map<std::string, Repeat> repeats;
};

void SetUpLogging(const LogSettings& settings, const HostId& host) {
  EnsureInitialized();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  if (settings.json) {
    appender->setLayout(std::make_unique<JsonLayout>(host.value()));
  } else {
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n"));
  }
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ParseLevel(settings.level));
}

Logger::Logger(std::string_view part) : state_(std::make_unique<State>()) {
  EnsureInitialized();
  state_->logger = log4cplus::Logger::getInstance(std::string(part));
}

Logger::~Logger() = default;

void Logger::Debug(const std::string& sentence) {
  Write(log4cplus::DEBUG_LOG_LEVEL, sentence);
}

void Logger::Info(const std::string& sentence) {
  Write(log4cplus::INFO_LOG_LEVEL, sentence);
}

void Logger::Warn(const std::string& sentence) {
  Write(log4cplus::WARN_LOG_LEVEL, sentence);
}

void Logger::Error(const std::string& sentence) {
  Write(log4cplus::ERROR_LOG_LEVEL, sentence);
}

void Logger::Write(int level, const std::string& sentence) {
  if (!state_->logger.isEnabledFor(level))
    return;
  const auto now = std::chrono::steady_clock::now();
  std::uint64_t suppressed = 0;
  {
    const std::lock_guard lock(state_->mutex);
    if (state_->repeats.size() >= kMaxRemembered)
      state_->repeats.clear();
    State::Repeat& it = state_->repeats[sentence];
    if (it.written.time_since_epoch().count() != 0 &&
        now - it.written < kRepeatInterval) {
      ++it.suppressed;
      return;
    }
    suppressed = std::exchange(it.suppressed, 0);
    it.written = now;
  }
  std::string line = sentence;
  if (suppressed != 0)
    line += " (" + std::to_string(suppressed) + " more like it before)";
  state_->logger.log(level, line);
}

}  // namespace mangoport
