#include "mangoport/http/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace mangoport {
namespace {

constexpr std::string_view kIdField = "id:";

/// So many equal steps, and no others, show that a stream's ids rise evenly.
constexpr std::size_t kEvenSteps = 3;

/// Takes the first line off `text`, without its end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    std::string_view line = TakeLine(event);
    if (!line.starts_with(kIdField))
      continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' '))
      line.remove_prefix(1);
    std::uint64_t id = 0;
    const char* end = line.data() + line.size();
    const auto parsed = std::from_chars(line.data(), end, id);
    if (parsed.ec == std::errc() && parsed.ptr == end)
      return id;
  }
  return std::nullopt;
}

/// True if the event is only comments, such as those that keep a connection.
bool IsComment(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (!line.empty() && !line.starts_with(':'))
      return false;
  }
  return true;
}

/// The place behind the first empty line of `text` from `from` on.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  while (true) {
    const std::size_t line_end = text.find('\n', from);
    if (line_end == std::string_view::npos)
      return line_end;
    from = line_end + 1;
    const std::string_view rest = text.substr(from);
    if (rest.starts_with('\n'))
      return from + 1;
    if (rest.starts_with("\r\n"))
      return from + 2;
  }
}

}  // namespace

bool EventSplitter::Continues(std::uint64_t id) {
  if (!last_id_)
    return true;
  if (id <= *last_id_)
    return false;
  // Ids need not be consecutive. Where two runs meet, a step that is wider than
  // all others may mean that events are missing.
  if (!joining_ || widest_step_ == 0 || id - *last_id_ <= widest_step_)
    return true;
  const bool even = steps_ >= kEvenSteps && narrowest_step_ == widest_step_;
  return !even && IsConfirmed(id);
}

bool EventSplitter::IsConfirmed(std::uint64_t id) {
  if (wide_join_ && wide_join_->id == id && wide_join_->source != source_)
    return true;
  wide_join_ = WideJoin{.id = id, .source = source_};
  return false;
}

void EventSplitter::NoteStep(std::uint64_t id) {
  // A first id says nothing of steps, unless the caller named the one before or
  // the stream counts from one.
  if (!last_id_ && !origin_ && id != 1)
    return;
  const std::uint64_t before = last_id_.value_or(origin_.value_or(0));
  if (id <= before)
    return;
  const std::uint64_t step = id - before;
  widest_step_ = std::max(widest_step_, step);
  narrowest_step_ = steps_ == 0 ? step : std::min(narrowest_step_, step);
  ++steps_;
}

bool EventSplitter::Accept(std::string_view event) {
  const std::optional<std::uint64_t> id = ParseEventId(event);
  if (!id) {
    if (IsComment(event))
      return true;
    unnumbered_ = !joining_;
    return unnumbered_;
  }
  if (!Continues(*id))
    return false;
  NoteStep(*id);
  joining_ = false;
  unnumbered_ = false;
  last_id_ = id;
  return true;
}

bool EventSplitter::inside_event() const {
  return partial_.find_first_not_of("\r\n") != std::string::npos;
}

std::size_t EventSplitter::Feed(std::string_view data, std::string& whole) {
  if (refused())
    return 0;
  // An event's end may lie across the two pieces.
  constexpr std::size_t kOverlap = 2;
  std::size_t searched = partial_.size() - std::min(partial_.size(), kOverlap);
  partial_.append(data);
  const std::string_view text = partial_;
  std::size_t begin = 0;
  std::size_t n = 0;
  while (true) {
    const std::size_t end = FindEventEnd(text, searched);
    overlong_ = std::min(end, text.size()) - begin > kMaxEventBytes;
    if (overlong_ || end == std::string_view::npos)
      break;
    const std::string_view event = text.substr(begin, end - begin);
    out_of_order_ = !Accept(event);
    if (out_of_order_)
      break;
    begin = end;
    searched = end;
    n += IsComment(event) ? 0 : 1;
  }
  whole.append(partial_, 0, begin);
  partial_.erase(0, begin);
  if (overlong_)
    std::string().swap(partial_);
  return n;
}

void EventSplitter::Restart(std::string_view source) {
  source_ = source;
  partial_.clear();
  out_of_order_ = false;
  overlong_ = false;
  joining_ = last_id_.has_value();
}

}  // namespace mangoport
