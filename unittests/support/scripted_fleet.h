#ifndef MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_FLEET_H_
#define MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_FLEET_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "unittests/support/edge_fixture.h"
#include "unittests/support/scripted_backend.h"

namespace mangoport {

/// A host whose only two backend servers follow one script. Requests have the
/// id "id1". "/read/warm" is answered well, whatever the script says.
class ScriptedFleet {
 public:
  explicit ScriptedFleet(const ScriptedBackend::Script& script)
      : x_("i-x", Guarded(script)), y_("i-y", Guarded(script)) {
    it_.Unlist(it_.a_.id());
    it_.Unlist(it_.b_.id());
    it_.List(x_, "ready");
    it_.List(y_, "ready");
    Warm();
  }

  ScriptedFleet(const ScriptedFleet&) = delete;
  ScriptedFleet& operator=(const ScriptedFleet&) = delete;

  httplib::Result Ask(const std::string& path) const { return it_.Ask(path); }

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

  EdgeFixture& host() { return it_; }

  /// A whole good answer with the body "ok".
  static std::string GoodAnswer() {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\n"
           "Content-Length: 2\r\n\r\nok";
  }

 private:
  static ScriptedBackend::Script Guarded(ScriptedBackend::Script script) {
    return [script = std::move(script)](const SeenRequest& request, int n) {
      if (request.target == "/read/warm")
        return ScriptedAnswer{.pieces = {GoodAnswer()}};
      return script(request, n);
    };
  }

  EdgeFixture it_;
  ScriptedBackend x_;
  ScriptedBackend y_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_FLEET_H_
