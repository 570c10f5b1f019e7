#ifndef MANGOPORT_LIB_HTTP_LINE_CHECKER_H_
#define MANGOPORT_LIB_HTTP_LINE_CHECKER_H_

#include <cstddef>
#include <string_view>

namespace mangoport {

/// The lines that frame an HTTP/1.1 message.
enum class HttpLine {
  kRequestLine,
  kStatusLine,
  /// A field of the head or of the trailers, or the empty line behind them.
  kField,
  kChunkSize,
  /// The empty line behind a chunk's data.
  kChunkEnd,
};

/// Checks the grammar of framing lines where http_parser is lenient: line ends,
/// control bytes, continuation lines, status lines and chunk sizes. What it
/// accepts is still http_parser's to judge.
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
  /// How far a line with the size of a chunk has been read.
  enum class ChunkSizePart { kDigits, kBlanks, kExtension };

  bool Accepts(char c);
  bool AcceptsInStatusLine(char c) const;
  bool AcceptsInChunkSize(char c);
  bool MayEnd() const;

  HttpLine kind_ = HttpLine::kField;
  ChunkSizePart chunk_size_part_ = ChunkSizePart::kDigits;
  /// Bytes of the line so far.
  std::size_t size_ = 0;
  bool allows_bare_lf_ = false;
  bool after_cr_ = false;
  bool ended_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_HTTP_LINE_CHECKER_H_
