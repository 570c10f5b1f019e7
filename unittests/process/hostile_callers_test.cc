// Crowds of callers that send much and finish nothing, at every path of a host
// with little memory. The host must live, stay within its machine's memory and
// answer an ordinary request beside them.
#include <dirent.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"
#include "unittests/support/raw_connection.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

/// The memory of the host's machine, and the bound of what its process may
/// take.
constexpr long kMachineKb = 64L * 1024;
constexpr std::size_t kBodyBytes = std::size_t{2} * 1024 * 1024;
constexpr int kBodyCallers = 60;
constexpr int kFieldCallers = 150;
constexpr int kFields = 12000;
constexpr int kPipelines = 60;
constexpr int kPipelined = 5000;
constexpr int kSlowCallers = 400;
/// A host that may have so many descriptors, and a crowd that takes more.
constexpr int kFewDescriptors = 256;
constexpr int kDescriptorCallers = 400;
constexpr Duration kTakesConnections = seconds(3);
/// Requests for as many models and adapters, with the longest names that a head
/// of legal size holds.
constexpr int kUnknownNames = 3000;
constexpr std::size_t kNameBytes = 15000;
/// Looks at the peak, 20 ms apart, that must be the same.
constexpr int kStableLooks = 50;
/// Descriptors that a host may have for each caller, its connection and one to
/// a server, and beside those.
constexpr int kDescriptorsPerCaller = 2;
constexpr int kOtherDescriptors = 64;

/// Paths with routes of each kind, and one without a route.
const std::vector<std::string> kPaths = {"/read/x", "/once/x", "/stream/x",
                                         "/none/x"};

using Crowd = std::vector<std::unique_ptr<RawConnection>>;

std::string HeadOf(const std::string& method, const std::string& path) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n"
         "X-Attempt-Id: crowd\r\nX-Deadline-Ms: 4000\r\n";
}

/// A host on a machine with `kMachineKb` of memory.
class SmallHost {
 public:
  explicit SmallHost(int max_descriptors = 0)
      : edge_("[memory]\nmachine_mb = 64\n", max_descriptors) {}

  /// Requires that an ordinary caller is answered within the time in which a
  /// host that says it is ready must take a connection.
  void RequireAnswerSoon() {
    cr_assert(EdgeFixture::Within(kTakesConnections,
                                  [this] {
                                    const auto reply = edge_.Ask("/read/x");
                                    return reply && reply->status == 200;
                                  }),
              "an ordinary request isn't answered");
  }

  /// The peak of the process's memory.
  long PeakKb() const {
    std::ifstream in("/proc/" + std::to_string(edge_.process_->pid()) +
                     "/status");
    std::string word;
    long kb = -1;
    while (in >> word) {
      if (word == "VmHWM:")
        in >> kb;
    }
    return kb;
  }

  int Descriptors() const {
    const std::string path =
        "/proc/" + std::to_string(edge_.process_->pid()) + "/fd";
    DIR* dir = ::opendir(path.c_str());
    if (dir == nullptr)
      return -1;
    int n = 0;
    while (::readdir(dir) != nullptr)
      ++n;
    ::closedir(dir);
    return n;
  }

  /// The operator adds a model, which no server holds.
  void AddModel() {
    edge_.store_.Put("keyed.op", "config", ConfigWithModel(2, /*load_s=*/4));
  }

  /// Returns the error code of the answer to a request for `model`.
  std::string AskForModel(const std::string& model) {
    const auto reply = edge_.Ask("/stream/x", {{"X-Model", model}});
    return reply ? reply->body : std::string();
  }

  std::uint16_t callers() const { return edge_.callers_; }
  std::uint16_t readiness() const { return edge_.readiness_; }

  /// Requires all that must hold while `crowd` is still open.
  void RequireSound(const Crowd& crowd) {
    const bool answered = EdgeFixture::Within(seconds(20), [this] {
      const auto reply = edge_.Ask("/read/x");
      return reply && reply->status == 200;
    });
    AwaitStablePeak();
    const long peak = PeakKb();
    cr_assert_gt(peak, 0, "the process has ended");
    cr_assert_lt(peak, kMachineKb, "%ld KB", peak);
    cr_assert(answered, "an ordinary request isn't answered");
    cr_assert(
        EdgeFixture::Within(seconds(10), [this] { return edge_.Ready(); }),
        "the host isn't ready");
    cr_assert_lt(Descriptors(),
                 kDescriptorsPerCaller * static_cast<int>(crowd.size()) +
                     kOtherDescriptors);
  }

 private:
  /// Waits until the host has taken in what is on its way.
  void AwaitStablePeak() const {
    long before = -1;
    int same = 0;
    EdgeFixture::Within(seconds(20), [&] {
      const long peak = PeakKb();
      same = peak == before ? same + 1 : 0;
      before = peak;
      return same >= kStableLooks;
    });
  }

  EdgeFixture edge_;
};

Crowd Connect(std::uint16_t port, int n) {
  Crowd out;
  for (int i = 0; i < n; ++i)
    out.push_back(std::make_unique<RawConnection>(port));
  return out;
}

/// Each of the crowd sends `bytes` in turns of `piece` bytes, as far as the
/// host takes them.
void SendInTurns(const Crowd& crowd,
                 const std::string& bytes,
                 std::size_t piece) {
  std::vector<bool> open(crowd.size(), true);
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    for (std::size_t i = 0; i < crowd.size(); ++i)
      open[i] = open[i] && crowd[i]->Send(bytes.substr(at, piece));
  }
}

