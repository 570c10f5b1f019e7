#include "mangoport/telemetry/decision_log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>
#include <utility>

namespace mangoport {
namespace {

/// A pipe that is ready takes this much without blocking.
constexpr std::size_t kAtomicWriteBytes = 4096;

constexpr char kLoggerName[] = "decisions";
constexpr char kLinePattern[] = "%D{%Y-%m-%dT%H:%M:%S.%q} %m%n";

void EnsureInitialized() {
  static log4cplus::Initializer initializer;
}

bool IsPrintable(char c) {
  return c >= ' ' && c <= '~';
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=") != std::string_view::npos ||
         !std::all_of(value.begin(), value.end(), IsPrintable);
}

/// Gathers formatted lines up to a bound.
class BufferAppender final : public log4cplus::Appender {
 public:
  explicit BufferAppender(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  ~BufferAppender() override { destructorImpl(); }

  void close() override { closed = true; }

  std::string& buffer() { return buffer_; }
  std::uint64_t left_out() const { return left_out_; }
  std::uint64_t TakeUnreported() { return std::exchange(unreported_, 0); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    stream_.str({});
    layout->formatAndAppend(stream_, event);
    const std::string line = stream_.str();
    if (buffer_.size() + line.size() > max_bytes_) {
      ++left_out_;
      ++unreported_;
      return;
    }
    buffer_.append(line);
  }

 private:
  std::size_t max_bytes_;
  std::string buffer_;
  log4cplus::tostringstream stream_;
  std::uint64_t left_out_ = 0;
  std::uint64_t unreported_ = 0;
};

}  // namespace

LogLine::LogLine(std::string_view event) : text_("event=") {
  text_.append(event);
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  text_.push_back(' ');
  text_.append(key);
  text_.push_back('=');
  if (!NeedsQuotes(value)) {
    text_.append(value);
    return *this;
  }
  text_.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\')
      text_.push_back('\\');
    text_.push_back(IsPrintable(c) ? c : ' ');
  }
  text_.push_back('"');
  return *this;
}

LogLine& LogLine::Add(std::string_view key, Duration value) {
  const auto tenths =
      std::chrono::duration_cast<std::chrono::microseconds>(value).count() /
      100;
  std::string text = std::to_string(tenths / 10);
  text.push_back('.');
  text.append(std::to_string(std::abs(tenths % 10)));
  return Add(key, text);
}

struct DecisionLog::State {
  Settings settings;
  log4cplus::Logger logger;
  log4cplus::helpers::SharedObjectPtr<BufferAppender> appender;
};

DecisionLog::DecisionLog(const Settings& settings)
    : state_(std::make_unique<State>()) {
  EnsureInitialized();
  state_->settings = settings;
  state_->logger = log4cplus::Logger::getInstance(kLoggerName);
  state_->appender = new BufferAppender(settings.max_buffered_bytes);
  state_->appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(kLinePattern));
  state_->logger.removeAllAppenders();
  state_->logger.setAdditivity(false);
  state_->logger.addAppender(
      log4cplus::SharedAppenderPtr(state_->appender.get()));
  state_->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

DecisionLog::~DecisionLog() {
  Flush();
  state_->logger.removeAllAppenders();
}

void DecisionLog::Write(const LogLine& line) {
  state_->logger.forcedLog(log4cplus::INFO_LOG_LEVEL, line.text());
}

void DecisionLog::Flush() {
  std::string& buffer = state_->appender->buffer();
  std::size_t written = 0;
  while (written < buffer.size()) {
    pollfd ready{.fd = state_->settings.fd, .events = POLLOUT, .revents = 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
      break;
    const std::size_t n = std::min(kAtomicWriteBytes, buffer.size() - written);
    const ssize_t done =
        ::write(state_->settings.fd, buffer.data() + written, n);
    if (done <= 0)
      break;
    written += static_cast<std::size_t>(done);
  }
  buffer.erase(0, written);
  if (!buffer.empty())
    return;
  if (const std::uint64_t missing = state_->appender->TakeUnreported())
    Write(LogLine("log_left_out").Add("lines", missing));
}

bool DecisionLog::wants_flush() const {
  return buffered() >= state_->settings.flush_bytes;
}

std::size_t DecisionLog::buffered() const {
  return state_->appender->buffer().size();
}

std::uint64_t DecisionLog::left_out() const {
  return state_->appender->left_out();
}

}  // namespace mangoport
