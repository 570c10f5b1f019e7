#ifndef MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_FLEET_H_
#define MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_FLEET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "unittests/support/edge_fixture.h"
#include "unittests/support/scripted_backend.h"

namespace mangoport {

/// A host whose only two backend servers follow one script. Requests have the
/// id "id1". The script is not asked about "/read/warm", which is answered
/// well, nor about what is outside the host's routes.
class ScriptedFleet {
 public:
  /// `bounds` are lines for the settings' table of that name. The servers read
  /// `max_body_bytes` of a request's body before they answer.
  explicit ScriptedFleet(
      const ScriptedBackend::Script& script,
      const std::string& bounds = "",
      std::size_t max_body_bytes = ScriptedBackend::kWholeBody)
      : it_(bounds),
        x_("i-x", Guarded(script), max_body_bytes),
        y_("i-y", Guarded(script), max_body_bytes) {
    it_.Unlist(it_.a_.id());
    it_.Unlist(it_.b_.id());
    it_.List(x_, "ready");
    it_.List(y_, "ready");
    Warm();
  }

  ScriptedFleet(const ScriptedFleet&) = delete;
  ScriptedFleet& operator=(const ScriptedFleet&) = delete;

  httplib::Result Ask(const std::string& path) const { return it_.Ask(path); }

  /// The bytes of the answer to a request on a connection of its own.
  std::string RawAnswer(const std::string& path) const {
    return it_.Raw("POST " + path +
                   " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\n"
                   "X-Deadline-Ms: 4900\r\nAuthorization: Bearer k1\r\n"
                   "Connection: close\r\nContent-Length: 0\r\n\r\n");
  }

  /// Asks until both servers have answered well, so that neither is avoided for
  /// what it did before.
  void Warm() const {
    const std::size_t x = x_.seen().size();
    const std::size_t y = y_.seen().size();
    Require(EdgeFixture::Within(std::chrono::seconds(10),
                                [this, x, y] {
                                  it_.Ask("/read/warm");
                                  return x_.seen().size() > x &&
                                         y_.seen().size() > y;
                                }),
            "the scripted servers are not used");
  }

  /// What servers have got for `target`.
  std::vector<SeenRequest> Sends(const std::string& target) const {
    std::vector<SeenRequest> out;
    for (const ScriptedBackend* server : {&x_, &y_}) {
      for (SeenRequest& seen : server->seen()) {
        if (seen.target == target)
          out.push_back(std::move(seen));
      }
    }
    return out;
  }

  /// How many connections the host has closed behind a request for `target`.
  std::size_t GivenUp(const std::string& target) const {
    std::size_t n = 0;
    for (const ScriptedBackend* server : {&x_, &y_}) {
      for (const SeenRequest& it : server->given_up())
        n += it.target == target ? 1 : 0;
    }
    return n;
  }

  /// Answers of both servers whose connections were closed before they were
  /// out.
  std::size_t Abandoned() const {
    return x_.abandoned().size() + y_.abandoned().size();
  }

  /// Writes both servers' entries anew.
  void ListBoth(const std::string& service, const std::string& state) {
    for (const ScriptedBackend* it : {&x_, &y_})
      it_.store_.Put("keyed.servers", it->id(), it->Entry(service, state));
  }

  EdgeFixture& host() { return it_; }
  std::uint16_t callers() const { return it_.callers_; }

  /// A whole good answer with the body "ok".
  static std::string GoodAnswer() {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\n"
           "Content-Length: 2\r\n\r\nok";
  }

 private:
  static bool IsRouted(const std::string& target) {
    return target.starts_with("/read/") || target.starts_with("/once/") ||
           target.starts_with("/stream/");
  }

  static ScriptedBackend::Script Guarded(ScriptedBackend::Script script) {
    return [script = std::move(script)](const SeenRequest& request, int n) {
      if (request.target != "/read/warm" && IsRouted(request.target))
        return script(request, n);
      return ScriptedAnswer{.pieces = {GoodAnswer()}};
    };
  }

  EdgeFixture it_;
  ScriptedBackend x_;
  ScriptedBackend y_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_FLEET_H_
