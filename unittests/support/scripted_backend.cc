#include "unittests/support/scripted_backend.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace mangoport {
namespace {

/// Reads from `fd` into `buf`; false at the end of the connection.
bool ReadMore(int fd, std::string& buf) {
  char bytes[4096];
  const ssize_t n = ::recv(fd, bytes, sizeof(bytes), 0);
  if (n <= 0)
    return false;
  buf.append(bytes, static_cast<std::size_t>(n));
  return true;
}

SeenRequest ParseHead(const std::string& head) {
  SeenRequest out;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  std::istringstream(line) >> out.method >> out.target;
  while (std::getline(lines, line) && line != "\r") {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of('\r') + 1);
    out.fields.emplace(line.substr(0, colon), value);
  }
  return out;
}

/// Waits for `time`, or until the peer closes the connection.
bool IsClosedWithin(int fd, std::chrono::milliseconds time) {
  pollfd it{.fd = fd, .events = POLLRDHUP, .revents = 0};
  return ::poll(&it, 1, static_cast<int>(time.count())) > 0;
}

/// The field's value whatever the case of its name, or an empty text.
std::string FieldOf(const SeenRequest& request, const char* name) {
  for (const auto& [it, value] : request.fields) {
    if (::strcasecmp(it.c_str(), name) == 0)
      return value;
  }
  return {};
}

/// Lets connections take little of what they are sent, in segments as on a
/// network: those of loopback are many times larger, and so are its buffers.
void LimitBuffers(int listener) {
  constexpr int kSegmentBytes = 1460;
  constexpr int kBufferBytes = 64 * 1024;
  ::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
               sizeof(kSegmentBytes));
  ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &kBufferBytes,
               sizeof(kBufferBytes));
}

/// Reads a request with a length from `fd`, but `max_body_bytes` of its body at
/// most, and what follows it into `buf`.
std::optional<SeenRequest> ReadRequest(int fd,
                                       std::string& buf,
                                       std::size_t max_body_bytes) {
  std::size_t end = 0;
  while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buf))
      return std::nullopt;
  }
  SeenRequest out = ParseHead(buf.substr(0, end + 2));
  buf.erase(0, end + 4);
  const std::string length = FieldOf(out, "Content-Length");
  const std::size_t size =
      std::min(length.empty() ? 0 : std::stoul(length), max_body_bytes);
  while (buf.size() < size) {
    if (!ReadMore(fd, buf))
      return std::nullopt;
  }
  out.body = buf.substr(0, size);
  buf.erase(0, size);
  return out;
}

}  // namespace

bool ScriptedBackend::RepeatUntilClosed(int fd, const std::string& piece) {
  while (!stopping_ &&
         ::send(fd, piece.data(), piece.size(), MSG_NOSIGNAL) >= 0) {
  }
  return false;
}

ScriptedBackend::ScriptedBackend(std::string id,
                                 Script script,
                                 std::size_t max_body_bytes)
    : id_(std::move(id)),
      script_(std::move(script)),
      max_body_bytes_(max_body_bytes) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  if (max_body_bytes_ != kWholeBody)
    LimitBuffers(listener_);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      ::listen(listener_, SOMAXCONN) != 0)
    throw std::runtime_error("no port for a scripted backend server");
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

ScriptedBackend::~ScriptedBackend() {
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_)
      ::shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& it : connections_)
    it.join();
}

std::string ScriptedBackend::Head(const SeenRequest& request,
                                  int status,
                                  const std::string& more) const {
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nX-Attempt-Id: " + FieldOf(request, "X-Attempt-Id") +
         "\r\nX-Server-Seal: " + id_ + "\r\n" + more + "\r\n";
}

std::string ScriptedBackend::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

std::vector<SeenRequest> ScriptedBackend::seen() const {
  const std::lock_guard lock(mutex_);
  return seen_;
}

std::vector<SeenRequest> ScriptedBackend::given_up() const {
  const std::lock_guard lock(mutex_);
  return given_up_;
}

std::string ScriptedBackend::Entry(const std::string& service,
                                   const std::string& state) const {
  return BackendEntry(service, address(), state);
}

std::vector<std::string> ScriptedBackend::abandoned() const {
  const std::lock_guard lock(mutex_);
  return abandoned_;
}

void ScriptedBackend::Accept() {
  while (!stopping_) {
    const int fd = ::accept(listener_, nullptr, nullptr);
    if (fd < 0)
      return;
    const std::lock_guard lock(mutex_);
    open_.push_back(fd);
    connections_.emplace_back([this, fd] { Serve(fd); });
  }
}

void ScriptedBackend::Serve(int fd) {
  std::string buf;
  std::optional<SeenRequest> last;
  bool goes_on = true;
  while (!stopping_ && goes_on) {
    std::optional<SeenRequest> request = ReadRequest(fd, buf, max_body_bytes_);
    if (!request)
      break;
    last = std::move(request);
    goes_on = Answer(fd, *last);
  }
  const std::lock_guard lock(mutex_);
  if (last && goes_on)
    given_up_.push_back(*std::move(last));
  open_.erase(std::find(open_.begin(), open_.end(), fd));
  ::close(fd);
}

bool ScriptedBackend::Answer(int fd, const SeenRequest& request) {
  int number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = static_cast<int>(seen_.size());
    if (IsReportQuery(request))
      ++report_queries_;
    else
      seen_.push_back(request);
  }
  const ScriptedAnswer answer = script_(request, number);
  for (std::size_t i = 0; i < answer.pieces.size() && !stopping_; ++i) {
    if (i > 0 && IsClosedWithin(fd, answer.pause)) {
      const std::lock_guard lock(mutex_);
      abandoned_.push_back(request.target);
      return false;
    }
    const std::string& piece = answer.pieces[i];
    if (::send(fd, piece.data(), piece.size(), MSG_NOSIGNAL) < 0)
      return false;
  }
  if (answer.endless)
    return RepeatUntilClosed(fd, answer.pieces.back());
  if (answer.end == ScriptedAnswer::End::kReset) {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
  return answer.end == ScriptedAnswer::End::kKeep;
}

}  // namespace mangoport
