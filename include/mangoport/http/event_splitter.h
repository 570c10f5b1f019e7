#ifndef MANGOPORT_HTTP_EVENT_SPLITTER_H_
#define MANGOPORT_HTTP_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangoport {

/// Cuts a `text/event-stream` body into whole events, so that a stream which
/// breaks in the middle of an event can be continued after the last whole one.
class EventSplitter {
 public:
  /// Takes in body bytes and appends to `whole` all events that are complete
  /// by now. Returns how many those are.
  std::size_t Feed(std::string_view data, std::string& whole);

  /// The id of the newest whole event, if any had one.
  const std::optional<std::uint64_t>& last_id() const { return last_id_; }

  /// Bytes of an event that is not complete yet.
  const std::string& partial() const { return partial_; }

  /// True if an event has begun and is not complete: a stream that ends here
  /// has been broken off, however its end is marked.
  bool inside_event() const;

  /// True if an event's id did not rise: a repeat or an event of another run.
  bool out_of_order() const { return out_of_order_; }

  /// Drops the incomplete event; ids go on from the last whole one.
  void Restart() { partial_.clear(); }

 private:
  void NoteEvent(std::string_view event);

  std::string partial_;
  std::optional<std::uint64_t> last_id_;
  bool out_of_order_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_HTTP_EVENT_SPLITTER_H_
