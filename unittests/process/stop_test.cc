// A host that is asked to stop, beside connections of several kinds.
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"
#include "unittests/support/raw_connection.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kRequest =
    "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\n"
    "Authorization: Bearer k1\r\n\r\n";

/// The fixture's configuration with another time for idle connections.
std::string ConfigWithIdle(int version, milliseconds idle) {
  std::string out = Config(version, R"("k1")");
  out.insert(out.rfind('}'),
             R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
             R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":)" +
                 std::to_string(idle.count()) + "}");
  return out;
}

// NOLINTBEGIN: Criterion's macros
Test(stop,
     ends_early_beside_connections_that_their_callers_keep,
     .timeout = 60) {
  EdgeFixture it("");
  const RawConnection untouched(it.callers_);
  const RawConnection answered(it.callers_);
  answered.Send(kRequest);
  cr_assert(answered.Receive().starts_with("HTTP/1.1 200"));
  const RawConnection half(it.callers_);
  half.Send(kRequest.substr(0, 30));
  std::this_thread::sleep_for(milliseconds(100));
  it.process_->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(100));
  const RawConnection told(it.callers_);
  told.Send(kRequest);
  const std::string text = told.Receive();
  cr_assert(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
  cr_assert_neq(text.find("Connection: close"), std::string::npos);
  cr_assert_eq(it.process_->Wait(seconds(4)), 0);
}

// Callers keep connections for as long as the newest configuration allows,
// those too that were accepted under an older one.
Test(config_change,
     a_longer_idle_time_holds_for_open_connections,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.Put("keyed.op", "config", ConfigWithIdle(2, milliseconds(900)));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    return it.Log().find("config_applied version=2") != std::string::npos;
  }));
  const RawConnection kept(it.callers_);
  it.store_.Put("keyed.op", "config", ConfigWithIdle(3, milliseconds(9000)));
  std::this_thread::sleep_for(milliseconds(2500));
  kept.Send(kRequest);
  const std::string text = kept.Receive();
  cr_assert(text.starts_with("HTTP/1.1 200"), "the connection was closed");
}

// Callers go on with their kept connections until they are told to leave them.
Test(stop, each_request_on_a_kept_connection_gets_an_answer, .timeout = 60) {
  EdgeFixture it;
  std::thread stop([&it] {
    std::this_thread::sleep_for(milliseconds(300));
    it.process_->Signal(SIGTERM);
  });
  std::string last;
  int answered = 0;
  const RawConnection kept(it.callers_);
  while (last.find("Connection: close") == std::string::npos) {
    kept.Send(kRequest);
    last = kept.Receive();
    if (!last.starts_with("HTTP/1.1 200"))
      break;
    ++answered;
    std::this_thread::sleep_for(milliseconds(5));
  }
  stop.join();
  cr_assert(last.starts_with("HTTP/1.1 200"), "after %d answers: %s", answered,
            last.c_str());
  cr_assert_eq(it.process_->Wait(seconds(5)), 0);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
