#ifndef MANGOPORT_FLEET_FEED_TRACK_H_
#define MANGOPORT_FLEET_FEED_TRACK_H_

#include <cstdint>
#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// When a read showed that a feed had nothing newer. Times are on a clock that
/// goes on through a suspension.
struct FeedProof {
  BootTime sent_at;
  BootTime answered_at;
};

/// How far a host has read a feed of the store, by its own word.
struct FeedWord {
  /// The position behind everything that it has read.
  std::uint64_t position = 0;
  /// All news from here to `position` came with the word.
  std::uint64_t complete_from = 0;
  /// On the receiver's clock, and not before these times; none if the receiver
  /// can't tell how old the word is.
  std::optional<FeedProof> proof = std::nullopt;
};

/// What a host makes of another's word.
enum class WordUse {
  /// Nothing is lacking, or all of it came with the word.
  kCurrent,
  /// There may be news that did not come with the word.
  kBehind,
};

struct FeedTrackSettings {
  /// From the answer to a reader's call to its next call.
  Duration interval{};
  /// A host that does not read the feed begins to once the newest word from one
  /// that does is older than this.
  Duration patience{};
};

/// How far this host has followed a feed of the store, and when it reads it.
///
/// A few hosts read each feed for all and pass the news on. The others read
/// only what they are told that they lack, and read for themselves as soon as
/// no reader's word is fresh, so that a fleet that loses its readers, or a host
/// that is cut off from them, is no worse off than without them.
///
/// Answers the load of a large fleet on the store: the calls grow with the
/// readers, not with the hosts.
class FeedTrack {
 public:
  explicit FeedTrack(const FeedTrackSettings& settings) : settings_(settings) {}

  void set_reader(bool reader) { reader_ = reader; }

  /// This host's own read has shown everything up to `next`. False if a word
  /// that came meanwhile reached further, so that the read brings nothing.
  bool OnRead(const FeedProof& proof, std::uint64_t next);

  /// Makes use of another host's word, and takes its position if that is
  /// `kCurrent`.
  WordUse OnWord(const FeedWord& word);

  /// What `OnWord` would say.
  WordUse Judge(const FeedWord& word) const;

  /// A word has told of news that this host must read now.
  void ReadSoon() { read_soon_ = true; }

  /// The position is no longer kept: the next read is of the present state.
  void Restart() { position_.reset(); }

  /// True if this host reads the feed regularly.
  bool ReadsItself(BootTime now) const;

  /// How long to wait before the next read; zero if it is due.
  Duration Wait(BootTime now) const;

  /// What this host tells the others; none if it has not read the feed lately.
  std::optional<FeedWord> OwnWord(BootTime now,
                                  std::uint64_t complete_from) const;

  /// None before the first read.
  const std::optional<std::uint64_t>& position() const { return position_; }

 private:
  FeedTrackSettings settings_;
  std::optional<std::uint64_t> position_;
  /// The newest read of this host's own.
  std::optional<FeedProof> proof_;
  /// When the newest word from another reader was true.
  std::optional<BootTime> relayed_at_;
  bool reader_ = false;
  bool read_soon_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_FEED_TRACK_H_
