#ifndef MANGOPORT_UNITTESTS_SUPPORT_FULL_LISTENER_H_
#define MANGOPORT_UNITTESTS_SUPPORT_FULL_LISTENER_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "unittests/support/edge_fixture.h"

namespace mangoport {

/// A server whose accept queue is full: connections to it are neither made nor
/// refused until those that wait have been taken.
class FullListener {
 public:
  FullListener()
      : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    Require(::bind(listener_, raw, length) == 0 && ::listen(listener_, 0) == 0,
            "no port for a listener");
    ::getsockname(listener_, raw, &length);
    port_ = ntohs(address.sin_port);
    constexpr int kMoreThanFit = 4;
    for (int i = 0; i < kMoreThanFit; ++i) {
      open_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      static_cast<void>(::connect(open_.back(), raw, length));
    }
  }
  ~FullListener() {
    for (const int fd : open_)
      ::close(fd);
    ::close(listener_);
  }

  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Takes connections for `time`; returns all that came on them.
  std::string TakeFor(Duration time) {
    std::string out;
    EdgeFixture::Within(time, [this, &out] {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
      if (fd >= 0)
        open_.push_back(fd);
      char bytes[4096];
      for (const int it : open_) {
        const ssize_t n = ::recv(it, bytes, sizeof(bytes), MSG_DONTWAIT);
        out.append(bytes, n > 0 ? static_cast<std::size_t>(n) : 0);
      }
      return false;
    });
    return out;
  }

 private:
  int listener_;
  std::uint16_t port_ = 0;
  std::vector<int> open_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_FULL_LISTENER_H_
