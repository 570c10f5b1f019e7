#ifndef MANGOPORT_LIB_HTTP_LINE_CHECKER_H_
#define MANGOPORT_LIB_HTTP_LINE_CHECKER_H_

#include <cstddef>
#include <string_view>

namespace mangoport {

/// The lines of the head of an HTTP/1.1 message.
enum class HttpLine {
  kRequestLine,
  kStatusLine,
  /// A field of the head, or the empty line behind it.
  kField,
};

/// Checks the grammar of these lines where http_parser is lenient: line ends,
/// control bytes, continuation lines and status lines. What it accepts is still
/// http_parser's to judge.
class LineChecker {
 public:
  /// A line begins. `allows_bare_lf` says that it may end without CR.
  void Begin(HttpLine kind, bool allows_bare_lf);

  /// Takes in bytes, up to the end of the line at most, and returns how many.
  /// Zero if the line is malformed.
  std::size_t Feed(std::string_view data);

  /// True once the line has ended.
  bool ended() const { return ended_; }

 private:
  bool Accepts(char c);
  bool AcceptsInStatusLine(char c) const;
  bool MayEnd() const;

  HttpLine kind_ = HttpLine::kField;
  /// Bytes of the line so far.
  std::size_t size_ = 0;
  bool allows_bare_lf_ = false;
  bool after_cr_ = false;
  bool ended_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_HTTP_LINE_CHECKER_H_
