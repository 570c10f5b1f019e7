#include "mangoport/http/event_splitter.h"

#include <charconv>

namespace mangoport {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      std::uint64_t id = 0;
      const auto parsed =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (parsed.ec == std::errc())
        return id;
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::NoteEvent(std::string_view event) {
  const std::optional<std::uint64_t> id = ParseEventId(event);
  if (!id)
    return;
  if (last_id_ && *id <= *last_id_)
    out_of_order_ = true;
  last_id_ = id;
}

bool EventSplitter::inside_event() const {
  return partial_.find_first_not_of("\r\n") != std::string::npos;
}

std::size_t EventSplitter::Feed(std::string_view data, std::string& whole) {
  // An event's end may lie across the two pieces.
  std::size_t searched = partial_.empty() ? 0 : partial_.size() - 1;
  partial_.append(data);
  std::size_t begin = 0;
  std::size_t n = 0;
  while (true) {
    const std::size_t end = partial_.find(kEventEnd, searched);
    if (end == std::string::npos)
      break;
    const std::size_t next = end + kEventEnd.size();
    const std::string_view text = partial_;
    NoteEvent(text.substr(begin, next - begin));
    begin = next;
    searched = next;
    ++n;
  }
  whole.append(partial_, 0, begin);
  partial_.erase(0, begin);
  return n;
}

}  // namespace mangoport
