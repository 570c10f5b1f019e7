#include "tools/standin/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

#include "lib/adapters/http_server.h"

namespace mangoport::standin {
namespace {

constexpr int kCrashExitCode = 9;
constexpr int kMaxFd = 4096;
constexpr std::size_t kKeepAliveMax = 1000000;
constexpr time_t kKeepAliveTimeoutSeconds = 30;
constexpr Millis kSilencePoll{20};
constexpr std::size_t kMaxValuesPerHeader = 20000;

int PortOf(const sockaddr_in& address) {
  return address.sin_family == AF_INET ? ntohs(address.sin_port) : -1;
}

/// True for the members that httplib keeps among the headers for itself.
bool IsPseudoHeader(const std::string& name) {
  return name.starts_with("REMOTE_") || name.starts_with("LOCAL_");
}

}  // namespace

void ServerOptions::AddTo(Flags& flags) {
  flags.Add("name", &name);
  flags.Add("port-file", &port_file);
  flags.Add("port", &port);
  flags.Add("threads", &threads);
  flags.Add("crash-on", &crash_on);
}

Connection::Connection(const HttpRequest& req) {
  for (int fd = 3; fd < kMaxFd; ++fd) {
    sockaddr_in peer{};
    sockaddr_in own{};
    socklen_t n = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &n) != 0 ||
        PortOf(peer) != req.remote_port)
      continue;
    n = sizeof(own);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&own), &n) == 0 &&
        PortOf(own) == req.local_port) {
      fd_ = fd;
      return;
    }
  }
}

void Connection::Abort() const {
  if (fd_ >= 0)
    shutdown(fd_, SHUT_RDWR);
}

bool Connection::IsClosedByPeer() const {
  if (fd_ < 0)
    return true;
  pollfd it{fd_, POLLRDHUP, 0};
  return poll(&it, 1, 0) > 0 &&
         (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Connection::HoldSilent() const {
  while (!IsClosedByPeer())
    std::this_thread::sleep_for(kSilencePoll);
  Abort();
}

Server::Server(ServerOptions options) : options_(std::move(options)) {
  if (!options_.crash_on.empty())
    faults_.AddCrashMarker(options_.crash_on);
  http_.set_tcp_nodelay(true);
  http_.set_keep_alive_max_count(kKeepAliveMax);
  http_.set_keep_alive_timeout(kKeepAliveTimeoutSeconds);
  const auto threads = static_cast<std::size_t>(options_.threads);
  http_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  Get("/healthz", [](const HttpRequest&, HttpResponse& res) {
    Reply(res, 200, {{"status", "ok"}});
  });
  http_.Post("/standin/fault",
             [this](const HttpRequest& req, HttpResponse& res) {
               SetFault(req, res);
             });
  http_.Get("/standin/stats", [this](const HttpRequest&, HttpResponse& res) {
    Reply(res, 200, StatsJson());
  });
}

void Server::Get(const std::string& pattern, Handler handler) {
  http_.Get(pattern, Guard(std::move(handler)));
}

void Server::Post(const std::string& pattern, Handler handler) {
  http_.Post(pattern, Guard(std::move(handler)));
}

void Server::Put(const std::string& pattern, Handler handler) {
  http_.Put(pattern, Guard(std::move(handler)));
}

void Server::Delete(const std::string& pattern, Handler handler) {
  http_.Delete(pattern, Guard(std::move(handler)));
}

httplib::Server::Handler Server::Guard(Handler handler) {
  return [this, handler = std::move(handler)](const HttpRequest& req,
                                              HttpResponse& res) {
    Count(req);
    if (faults_.IsCrashing(req.body))
      _exit(kCrashExitCode);
    const Verdict verdict = faults_.Judge(req.path, Now());
    std::this_thread::sleep_for(verdict.delay);
    if (verdict.outage) {
      ReplyError(res, 503, "outage");
      return;
    }
    if (verdict.drop) {
      Connection(req).Abort();
      return;
    }
    handler(req, res);
    if (verdict.freeze)
      Connection(req).HoldSilent();
    if (verdict.lose_answer)
      Connection(req).Abort();
  };
}

void Server::Count(const HttpRequest& req) {
  const std::lock_guard lock(mutex_);
  ++requests_;
  connections_.insert(req.remote_port);
  for (const auto& [name, value] : req.headers) {
    std::set<std::string>& values = headers_seen_[name];
    if (!IsPseudoHeader(name) && values.size() < kMaxValuesPerHeader)
      values.insert(value);
  }
}

void Server::SetFault(const HttpRequest& req, HttpResponse& res) {
  const std::string error = faults_.Apply(req.body, Now());
  if (!error.empty()) {
    ReplyError(res, 400, error);
    return;
  }
  Reply(res, 200, Json::object());
}

Json Server::StatsJson() {
  Json stats;
  {
    const std::lock_guard lock(mutex_);
    stats = {{"name", options_.name},
             {"requests", requests_},
             {"connections", connections_.size()},
             {"headers_seen", headers_seen_},
             {"crash_markers", faults_.CrashMarkers()}};
  }
  if (add_stats_)
    add_stats_(stats);
  return stats;
}

bool Server::WritePortFile(int port) const {
  if (options_.port_file.empty())
    return true;
  const std::string partial = options_.port_file + ".tmp";
  std::ofstream out(partial);
  out << port << "\n";
  out.close();
  return out.good() &&
         std::rename(partial.c_str(), options_.port_file.c_str()) == 0;
}

int Server::Run() {
  const Endpoint endpoint{"127.0.0.1",
                          static_cast<std::uint16_t>(options_.port)};
  const std::uint16_t port = BindServer(http_, endpoint);
  if (port == 0) {
    std::fprintf(stderr, "standin: cannot bind\n");
    return 1;
  }
  if (!WritePortFile(port)) {
    std::fprintf(stderr, "standin: cannot write %s\n",
                 options_.port_file.c_str());
    return 1;
  }
  std::printf("standin: %s listens on %s:%d\n", options_.name.c_str(),
              endpoint.ip.c_str(), port);
  std::fflush(stdout);
  return http_.listen_after_bind() ? 0 : 1;
}

void Reply(HttpResponse& res, int status, const Json& body) {
  res.status = status;
  res.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace),
                  "application/json");
}

void ReplyError(HttpResponse& res, int status, const std::string& error) {
  Reply(res, status, {{"error", error}});
}

std::uint64_t QueryNumber(const HttpRequest& req,
                          const std::string& name,
                          std::uint64_t fallback) {
  if (!req.has_param(name))
    return fallback;
  return std::strtoull(req.get_param_value(name).c_str(), nullptr, 10);
}

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace mangoport::standin
