// Case: an engine answers before it has read a long body, without a length, and
// its connection is reset in the middle of the answer.
#include "standin.h"

namespace {

using namespace standin;

constexpr const char* kConfig =
    R"({"Version":1,"Routes":[)"
    R"({"Name":"read","Host":"h.example","PathPrefix":"/read/","RouteKind":"safe","TimeoutMs":8000,"GoalMs":150,"Priority":2,"Service":"s","Attempts":2},)"
    R"({"Name":"once","Host":"h.example","PathPrefix":"/once/","RouteKind":"unsafe","TimeoutMs":8000,"GoalMs":150,"Priority":2,"Service":"s","Attempts":1},)"
    R"({"Name":"stream","Host":"h.example","PathPrefix":"/stream/","RouteKind":"stream","TimeoutMs":8000,"GoalMs":250,"Priority":0,"Service":"s","Attempts":1,"Resumable":false,"GapGoalMs":250}],)"
    R"("Services":[{"Name":"s","HealthPath":"/h","MaxConns":100}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":0,"Burst":0}]})";

constexpr int kBodyBytes = 2000000;
// Requests on each route; the connection of the last one is reset.
constexpr int kRequests = 20;
const std::string kFirstHalf = "the first half of the engine's answer; ";
const std::string kSecondHalf = "the second half.";

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) +
         "\n\n";
}

// Answers at once, without a length, in two pieces, and reads the body between
// them; or its connection is reset there.
void ServeEngine(int fd, const std::atomic<bool>& resets) {
  std::string buf;
  Message request;
  do {
    if (!ReadHead(fd, buf, request)) {
      ::close(fd);
      return;
    }
  } while (AnswerQuery(fd, request, "i-a"));
  const bool stream = request.target.find("/stream/") == 0;
  const std::string first =
      stream ? Event(1) + Event(2) + Event(3) : kFirstHalf;
  const std::string second =
      stream ? Event(4) + Event(5) + Event(6) : kSecondHalf;
  RECORD("engine: reads the head of %s %s and begins its answer",
         request.target.c_str(), request.Field("X-Attempt-Id").c_str());
  SendAll(fd, EngineHead(request, 200, "seal-a",
                         stream ? "Content-Type: text/event-stream\r\n"
                                : "Content-Type: text/plain\r\n") +
                  first);
  Sleep(150);
  if (resets) {
    RECORD("engine: its connection is reset");
    ResetAndClose(fd);
    return;
  }
  ReadBody(fd, buf, request);
  SendAll(fd, second);
  RECORD("engine: has read the body, ends its answer");
  ::shutdown(fd, SHUT_WR);
  char byte;
  while (::recv(fd, &byte, 1, 0) > 0) {
  }
  ::close(fd);
}

bool Run(const std::string& folder) {
  const bool trouble = TroubleIsOn();
  std::atomic<bool>& resets = Make<std::atomic<bool>>(false);
  Store& store = Make<Store>();
  Server& engine =
      Make<Server>([&resets](int fd) { ServeEngine(fd, resets); }, /*port=*/0,
                   /*as_on_a_network=*/true);
  store.Put("keyed.op", "config", kConfig);
  store.Put("keyed.servers", "i-a",
            EngineEntry("s", engine.address(), "ready", 1700000000000));
  Edge edge(folder, "edge-1", store.address());
  edge.AwaitReady();
  bool held = true;
  const std::string body(kBodyBytes, 'b');
  int n = 0;
  for (const std::string path : {"/read/x", "/once/x", "/stream/x"}) {
    for (int i = 1; i <= kRequests; ++i) {
      resets = trouble && i == kRequests;
      const std::string id = "id" + std::to_string(++n);
      const bool stream = path == "/stream/x";
      const std::string all = stream ? Event(1) + Event(2) + Event(3) +
                                           Event(4) + Event(5) + Event(6)
                                     : kFirstHalf + kSecondHalf;
      RECORD("client: sends %s to %s with a body of %d bytes", id.c_str(),
             path.c_str(), kBodyBytes);
      const Reply reply =
          Ask(edge.callers(),
              Request("POST", path, id, body, "X-Deadline-Ms: 6000\r\n"), 9000);
      RECORD("client: %s gets %d, seal '%s', %zu bytes of %zu, %s", id.c_str(),
             reply.status, reply.head.Field("X-Server-Seal").c_str(),
             reply.body.size(), all.size(),
             reply.whole ? "ended in order" : "not ended in order");
      const bool success = reply.status / 100 == 2;
      if (success && reply.whole && reply.body != all) {
        RECORD("BROKEN: %s looks complete and isn't the engine's whole body",
               id.c_str());
        held = false;
      }
      if (!resets && !(success && reply.whole))
        throw std::runtime_error("a request isn't served without trouble");
    }
  }
  return held;
}

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv, Run);
}
