// Stand-ins for the platform's store, engines and clients, on loopback
// addresses. They need nothing but the standard library and the system's
// sockets. Each case of this review is one program that uses them.
#ifndef REVIEW_SUPPORT_3_STANDIN_H_
#define REVIEW_SUPPORT_3_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kBegin = Clock::now();

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kBegin).count();
}

inline void Sleep(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// What was sent, answered and run, one line each, with the time in seconds.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) {
    const std::lock_guard lock(mutex_);
    file_ = std::fopen(path.c_str(), "w");
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    FILE* out = file_ ? file_ : stdout;
    std::fprintf(out, "%8.3f  ", Seconds());
    va_list args;
    va_start(args, format);
    std::vfprintf(out, format, args);
    va_end(args);
    std::fprintf(out, "\n");
    std::fflush(out);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

#define RECORD(...) ::standin::Record::Get().Line(__VA_ARGS__)

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(port);
  return out;
}

// Listens on a free port of loopback.
inline int Listen(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 1024) != 0)
    throw std::runtime_error("no port");
  socklen_t length = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that is free for both streams and datagrams, below the range from
// which the system takes ports for outgoing connections.
inline std::uint16_t FreePort() {
  static std::uint16_t next = static_cast<std::uint16_t>(
      12000 +
      (::getpid() * 37 +
       std::chrono::system_clock::now().time_since_epoch().count() / 1000) %
          15000);
  for (int i = 0; i < 1000; ++i) {
    const std::uint16_t port = ++next;
    bool ok = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      const sockaddr_in address = Loopback(port);
      ok = ok && ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)) == 0;
      ::close(fd);
    }
    if (ok)
      return port;
  }
  throw std::runtime_error("no free port");
}

inline int Connect(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  std::size_t done = 0;
  while (done < data.size()) {
    const ssize_t n =
        ::send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

inline void ResetAndClose(int fd) {
  const linger at_once{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  ::close(fd);
}

struct Message {
  std::string first_line;
  std::string method;
  std::string target;
  std::multimap<std::string, std::string> fields;
  std::string body;

  std::string Field(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (::strcasecmp(key.c_str(), name) == 0)
        return value;
    }
    return {};
  }
  std::string Param(const std::string& name) const {
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
      return {};
    std::string query = "&" + target.substr(mark + 1);
    const std::size_t at = query.find("&" + name + "=");
    if (at == std::string::npos)
      return {};
    const std::size_t begin = at + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
  }
};

// Reads one head into `out`; what follows it stays in `buf`.
inline bool ReadHead(int fd, std::string& buf, Message& out) {
  std::size_t end = 0;
  char bytes[16384];
  while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = ::recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0)
      return false;
    buf.append(bytes, static_cast<std::size_t>(n));
  }
  std::string head = buf.substr(0, end + 2);
  buf.erase(0, end + 4);
  out = Message();
  std::size_t at = head.find("\r\n");
  out.first_line = head.substr(0, at);
  const std::size_t space = out.first_line.find(' ');
  out.method = out.first_line.substr(0, space);
  out.target = out.first_line.substr(
      space + 1, out.first_line.find(' ', space + 1) - space - 1);
  at += 2;
  while (at < head.size()) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    at = line_end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    out.fields.emplace(line.substr(0, colon), value);
  }
  return true;
}

// Reads the rest of a request's body, which has a length.
inline bool ReadBody(int fd, std::string& buf, Message& message) {
  const std::string length = message.Field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  char bytes[65536];
  while (buf.size() < size) {
    const ssize_t n = ::recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0)
      return false;
    buf.append(bytes, static_cast<std::size_t>(n));
  }
  message.body = buf.substr(0, size);
  buf.erase(0, size);
  return true;
}

// A server with a thread a connection. `serve` handles one connection and
// returns when it is of no more use; the connection is closed then.
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  // With `as_on_a_network`, segments have the size that they have on a network
  // (on loopback they are many times larger, and so are the sender's buffers),
  // and the system keeps no more than `kWindow` of a connection's unread bytes.
  explicit Server(Handler serve,
                  std::uint16_t port = 0,
                  bool as_on_a_network = false)
      : serve_(std::move(serve)), port_(port) {
    constexpr int kSegment = 1460;
    constexpr int kWindow = 65536;
    listener_ = Listen(port_);
    if (as_on_a_network) {
      ::setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &kSegment,
                   sizeof(kSegment));
      ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &kWindow, sizeof(kWindow));
    }
    std::thread([this] { Accept(); }).detach();
  }

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, fd] { serve_(fd); }).detach();
    }
  }

  Handler serve_;
  std::uint16_t port_;
  int listener_ = -1;
};

