#ifndef MANGOPORT_FORWARD_SERVER_SIGNALS_H_
#define MANGOPORT_FORWARD_SERVER_SIGNALS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/forward/dialect.h"
#include "mangoport/http/message.h"

namespace mangoport {

/// What a backend server says of itself in the head of any answer.
struct ServerSignals {
  /// The server shuts down and takes no new requests.
  bool leaving = false;
  /// The server refused and wants no request from this host for so long.
  std::optional<Duration> hold = std::nullopt;
  /// The server asks for a hold whose length can't be read.
  bool unreadable_hold = false;
};

/// The signals in the head of an answer.
ServerSignals ReadServerSignals(const ForwardDialect& dialect,
                                const HttpHead& head);

/// One start of a backend server. A server that starts again under its id has
/// said nothing yet.
struct ServerStart {
  ServerId server;
  /// Milliseconds since 1970, as in `ServerEntry`.
  std::uint64_t started_at_ms = 0;
};

/// Remembers the signals of backend servers, whether they are listed or not:
/// an entry may lapse and come back while the same process runs on.
class ServerSignalTable {
 public:
  /// The server said that it leaves. False if that was known, or if the server
  /// is known to have started again since.
  bool NoteLeaving(MonoTime now, const ServerStart& start);

  bool IsLeaving(const ServerStart& start) const;

  /// The server wants no request until `until`. False if it said so before, or
  /// is known to have started again since.
  bool NoteHold(MonoTime now, const ServerStart& start, MonoTime until);

  /// Until when the server wants no request from this host.
  MonoTime HeldUntil(const ServerStart& start) const;

  /// Drops what servers other than `listed` said long ago.
  void Prune(MonoTime now, const std::set<ServerId>& listed);

 private:
  struct Record {
    std::uint64_t started_at_ms = 0;
    MonoTime noted_at;
    MonoTime held_until;
    bool leaving = false;
  };

  /// The record of this start; null if a later one is known.
  Record* RecordFor(MonoTime now, const ServerStart& start);
  const Record* Find(const ServerStart& start) const;

  std::map<ServerId, Record> records_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_SERVER_SIGNALS_H_
