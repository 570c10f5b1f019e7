// A stand-in for a model engine: it carries out orders, reports what it holds
// and registers itself in the store, as PROTOCOL.md has it.
#ifndef REVIEW_SUPPORT_3_ENGINE_H_
#define REVIEW_SUPPORT_3_ENGINE_H_

#include <set>

#include "standin.h"

namespace standin {

class ModelEngine {
 public:
  // Runs one request of a client and answers it on `fd`. False if the
  // connection is of no more use.
  using Run = std::function<bool(int fd, const Message& request)>;

  ModelEngine(Store& store,
              std::string id,
              std::string service,
              long long born,
              int load_ms,
              Run run,
              std::set<std::string> models = {})
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        born_(born),
        load_ms_(load_ms),
        run_(std::move(run)),
        models_(std::move(models)),
        server_([this](int fd) { Serve(fd); }) {
    Beat();
    std::thread([this] {
      while (!has_crashed_) {
        Sleep(1200);
        Beat();
      }
    }).detach();
  }

  const std::string& id() const { return id_; }

  // Called with what the engine holds when it is ordered to load a model that
  // it doesn't hold. False if the order is too much for it, and it crashes.
  std::function<bool(const std::set<std::string>& held,
                     const std::string& model)>
      may_load;

  // Registers the engine in the store.
  void Beat() {
    const std::lock_guard lock(mutex_);
    store_.Put(
        "keyed.servers", id_,
        EngineEntry(service_, server_.address(), "ready", born_, ++beats_,
                    ",\"Phase\":\"mixed\",\"Models\":" + Models()));
  }

 private:
  // Needs the lock.
  std::string Models() const {
    std::string out;
    for (const std::string& it : models_)
      out += (out.empty() ? "" : ",") + ("{\"Name\":\"" + it) +
             "\",\"Version\":1,\"Adapters\":[]}";
    return "[" + out + "]";
  }

  static std::string TextField(const std::string& json,
                               const std::string& name) {
    const std::string mark = "\"" + name + "\":";
    std::size_t at = json.find(mark);
    if (at == std::string::npos)
      return {};
    at += mark.size();
    if (json[at] == '"')
      return json.substr(at + 1, json.find('"', at + 1) - at - 1);
    return json.substr(at, json.find_first_of(",}", at) - at);
  }

  static std::string Json(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string Report() {
    const std::lock_guard lock(mutex_);
    return Json(200, "{\"Phase\":\"mixed\",\"Models\":" + Models() +
                         ",\"Busy\":" + (busy_ ? "true" : "false") +
                         ",\"Seq\":" + std::to_string(orders_) +
                         ",\"Queued\":0,\"Active\":0,\"KvUsed\":0,"
                         "\"KvTotal\":90000,\"Handles\":0,\"born\":" +
                         std::to_string(born_) + "}");
  }

  std::string Order(const Message& request) {
    const std::string op = TextField(request.body, "Op");
    const std::string model = TextField(request.body, "Model");
    const std::string expect = TextField(request.body, "Expect");
    const std::lock_guard lock(mutex_);
    RECORD("engine %s: order %s", id_.c_str(), request.body.c_str());
    if (busy_ || (!expect.empty() && expect != std::to_string(orders_)))
      return Json(409, "{}");
    const bool load = op == "load";
    if (models_.contains(model) == load)
      return Json(200, "{}");
    if (load && may_load && !may_load(models_, model)) {
      has_crashed_ = true;
      return {};
    }
    busy_ = true;
    ++orders_;
    std::thread([this, load, model] {
      Sleep(load ? load_ms_ : 20);
      {
        const std::lock_guard guard(mutex_);
        busy_ = false;
        if (load)
          models_.insert(model);
        else
          models_.erase(model);
        RECORD("engine %s: has %s %s", id_.c_str(),
               load ? "loaded" : "unloaded", model.c_str());
      }
      Beat();
    }).detach();
    return Json(202, "{}");
  }

  bool Holds(const std::string& model) {
    const std::lock_guard lock(mutex_);
    return model.empty() || models_.contains(model);
  }

  void Serve(int fd) {
    std::string buf;
    Message request;
    bool goes_on = true;
    while (goes_on && !has_crashed_ && ReadHead(fd, buf, request) &&
           ReadBody(fd, buf, request)) {
      if (has_crashed_)
        break;
      const std::string expected = request.Field("X-Expect-Instance");
      if (!expected.empty() && expected != id_)
        goes_on = SendAll(fd, EngineAnswer(request, 421, id_, ""));
      else if (request.target == "/mangoport/report")
        goes_on = SendAll(fd, Report());
      else if (request.target == "/mangoport/order")
        goes_on = SendAll(fd, Order(request)) && !has_crashed_;
      else if (AnswerQuery(fd, request, id_))
        continue;
      else if (!Holds(request.Field("X-Model")))
        goes_on = SendAll(fd, EngineAnswer(request, 421, id_, ""));
      else
        goes_on = run_(fd, request);
    }
    ::close(fd);
  }

  Store& store_;
  std::string id_;
  std::string service_;
  long long born_;
  int load_ms_;
  Run run_;
  std::set<std::string> models_;
  std::mutex mutex_;
  int beats_ = 0;
  int orders_ = 0;
  bool busy_ = false;
  std::atomic<bool> has_crashed_{false};
  Server server_;
};

}  // namespace standin

#endif  // REVIEW_SUPPORT_3_ENGINE_H_
