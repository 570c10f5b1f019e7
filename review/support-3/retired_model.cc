// Case: a new configuration replaces a model by its successor, while engines
// hold the model that it no longer lists.
#include "engine.h"

namespace {

using namespace standin;

constexpr int kLoadMs = 4200;
constexpr double kModelMb = 72700;
constexpr double kEngineMb = 200000;

std::string Model(const std::string& name) {
  return R"({"Name":")" + name +
         R"(","WeightsMb":72700.0,"LoadS":4.2,"Adapters":0,"AdapterMb":66.0,"WarmS":0.4,"DiskS":0.84})";
}

std::string Config(int version, const std::string& models) {
  return R"({"Version":)" + std::to_string(version) +
         R"(,"Routes":[{"Name":"batch","Host":"h.example","PathPrefix":"/batch/","RouteKind":"stream","TimeoutMs":20000,"GoalMs":3000,"Priority":1,"Service":"llm","Attempts":1,"Public":false,"Sticky":true,"Resumable":false,"GapGoalMs":250}],)"
         R"("Services":[{"Name":"llm","HealthPath":"/h","MaxConns":643,"Engine":{"Slots":48,"KvCapacity":150587,"HostMb":140000.0,"DiskMb":410000.0,"Models":[)" +
         models +
         R"(],"WeightsMb":200000.0,"AdapterSlots":8,"LoadsPerS":2.2}}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
         R"("Tenants":[{"Name":"t1","ApiKeys":["k1"],"Unit":"tokens","PlainTokens":200,"RatePerS":90000,"Burst":90000}]})";
}

bool Run(const std::string& folder) {
  const bool trouble = TroubleIsOn();
  std::atomic<bool>& held = Make<std::atomic<bool>>(true);
  Store& store = Make<Store>();
  store.Put("keyed.op", "config", Config(1, Model("m1") + "," + Model("m2")));
  for (int i = 0; i < 2; ++i) {
    const std::string id = "i-" + std::to_string(i);
    ModelEngine& engine = Make<ModelEngine>(
        store, id, "llm", 1700000000000LL + i, kLoadMs,
        [id](int fd, const Message& request) {
          return SendAll(fd,
                         EngineAnswer(request, 200, "seal-" + id,
                                      "id: 1\ndata: token1\n\n",
                                      "Content-Type: text/event-stream\r\n"));
        },
        std::set<std::string>{"m1", "m2"});
    engine.may_load = [id, &held](const std::set<std::string>& models,
                                  const std::string& model) {
      const double mb = kModelMb * static_cast<double>(models.size() + 1);
      if (mb <= kEngineMb)
        return true;
      RECORD(
          "BROKEN: engine %s holds %zu models, is ordered to load %s, which "
          "makes %.0f MB of %.0f, and crashes",
          id.c_str(), models.size(), model.c_str(), mb, kEngineMb);
      held = false;
      return false;
    };
  }
  Edge edge(folder, "edge-1", store.address());
  edge.AwaitReady();
  Sleep(1500);
  std::atomic<int> served{0};
  std::atomic<int> sent{0};
  const auto ask = [&](const std::string& model) {
    const std::string n = std::to_string(++sent);
    const Reply reply = Ask(
        edge.callers(),
        Request("POST", "/batch/x", "id" + n, "prompt",
                "X-Model: " + model +
                    "\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: a1:50,b" +
                    n + ":50\r\nX-Deadline-Ms: 20000\r\n"),
        14000);
    RECORD("client: id%s for %s gets %d %s", n.c_str(), model.c_str(),
           reply.status, reply.status == 200 ? "" : reply.body.c_str());
    served += reply.status == 200 ? 1 : 0;
  };
  ask("m1");
  ask("m2");
  if (served != 2)
    throw std::runtime_error("the models aren't served");
  if (trouble) {
    store.Put("keyed.op", "config", Config(2, Model("m2") + "," + Model("m3")));
    RECORD("store: acknowledged version 2, which lists m3 in place of m1");
    Sleep(1000);
  }
  for (int i = 0; i < 3; ++i) {
    ask("m2");
    ask(trouble ? "m3" : "m1");
  }
  Sleep(3000);
  RECORD("%d of %d requests were served", served.load(), sent.load());
  if (!trouble && served != sent)
    throw std::runtime_error("a request isn't served without trouble");
  return held;
}

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv, Run);
}
