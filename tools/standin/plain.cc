// A plain service: every HTTP request that reaches it runs once, and the runs
// are counted so that a second run of one call shows.
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "tools/standin/roles.h"
#include "tools/standin/server.h"

namespace mangoport::standin {
namespace {

class RunCounts {
 public:
  std::uint64_t Add(const std::string& path, const std::string& reference) {
    const std::lock_guard lock(mutex_);
    return ++runs_[path][reference];
  }

  void AddTo(Json& stats) {
    const std::lock_guard lock(mutex_);
    std::uint64_t doubled = 0;
    for (const auto& [path, references] : runs_) {
      for (const auto& [reference, n] : references)
        doubled += reference.empty() ? 0 : n - 1;
    }
    stats["runs"] = runs_;
    stats["double_runs"] = doubled;
  }

 private:
  std::mutex mutex_;
  /// By path, then by reference; calls without one count under "".
  std::map<std::string, std::map<std::string, std::uint64_t>> runs_;
};

std::string ReferenceOf(const Json& body) {
  if (!body.is_object() || !body.contains("reference"))
    return {};
  const Json& reference = body["reference"];
  return reference.is_string() ? reference.get<std::string>()
                               : reference.dump();
}

}  // namespace

int RunPlain(int argc, char** argv) {
  ServerOptions options{.name = "plain"};
  Millis work{1};
  Flags flags;
  options.AddTo(flags);
  flags.Add("work-ms", &work);
  if (!flags.Parse(argc, argv))
    return 2;

  Server server(options);
  RunCounts counts;
  const Server::Handler run = [&](const HttpRequest& req, HttpResponse& res) {
    const Json body = Json::parse(req.body, nullptr, false);
    const std::uint64_t n = counts.Add(req.target, ReferenceOf(body));
    std::this_thread::sleep_for(work);
    Reply(res, 200,
          {{"run", n}, {"echo", body.is_discarded() ? Json(req.body) : body}});
  };
  server.Get("/calls/.*", run);
  server.Post("/calls/.*", run);
  server.OnStats([&](Json& stats) { counts.AddTo(stats); });
  return server.Run();
}

}  // namespace mangoport::standin
