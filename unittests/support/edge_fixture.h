#ifndef MANGOPORT_UNITTESTS_SUPPORT_EDGE_FIXTURE_H_
#define MANGOPORT_UNITTESTS_SUPPORT_EDGE_FIXTURE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <httplib.h>

#include "mangoport/core/time.h"
#include "unittests/support/platform_standin.h"
#include "unittests/support/process.h"
#include "unittests/support/scripted_backend.h"

namespace mangoport {

/// Ends the test if `holds` is false. Throws std::runtime_error.
void Require(bool holds, const std::string& what);

/// A port of loopback that nothing listened on a moment ago.
std::uint16_t FreePort();

/// One client account "t1" with the given keys; a resumable stream, a route
/// that runs once and an idempotent one, all on service "s".
std::string Config(int version, const std::string& keys);

/// The same with a model "m1" that no server holds, and callers of the stream
/// who wait `load_s` seconds and more for it.
std::string ConfigWithModel(int version, int load_s);

/// The events `first` to `last` of a stand-in's stream, as callers see them.
std::string Events(int first, int last);

/// A host as a process, with a store and two backend servers "i-a" and "i-b"
/// that are listed as ready.
class EdgeFixture {
 public:
  /// `bounds` are lines for the settings' table of that name. The host may have
  /// `max_descriptors` open, zero for as many as the test.
  explicit EdgeFixture(const std::string& bounds = "", int max_descriptors = 0);
  ~EdgeFixture();

  EdgeFixture(const EdgeFixture&) = delete;
  EdgeFixture& operator=(const EdgeFixture&) = delete;

  static bool Within(Duration limit, const std::function<bool()>& holds);

  bool Ready() const;

  void List(const BackendStandin& server, const std::string& state);
  void List(const ScriptedBackend& server, const std::string& state);
  /// Takes a backend server off the store's list.
  void Unlist(const std::string& id);

  /// One request on a connection of its own.
  httplib::Result Ask(const std::string& path,
                      const httplib::Headers& more = {},
                      const std::string& key = "k1") const;

  /// Sends raw bytes and returns what comes back until the host closes.
  std::string Raw(const std::string& bytes) const;

  /// The same, but calls `pause` before anything is read if `begun` holds
  /// within a tenth of a second.
  std::string RawSlowly(const std::string& bytes,
                        const std::function<bool()>& begun,
                        const std::function<void()>& pause) const;

  /// What the host has logged so far.
  std::string Log() const;

  std::size_t SeenInAll() const { return a_.seen().size() + b_.seen().size(); }

  StoreStandin store_;
  BackendStandin a_;
  BackendStandin b_;
  std::uint16_t callers_ = 0;
  std::uint16_t readiness_ = 0;
  std::string settings_;
  std::unique_ptr<Process> process_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_EDGE_FIXTURE_H_