inline std::string Base64(const std::string& in) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8 |
             (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      out.push_back(i + j <= in.size() ? digits[bits >> (18 - 6 * j) & 63]
                                       : '=');
  }
  return out;
}

inline std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
  return out;
}

// The platform's store in its form `log`, as PROTOCOL.md has it.
class Store {
 public:
  Store() : server_([this](int fd) { Serve(fd); }) {}

  std::string address() const { return server_.address(); }

  // Writes as the operator or an engine does. No value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    PutLocked(topic, key, value);
    RECORD("store: %s %s = %s", topic.c_str(), key.c_str(),
           value.empty() ? "(dropped)" : value.substr(0, 160).c_str());
  }
  // Called for each call that is not to be answered in the usual way: returns
  // true if it has dealt with the connection, which then is closed.
  std::function<bool(int fd, const Message& call)> on_call;

 private:
  struct Topic {
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
  };

  void PutLocked(const std::string& topic,
                 const std::string& key,
                 const std::string& value) {
    Topic& it = topics_[topic];
    if (value.empty())
      it.newest.erase(key);
    else
      it.newest[key] = {value, it.records.size()};
    it.records.emplace_back(key, value);
    changed_.notify_all();
  }

  static std::string Answer(int status,
                            const std::string& type,
                            const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nStore-Era: 0\r\nContent-Type: " + type +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  void Serve(int fd) {
    std::string buf;
    Message call;
    while (ReadHead(fd, buf, call) && ReadBody(fd, buf, call)) {
      if (on_call && on_call(fd, call))
        break;
      if (!SendAll(fd, Carry(call)))
        break;
    }
    ::close(fd);
  }

  std::string Carry(const Message& call) {
    const std::string topic = call.Param("Topic");
    const std::string path = call.target.substr(0, call.target.find('?'));
    if (path == "/mangoport/log-append")
      return Append(topic, call);
    if (path == "/mangoport/log-read")
      return Read(topic, call);
    if (path == "/mangoport/log-newest")
      return Newest(topic);
    return Answer(404, "text/plain", "");
  }

  std::string Append(const std::string& topic, const Message& call) {
    const std::lock_guard lock(mutex_);
    const std::size_t end = topics_[topic].records.size();
    const std::string at = call.Param("At");
    if (!at.empty() && at != std::to_string(end))
      return Answer(412, "application/json",
                    "{\"End\":" + std::to_string(end) + "}");
    const auto key_size = static_cast<unsigned char>(call.body[4]);
    PutLocked(topic, call.body.substr(5, key_size),
              call.body.substr(5 + key_size));
    return Answer(200, "application/json",
                  "{\"Offset\":" + std::to_string(end) +
                      ",\"End\":" + std::to_string(end + 1) + "}");
  }

  std::string Read(const std::string& topic, const Message& call) {
    const std::size_t from = std::stoul(call.Param("From"));
    const std::string wait = call.Param("WaitMs");
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, milliseconds(wait.empty() ? 0 : std::stoi(wait)),
                      [&] { return topics_[topic].records.size() > from; });
    const Topic& it = topics_[topic];
    if (from > it.records.size())
      return Answer(410, "application/json", "{\"First\":0}");
    std::string out = BigEndian(it.records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < it.records.size(); ++i) {
      const auto& [key, value] = it.records[i];
      out += BigEndian(1 + key.size() + value.size(), 4) +
             BigEndian(key.size(), 1) + key + value;
    }
    return Answer(200, "application/octet-stream", out);
  }

  std::string Newest(const std::string& topic) {
    const std::lock_guard lock(mutex_);
    const Topic& it = topics_[topic];
    std::string items;
    for (const auto& [key, value] : it.newest)
      items += (items.empty() ? "" : ",") + ("{\"Key\":\"" + key) +
               "\",\"Value\":\"" + Base64(value.first) +
               "\",\"Offset\":" + std::to_string(value.second) + "}";
    return Answer(200, "application/json",
                  "{\"items\":[" + items + "],\"Truncated\":false,\"End\":" +
                      std::to_string(it.records.size()) + "}");
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  Server server_;
};

