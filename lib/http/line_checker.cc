#include "lib/http/line_checker.h"

#include "mangoport/http/message.h"

namespace mangoport {
namespace {

/// How a status line begins; '#' stands for a digit.
constexpr std::string_view kStatusLineStart = "HTTP/1.# ###";
/// Where in it the status is, which is 100 to 599.
constexpr std::size_t kStatusAt = kStatusLineStart.find(" #") + 1;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsHexDigit(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

}  // namespace

void LineChecker::Begin(HttpLine kind, bool allows_bare_lf) {
  *this = LineChecker();
  kind_ = kind;
  allows_bare_lf_ = allows_bare_lf;
}

std::size_t LineChecker::Feed(std::string_view data) {
  std::size_t n = 0;
  while (n < data.size() && !ended_) {
    if (!Accepts(data[n]))
      return 0;
    after_cr_ = data[n] == '\r';
    ended_ = data[n] == '\n';
    ++size_;
    ++n;
  }
  return n;
}

bool LineChecker::Accepts(char c) {
  if (after_cr_)
    return c == '\n';
  if (c == '\r')
    return MayEnd();
  if (c == '\n')
    return allows_bare_lf_;
  if (IsControl(c))
    return false;
  switch (kind_) {
    case HttpLine::kRequestLine:
      return true;
    case HttpLine::kStatusLine:
      return AcceptsInStatusLine(c);
    case HttpLine::kField:
      // A line that continues the one before it.
      return size_ > 0 || !IsBlank(c);
    case HttpLine::kChunkSize:
      return AcceptsInChunkSize(c);
    case HttpLine::kChunkEnd:
      return false;
  }
  return false;
}

bool LineChecker::AcceptsInStatusLine(char c) const {
  if (size_ == kStatusAt)
    return c >= '1' && c <= '5';
  if (size_ == kStatusLineStart.size())
    return c == ' ';
  if (size_ > kStatusLineStart.size())
    return true;
  const char expected = kStatusLineStart[size_];
  return expected == '#' ? IsDigit(c) : c == expected;
}

bool LineChecker::AcceptsInChunkSize(char c) {
  if (chunk_size_part_ == ChunkSizePart::kExtension)
    return true;
  if (c == ';')
    chunk_size_part_ = ChunkSizePart::kExtension;
  else if (IsBlank(c))
    chunk_size_part_ = ChunkSizePart::kBlanks;
  else
    return chunk_size_part_ == ChunkSizePart::kDigits && IsHexDigit(c);
  return true;
}

bool LineChecker::MayEnd() const {
  // A server may leave out the blank before an empty reason.
  return kind_ != HttpLine::kStatusLine || size_ >= kStatusLineStart.size();
}

}  // namespace mangoport
