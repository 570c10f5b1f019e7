#ifndef MANGOPORT_HTTP_EVENT_SPLITTER_H_
#define MANGOPORT_HTTP_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangoport {

/// The largest event that is held until it is whole, in bytes. Many streams are
/// read at once, and each may have one that is not whole yet.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

/// Cuts a `text/event-stream` body into whole events, so that a stream which
/// breaks in the middle of an event can be continued after the last whole one
/// by another run. A run with an event of more than `kMaxEventBytes` is
/// refused, as one whose bytes are no events.
///
/// Event ids rise within a stream. A run that continues one must begin with the
/// event that follows the last one: an event without an id, a repeat or a gap
/// shows that it does something else. A step wider than all before is a gap in
/// a stream whose ids rise evenly; in any other it is refused until the run of
/// another server begins with the same id.
class EventSplitter {
 public:
  /// Says that the caller has the events up to `id` from an earlier request.
  void StartAfter(std::uint64_t id) { origin_ = id; }

  /// Takes in body bytes and appends to `whole` the events that are complete by
  /// now and go on with the stream. Returns how many those are; comments are
  /// passed on and not counted. After the first event that does not go on or is
  /// too large, nothing more is taken in until `Restart`.
  std::size_t Feed(std::string_view data, std::string& whole);

  /// The id of the newest event that was passed on, if any had one.
  const std::optional<std::uint64_t>& last_id() const { return last_id_; }

  /// True if an event has begun and is not complete: a stream that ends here
  /// has been broken off, however its end is marked.
  bool inside_event() const;

  /// Bytes of an event that is not complete yet.
  const std::string& partial() const { return partial_; }

  /// True if an event did not go on with the stream.
  bool out_of_order() const { return out_of_order_; }

  /// True if an event was too large.
  bool overlong() const { return overlong_; }

  /// True if nothing more of this run is taken in.
  bool refused() const { return out_of_order_ || overlong_; }

  /// True if another run can continue the stream: no event without an id has
  /// been passed on since the last one with an id.
  bool resumable() const { return !unnumbered_; }

  /// Another run continues the stream, from the server `source`. Drops the
  /// incomplete event.
  void Restart(std::string_view source = {});

  /// Remembers the run that `other`, a copy of this, has refused for its step.
  void NoteRefusal(const EventSplitter& other) {
    wide_join_ = other.wide_join_;
  }

 private:
  /// False if the event does not go on with the stream.
  bool Accept(std::string_view event);
  bool Continues(std::uint64_t id);
  /// True if the run of another server began at this id before.
  bool IsConfirmed(std::uint64_t id);
  void NoteStep(std::uint64_t id);

  /// The first event of a run that was refused for its wide step.
  struct WideJoin {
    std::uint64_t id = 0;
    std::string source;
  };

  std::string partial_;
  std::optional<std::uint64_t> origin_;
  std::optional<std::uint64_t> last_id_;
  /// The largest rise from one id to the next so far; zero if there was none.
  std::uint64_t widest_step_ = 0;
  std::uint64_t narrowest_step_ = 0;
  std::size_t steps_ = 0;
  std::optional<WideJoin> wide_join_;
  /// The server of the run that is being read.
  std::string source_;
  /// The next event is the first of a run that continues the stream.
  bool joining_ = false;
  bool unnumbered_ = false;
  bool out_of_order_ = false;
  bool overlong_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_HTTP_EVENT_SPLITTER_H_