// An engine's entry in the store's list. The address is loopback's.
inline std::string EngineEntry(const std::string& service,
                               const std::string& address,
                               const std::string& state,
                               long long born,
                               int beat = 1,
                               const std::string& more = "") {
  return "{\"Service\":\"" + service + "\",\"Addr\":\"" + address +
         "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"" +
         state + "\",\"ColdLeftMs\":0,\"Seq\":" + std::to_string(beat) +
         ",\"born\":" + std::to_string(born) + more + "}";
}

// The head of an engine's answer to `request`, as far as the body's framing.
inline std::string EngineHead(const Message& request,
                              int status,
                              const std::string& seal,
                              const std::string& more) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nX-Attempt-Id: " + request.Field("X-Attempt-Id") +
         "\r\nX-Server-Seal: " + seal + "\r\n" + more + "\r\n";
}

inline std::string EngineAnswer(const Message& request,
                                int status,
                                const std::string& seal,
                                const std::string& body,
                                const std::string& more = "") {
  return EngineHead(
             request, status, seal,
             more + "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

// Answers a query for an engine's report or health, which any host may ask for
// at any time. False if the request is another one.
inline bool AnswerQuery(int fd, const Message& request, const std::string& id) {
  if (request.target == "/mangoport/report") {
    SendAll(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  if (request.target == "/h") {
    SendAll(fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id +
                    "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  return false;
}

// One started process of the project. It is killed when this object goes.
class Process {
 public:
  Process(std::vector<std::string> command,
          std::vector<std::string> environment,
          const std::string& log) {
    pid_ = ::fork();
    if (pid_ < 0)
      throw std::runtime_error("no process");
    if (pid_ > 0)
      return;
    // It ends with the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    std::vector<char*> args;
    for (std::string& it : command)
      args.push_back(it.data());
    args.push_back(nullptr);
    std::vector<char*> env;
    for (std::string& it : environment)
      env.push_back(it.data());
    env.push_back(nullptr);
    ::execve(args[0], args.data(), env.data());
    ::_exit(127);
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const {
    if (pid_ > 0)
      ::kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // True if the process has ended by itself; `status` is from waitpid then.
  bool HasEnded(int& status) {
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return pid_ <= 0;
  }

 private:
  pid_t pid_ = -1;
};

// A deployed host: `mangoport-edge`, started by the command of the deploy file
// with settings as its template gives them.
class Edge {
 public:
  Edge(const std::string& folder,
       const std::string& name,
       const std::string& store,
       const std::string& bounds = "")
      : log_(folder + "/" + name + ".log"),
        settings_(folder + "/" + name + ".toml"),
        callers_(FreePort()),
        readiness_(FreePort()) {
    FILE* out = std::fopen(settings_.c_str(), "w");
    std::fprintf(out,
                 "host = \"%s\"\navailability_zone = \"z1\"\n[listen]\n"
                 "callers = \"127.0.0.1:%u\"\nreadiness = \"127.0.0.1:%u\"\n"
                 "metrics = \"127.0.0.1:%u\"\npeers = \"127.0.0.1:%u\"\n"
                 "[platform]\nstore = \"%s\"\n[bounds]\n%s",
                 name.c_str(), callers_, readiness_, FreePort(), FreePort(),
                 store.c_str(),
                 bounds.empty()
                     ? "key_withdrawal_ms = 5000\nserver_drain_ms = 2000\n"
                       "config_apply_ms = 2000\nstop_grace_s = 8\n"
                       "order_lease_ms = 3000\nrepeat_ratio = 0.2\n"
                       "repeat_extra = 116\nfail_closed = true\n"
                     : bounds.c_str());
    std::fclose(out);
    Start();
  }

  void Start() {
    const char* binary = std::getenv("EDGE_BINARY");
    process_ = std::make_unique<Process>(
        std::vector<std::string>{
            binary ? binary : "target/tools/mangoport-edge/mangoport-edge",
            "--settings", settings_},
        std::vector<std::string>{"MANGOPORT_MACHINE_MB=182",
                                 "PATH=/usr/bin:/bin"},
        log_);
  }
  bool Ready() const {
    const int fd = Connect(readiness_);
    if (fd < 0)
      return false;
    SendAll(fd,
            "GET /mangoport/readyz HTTP/1.1\r\nHost: x\r\n"
            "Connection: close\r\n\r\n");
    std::string buf;
    Message answer;
    const bool ok = ReadHead(fd, buf, answer) &&
                    answer.first_line.find(" 200") != std::string::npos;
    ::close(fd);
    return ok;
  }
  void AwaitReady() const {
    for (int i = 0; i < 500; ++i) {
      if (Ready())
        return;
      Sleep(20);
    }
    throw std::runtime_error("a host is not ready");
  }
  std::uint16_t callers() const { return callers_; }
  Process& process() { return *process_; }
  const std::string& log() const { return log_; }

 private:
  std::string log_;
  std::string settings_;
  std::uint16_t callers_;
  std::uint16_t readiness_;
  std::unique_ptr<Process> process_;
};

// What a client got for one request.
struct Reply {
  int status = 0;
  Message head;
  // The body without its chunk lines.
  std::string body;
  // The answer has ended as its head says that it does.
  bool whole = false;
};

// Reads one answer from `fd` until it is whole, the connection ends, or `limit`
// has passed.
inline Reply ReadReply(int fd, int limit_ms) {
  Reply out;
  std::string buf;
  const Clock::time_point until = Clock::now() + milliseconds(limit_ms);
  const auto more = [&] {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    pollfd it{fd, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&it, 1, static_cast<int>(left.count())) <= 0)
      return false;
    char bytes[65536];
    const ssize_t n = ::recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0)
      return false;
    buf.append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  while (buf.find("\r\n\r\n") == std::string::npos) {
    if (!more())
      return out;
  }
  if (!ReadHead(fd, buf, out.head))
    return out;
  out.status = std::atoi(out.head.target.c_str());
  const std::string length = out.head.Field("Content-Length");
  if (!length.empty()) {
    const std::size_t size = std::stoul(length);
    while (buf.size() < size && more()) {
    }
    out.whole = buf.size() >= size;
    out.body = buf.substr(0, size);
    return out;
  }
  if (strcasecmp(out.head.Field("Transfer-Encoding").c_str(), "chunked") != 0) {
    while (more()) {
    }
    out.body = buf;
    return out;
  }
  while (true) {
    std::size_t end = 0;
    while ((end = buf.find("\r\n")) == std::string::npos) {
      if (!more())
        return out;
    }
    const std::size_t size = std::stoul(buf.substr(0, end), nullptr, 16);
    while (buf.size() < end + 2 + size + 2) {
      if (!more()) {
        out.body += buf.substr(end + 2);
        return out;
      }
    }
    out.body += buf.substr(end + 2, size);
    buf.erase(0, end + 2 + size + 2);
    if (size == 0) {
      out.whole = true;
      return out;
    }
  }
}

inline std::string Request(const std::string& method,
                           const std::string& target,
                           const std::string& id,
                           const std::string& body,
                           const std::string& more = "",
                           const std::string& key = "k1") {
  std::string out = method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n" +
                    "X-Attempt-Id: " + id + "\r\nAuthorization: Bearer " + key +
                    "\r\n" + more;
  if (method != "GET")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

// Sends one request on a connection of its own and reads the answer.
inline Reply Ask(std::uint16_t port, const std::string& request, int limit_ms) {
  const int fd = Connect(port);
  if (fd < 0)
    return {};
  std::thread sender([&] { SendAll(fd, request); });
  Reply out = ReadReply(fd, limit_ms);
  ::shutdown(fd, SHUT_RDWR);
  sender.join();
  ::close(fd);
  return out;
}

inline bool TroubleIsOn() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

// A stand-in that lives as long as the program, since its threads do.
template <typename T, typename... Args>
T& Make(Args&&... args) {
  return *new T(std::forward<Args>(args)...);
}

// Runs a case: `argv[1]` is a temporary folder, `argv[2]` the record. The case
// returns true if the rule held.
inline int Main(int argc,
                char** argv,
                const std::function<bool(const std::string& folder)>& run) {
  if (argc < 3)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(argv[2]);
  try {
    const bool held = run(argv[1]);
    RECORD("%s", held ? "the rule held" : "the rule was broken");
    // Threads of the stand-ins may still run.
    ::_exit(held ? 0 : 1);
  } catch (const std::exception& error) {
    RECORD("the case could not run: %s", error.what());
    ::_exit(2);
  }
}

}  // namespace standin

#endif  // REVIEW_SUPPORT_3_STANDIN_H_