/// A body of two MB that lacks its last byte.
std::string UnfinishedBody(const std::string& path) {
  return HeadOf("POST", path) +
         "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
         std::string(kBodyBytes - 1, 'b');
}

/// Chunks of two MB without the last one.
std::string UnfinishedChunks(const std::string& path) {
  std::string out = HeadOf("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'c') + "\r\n";
  while (out.size() < kBodyBytes)
    out += chunk;
  return out;
}

// NOLINTBEGIN: Criterion's macros
// Bodies of legal size were kept without a bound for all of them together.
Test(hostile_callers, bodies_in_one_piece_that_never_end, .timeout = 240) {
  for (const std::string& path : kPaths) {
    SmallHost host;
    const Crowd crowd = Connect(host.callers(), kBodyCallers);
    const std::string bytes = UnfinishedBody(path);
    SendInTurns(crowd, bytes, bytes.size());
    host.RequireSound(crowd);
  }
}

Test(hostile_callers, bodies_in_small_pieces_that_never_end, .timeout = 240) {
  for (const std::string& path : kPaths) {
    SmallHost host;
    const Crowd crowd = Connect(host.callers(), kBodyCallers);
    SendInTurns(crowd, UnfinishedBody(path), 16384);
    host.RequireSound(crowd);
  }
}

Test(hostile_callers, bodies_in_chunks_that_never_end, .timeout = 240) {
  for (const std::string& path : kPaths) {
    SmallHost host;
    const Crowd crowd = Connect(host.callers(), kBodyCallers);
    SendInTurns(crowd, UnfinishedChunks(path), 65536);
    host.RequireSound(crowd);
  }
}

// The port that says ready keeps what it is sent likewise.
Test(hostile_callers, bodies_at_the_port_that_says_ready, .timeout = 120) {
  SmallHost host;
  const Crowd crowd = Connect(host.readiness(), kBodyCallers);
  SendInTurns(crowd, UnfinishedBody("/mangoport/readyz"), 65536);
  host.RequireSound(crowd);
}

// A body far over the limit must be refused before it is kept.
Test(hostile_callers, bodies_far_over_the_limit, .timeout = 120) {
  SmallHost host;
  const Crowd crowd = Connect(host.callers(), kBodyCallers);
  SendInTurns(crowd,
              HeadOf("POST", "/read/x") + "Content-Length: 999999999\r\n\r\n" +
                  std::string(kBodyBytes, 'b'),
              65536);
  const Crowd chunked = Connect(host.callers(), 8);
  std::string chunks = UnfinishedChunks("/read/x");
  SendInTurns(chunked, chunks + chunks.substr(chunks.find("1000")), 65536);
  host.RequireSound(crowd);
}

// Short fields take many times their bytes.
Test(hostile_callers, heads_of_many_short_fields, .timeout = 240) {
  std::string fields;
  for (int i = 0; i < kFields; ++i)
    fields += "a:\r\n";
  for (const std::string& path : kPaths) {
    SmallHost host;
    const Crowd crowd = Connect(host.callers(), kFieldCallers);
    SendInTurns(crowd, HeadOf("GET", path) + fields, 65536);
    host.RequireSound(crowd);
  }
}

// Answers that aren't read pile up behind each other.
Test(hostile_callers, requests_sent_ahead_without_reading, .timeout = 240) {
  for (const std::string& path : kPaths) {
    SmallHost host;
    const Crowd crowd = Connect(host.callers(), kPipelines);
    std::string bytes;
    for (int i = 0; i < kPipelined; ++i)
      bytes += HeadOf("GET", path) + "\r\n";
    // The host stops reading; a send that waits for it would take seconds.
    for (const auto& it : crowd)
      it->SendWithoutWaiting(bytes);
    host.RequireSound(crowd);
  }
}

// Callers with unfinished requests, and silent ones, took all descriptors: the
// host said that it is ready and took no connection until they had gone.
Test(hostile_callers, connections_that_take_all_descriptors, .timeout = 120) {
  for (const std::string& bytes :
       {UnfinishedBody("/once/x").substr(0, 400), std::string()}) {
    SmallHost host(kFewDescriptors);
    const Crowd crowd = Connect(host.callers(), kDescriptorCallers);
    if (!bytes.empty())
      SendInTurns(crowd, bytes, bytes.size());
    host.RequireAnswerSoon();
    host.RequireSound(crowd);
  }
}

// Each name of an adapter that does not exist was kept for good.
Test(hostile_callers, names_of_adapters_that_do_not_exist, .timeout = 240) {
  SmallHost host;
  host.AddModel();
  cr_assert(EdgeFixture::Within(seconds(10), [&host] {
    return host.AskForModel("none").find("unknown_model") != std::string::npos;
  }));
  const std::string rest(kNameBytes, 'x');
  for (int i = 0; i < kUnknownNames; ++i) {
    const std::string name = "m1/x" + std::to_string(i) + rest;
    if (host.AskForModel(name).empty())
      break;
  }
  host.RequireSound({});
}

// Callers that send a byte now and then, or stop half-way.
Test(hostile_callers, callers_that_send_slowly, .timeout = 120) {
  SmallHost host;
  const Crowd crowd = Connect(host.callers(), kSlowCallers);
  const std::string bytes = UnfinishedBody("/once/x").substr(0, 400);
  SendInTurns(crowd, bytes, 40);
  host.RequireSound(crowd);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
