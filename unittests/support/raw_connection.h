#ifndef MANGOPORT_UNITTESTS_SUPPORT_RAW_CONNECTION_H_
#define MANGOPORT_UNITTESTS_SUPPORT_RAW_CONNECTION_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "unittests/support/edge_fixture.h"

namespace mangoport {

/// A caller's connection to a host of this machine, whose bytes the test writes
/// itself. Reads and writes wait for up to three seconds.
class RawConnection {
 public:
  explicit RawConnection(std::uint16_t port)
      : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Require(::connect(fd_, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) == 0,
            "the host takes no connection");
    const timeval limit{.tv_sec = 3, .tv_usec = 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  }
  ~RawConnection() { Close(); }

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// False if the host takes no more of them for three seconds, or has closed.
  bool Send(std::string_view bytes) const {
    return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  /// Sends as much as the host takes at once.
  void SendWithoutWaiting(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t n =
          ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0)
        return;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  /// What has arrived, or arrives within the limit.
  std::string Receive() const {
    char bytes[4096];
    const ssize_t n = ::recv(fd_, bytes, sizeof(bytes), 0);
    return n > 0 ? std::string(bytes, static_cast<std::size_t>(n))
                 : std::string();
  }

  /// What arrives until the host closes.
  std::string ReceiveAll() const {
    std::string out;
    for (std::string it = Receive(); !it.empty(); it = Receive())
      out += it;
    return out;
  }

  void Close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_RAW_CONNECTION_H_
