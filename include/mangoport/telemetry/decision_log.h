#ifndef MANGOPORT_TELEMETRY_DECISION_LOG_H_
#define MANGOPORT_TELEMETRY_DECISION_LOG_H_

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "mangoport/core/time.h"

namespace mangoport {

/// One line of the decision log: an event's name, then key=value pairs. Values
/// with blanks or quotes are quoted.
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, const char* value) {
    return Add(key, std::string_view(value));
  }
  template <std::integral T>
  LogLine& Add(std::string_view key, T value) {
    const std::string text = std::to_string(value);
    return Add(key, text);
  }
  LogLine& Add(std::string_view key, bool value) {
    return Add(key, value ? "yes" : "no");
  }
  /// In milliseconds, with one decimal place.
  LogLine& Add(std::string_view key, Duration value);

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// Writes decisions to standard output without ever waiting for its reader.
///
/// Lines gather in a buffer that the event loop flushes as far as the reader
/// takes them. Once the buffer is full, lines are left out and counted; the
/// count is a line of its own as soon as there is room.
class DecisionLog {
 public:
  struct Settings {
    std::size_t max_buffered_bytes = std::size_t{256} * 1024;
    /// A buffer this full asks to be flushed before the usual time.
    std::size_t flush_bytes = std::size_t{16} * 1024;
    /// Where lines go.
    int fd = 1;
  };

  explicit DecisionLog(const Settings& settings);
  DecisionLog() : DecisionLog(Settings{}) {}
  ~DecisionLog();

  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(const LogLine& line);

  /// Writes out what the reader takes now.
  void Flush();

  bool wants_flush() const;
  std::size_t buffered() const;
  std::uint64_t left_out() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_TELEMETRY_DECISION_LOG_H_
