#ifndef MANGOPORT_UNITTESTS_SUPPORT_FLEET_H_
#define MANGOPORT_UNITTESTS_SUPPORT_FLEET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mangoport/core/time.h"
#include "unittests/support/process.h"

namespace mangoport {

/// One HTTP header of a request.
struct TestHeader {
  std::string name;
  std::string value;
};

/// What came back; a status of 0 means that no whole answer came, and the body
/// then says why.
struct TestReply {
  int status = 0;
  std::string body;
  std::string retry_after;
  Duration took{};
};

/// What a command printed and how it ended.
struct CommandResult {
  int exit_code = -1;
  std::string output;
};

/// An entry host under test.
struct TestHost {
  std::string id;
  std::string zone;
  std::uint16_t callers = 0;
  std::uint16_t operators = 0;
  std::uint16_t peers = 0;
  std::unique_ptr<Process> process;
};

/// A stand-in under test.
struct TestStandin {
  std::string role;
  std::string name;
  std::uint16_t port = 0;
  std::unique_ptr<Process> process;
};

/// A whole deployment as processes on loopback, in a directory of its own that
/// goes with it. Ports are chosen by the system.
class Fleet {
 public:
  Fleet();
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  TestStandin& StartStandin(const std::string& role,
                            const std::string& name,
                            const std::vector<std::string>& flags = {});

  /// Starts an entry host against the stand-ins named "log" and "hosts".
  /// `extra` is appended to its settings.
  TestHost& StartHost(const std::string& id,
                      const std::string& zone,
                      const std::string& extra = "");

  /// Starts a host again that was killed, with the same settings.
  void RestartHost(const std::string& id);

  /// Sends a host's entry to the stand-in for the platform's host list.
  void ListHost(const TestHost& host, const std::string& state);

  /// Sends a backend server's entry there.
  void ListServer(const std::string& name,
                  const std::string& zone,
                  const std::string& state);

  TestHost& host(const std::string& id);
  TestStandin& standin(const std::string& name);
  const std::vector<std::unique_ptr<TestHost>>& hosts() const { return hosts_; }

  /// Writes a file into the fleet's directory and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text);

  /// Runs a command of the command line; "--config" is given by the fleet.
  CommandResult Run(std::vector<std::string> arguments);

  /// Publishes a fleet file; the test fails here if it is not in force
  /// everywhere.
  void Publish(const std::string& text);

  /// Issues a key for a client account and returns its text.
  std::string IssueKey(const std::string& account);

  /// Injects a fault: `json` is the body for the stand-in's fault interface.
  void Fault(const std::string& standin, const std::string& json);

  /// A stand-in's own account of what it has seen.
  std::string Stats(const std::string& standin);

  /// A host's status page, as JSON; empty if it does not answer.
  std::string StatusOf(const TestHost& host) const;

  /// Waits until every host says that it is ready.
  void AwaitReady();

  const std::string& directory() const { return directory_; }

  /// The texts of all logs of hosts, for searching.
  std::string HostLogs() const;

  /// Logs, metrics and audit trail of every host and what every backend server
  /// saw of requests: all places in which no key may stand.
  std::string EverythingWritten();

 private:
  void WriteOperatorSettings();
  void AwaitPorts(TestHost& host);
  void Spawn(TestHost& host);

  std::string directory_;
  std::atomic<int> commands_{0};
  std::vector<std::unique_ptr<TestStandin>> standins_;
  std::vector<std::unique_ptr<TestHost>> hosts_;
};

TestReply HttpGet(std::uint16_t port,
                  const std::string& path,
                  const std::vector<TestHeader>& headers = {});

TestReply HttpPost(std::uint16_t port,
                   const std::string& path,
                   const std::string& body,
                   const std::vector<TestHeader>& headers = {},
                   Duration timeout = std::chrono::seconds(60));

/// Asks until `holds`, at most for `timeout`; whether it came to hold.
bool Eventually(const std::function<bool()>& holds,
                Duration timeout = std::chrono::seconds(30));

/// The texts of a streamed answer joined; `whole` tells whether it ended with
/// its final event.
struct StreamedText {
  std::string text;
  bool whole = false;
};

StreamedText ParseStream(const std::string& body);

/// Ends the program with a message; for harness failures, not for checks.
[[noreturn]] void Die(const std::string& message);

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_FLEET_H_
