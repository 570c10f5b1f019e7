#ifndef MANGOPORT_TOOLS_STANDIN_SERVER_H_
#define MANGOPORT_TOOLS_STANDIN_SERVER_H_

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "tools/standin/fault.h"
#include "tools/standin/flags.h"

namespace mangoport::standin {

using Json = nlohmann::json;
using HttpRequest = httplib::Request;
using HttpResponse = httplib::Response;

/// Flags that every role takes.
struct ServerOptions {
  std::string name{};
  std::string port_file{};
  std::string crash_on{};
  int port = 0;
  int threads = 256;

  void AddTo(Flags& flags);
};

/// The connection on which a request came, found by its two ports.
class Connection {
 public:
  explicit Connection(const HttpRequest& req);

  /// Closes it both ways at once; the caller sees no answer.
  void Abort() const;

  bool IsClosedByPeer() const;

  /// Stays silent until the peer gives up.
  void HoldSilent() const;

 private:
  int fd_ = -1;
};

/// An HTTP server with the fault interface, the health page and the counts
/// that every role has.
class Server {
 public:
  using Handler = std::function<void(const HttpRequest&, HttpResponse&)>;

  explicit Server(ServerOptions options);

  void Get(const std::string& pattern, Handler handler);
  void Post(const std::string& pattern, Handler handler);
  void Put(const std::string& pattern, Handler handler);
  void Delete(const std::string& pattern, Handler handler);

  /// Adds a role's own counts to GET /standin/stats.
  void OnStats(std::function<void(Json&)> add) { add_stats_ = std::move(add); }

  FaultPlan& faults() { return faults_; }
  const std::string& name() const { return options_.name; }

  /// Binds loopback, writes the port file and serves until killed. Returns an
  /// exit code.
  int Run();

 private:
  httplib::Server::Handler Guard(Handler handler);
  void Count(const HttpRequest& req);
  void SetFault(const HttpRequest& req, HttpResponse& res);
  Json StatsJson();
  bool WritePortFile(int port) const;

  const ServerOptions options_;
  httplib::Server http_;
  FaultPlan faults_;
  std::function<void(Json&)> add_stats_;

  std::mutex mutex_;
  std::uint64_t requests_ = 0;
  std::set<int> connections_;
  std::map<std::string, std::set<std::string>> headers_seen_;
};

void Reply(HttpResponse& res, int status, const Json& body);
void ReplyError(HttpResponse& res, int status, const std::string& error);

/// A number among the query parameters, or `fallback`.
std::uint64_t QueryNumber(const HttpRequest& req,
                          const std::string& name,
                          std::uint64_t fallback);

MonoTime Now();

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_SERVER_H_
