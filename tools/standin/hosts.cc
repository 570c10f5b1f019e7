// The platform's lists of hosts and of backend servers, both shown as they
// were some time ago.
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "tools/standin/roles.h"
#include "tools/standin/server.h"

namespace mangoport::standin {
namespace {

/// A list whose readers see an older version of it.
class LaggingList {
 public:
  explicit LaggingList(Millis lag) : lag_(lag) {
    versions_.push_back({MonoTime(), {}});
  }

  void Put(const std::string& id, Json item, MonoTime now) {
    const std::lock_guard lock(mutex_);
    Version next{now, versions_.back().items};
    item["id"] = id;
    next.items[id] = std::move(item);
    versions_.push_back(std::move(next));
  }

  void Remove(const std::string& id, MonoTime now) {
    const std::lock_guard lock(mutex_);
    Version next{now, versions_.back().items};
    next.items.erase(id);
    versions_.push_back(std::move(next));
  }

  Json Read(MonoTime now) {
    const std::lock_guard lock(mutex_);
    while (versions_.size() > 1 && versions_[1].made_at + lag_ <= now)
      versions_.pop_front();
    Json items = Json::array();
    for (const auto& [id, item] : versions_.front().items)
      items.push_back(item);
    return items;
  }

  Millis lag() const { return lag_; }

 private:
  struct Version {
    MonoTime made_at;
    std::map<std::string, Json> items;
  };

  const Millis lag_;
  std::mutex mutex_;
  std::deque<Version> versions_;
};

void Serve(Server& server, const std::string& name, LaggingList& list) {
  const std::string all = "/v1/" + name;
  const std::string one = all + "/([^/]+)";
  server.Get(all, [name, &list](const HttpRequest&, HttpResponse& res) {
    Reply(res, 200, {{"age_ms", list.lag().count()}, {name, list.Read(Now())}});
  });
  server.Put(one, [&list](const HttpRequest& req, HttpResponse& res) {
    Json item = Json::parse(req.body, nullptr, false);
    if (!item.is_object()) {
      ReplyError(res, 400, "expected a JSON object");
      return;
    }
    list.Put(req.matches[1], std::move(item), Now());
    Reply(res, 200, Json::object());
  });
  server.Delete(one, [&list](const HttpRequest& req, HttpResponse& res) {
    list.Remove(req.matches[1], Now());
    Reply(res, 200, Json::object());
  });
}

}  // namespace

int RunHosts(int argc, char** argv) {
  ServerOptions options{.name = "hosts"};
  Millis lag{1000};
  Flags flags;
  options.AddTo(flags);
  flags.Add("lag-ms", &lag);
  if (!flags.Parse(argc, argv))
    return 2;

  Server server(options);
  LaggingList hosts(lag);
  LaggingList servers(lag);
  Serve(server, "hosts", hosts);
  Serve(server, "servers", servers);
  return server.Run();
}

}  // namespace mangoport::standin
