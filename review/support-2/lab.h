// Stand-ins of the platform's store, of servers and of clients for the cases in
// review/, and a runner of the project's own program. One header, so that each
// case is one source file.
#ifndef REVIEW_SUPPORT_2_LAB_H_
#define REVIEW_SUPPORT_2_LAB_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

inline Clock::time_point& Begin() {
  static Clock::time_point begin = Clock::now();
  return begin;
}

/// Milliseconds since the start of the script.
inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Begin())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Milliseconds since 1970.
inline std::uint64_t WallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// The record of what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Write(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char line[2048];
    va_list args;
    va_start(args, format);
    std::vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr)
      return;
    std::fprintf(file_, "%9.3f %s\n", static_cast<double>(NowMs()) / 1000,
                 line);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

#define RECORD(...) ::lab::Record::Get().Write(__VA_ARGS__)

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

/// A request or an answer.
struct Message {
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;
  std::size_t body_bytes = 0;

  std::string Field(const std::string& name) const {
    const auto it = fields.find(Lower(name));
    return it == fields.end() ? std::string() : it->second;
  }
  std::string Word(int n) const {
    std::istringstream in(start);
    std::string word;
    for (int i = 0; i <= n; ++i)
      in >> word;
    return word;
  }
  std::string method() const { return Word(0); }
  std::string target() const { return Word(1); }
  int status() const { return std::atoi(Word(1).c_str()); }
};

/// One end of a TCP connection.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// `window`: bytes that are taken in before they are read, 0 for as many as
  /// the system takes.
  static std::unique_ptr<Connection> To(const std::string& ip,
                                        int port,
                                        int window = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (window > 0)
      ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      ::close(fd);
      return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<Connection>(fd);
  }

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  bool Send(const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t n =
          ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads more bytes into the buffer; false at the end or after the limit.
  bool Fill(std::int64_t until_ms = -1) {
    while (true) {
      if (until_ms >= 0) {
        pollfd it{fd_, POLLIN, 0};
        const std::int64_t left = until_ms - NowMs();
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0) {
          timed_out_ = true;
          return false;
        }
      }
      char buf[65536];
      const ssize_t n = ::recv(fd_, buf, sizeof(buf), 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0) {
        was_reset_ = n < 0;
        return false;
      }
      buf_.append(buf, static_cast<std::size_t>(n));
      return true;
    }
  }

  /// Reads a head. False if the connection ended before.
  bool ReadHead(Message& out, std::int64_t until_ms = -1) {
    std::size_t end = 0;
    while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms))
        return false;
    }
    std::istringstream in(buf_.substr(0, end));
    buf_.erase(0, end + 4);
    std::getline(in, out.start);
    if (!out.start.empty() && out.start.back() == '\r')
      out.start.pop_back();
    std::string line;
    while (std::getline(in, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      out.fields[Lower(line.substr(0, colon))] = line.substr(value);
    }
    return true;
  }

  /// Reads the body that the head announces; keeps it only if `keep`.
  bool ReadBody(Message& out, bool keep, std::int64_t until_ms = -1) {
    if (Lower(out.Field("transfer-encoding")) == "chunked") {
      while (true) {
        std::size_t end = 0;
        while ((end = buf_.find("\r\n")) == std::string::npos) {
          if (!Fill(until_ms))
            return false;
        }
        const std::size_t n =
            std::strtoul(buf_.substr(0, end).c_str(), nullptr, 16);
        while (buf_.size() < end + 2 + n + 2) {
          if (!Fill(until_ms))
            return false;
        }
        out.body_bytes += n;
        if (keep)
          out.body.append(buf_, end + 2, n);
        buf_.erase(0, end + 2 + n + 2);
        if (n == 0)
          return true;
      }
    }
    std::size_t left =
        std::strtoul(out.Field("content-length").c_str(), nullptr, 10);
    while (left > 0) {
      if (buf_.empty() && !Fill(until_ms))
        return false;
      const std::size_t n = std::min(left, buf_.size());
      out.body_bytes += n;
      if (keep)
        out.body.append(buf_, 0, n);
      buf_.erase(0, n);
      left -= n;
    }
    return true;
  }

  bool was_reset() const { return was_reset_; }
  bool timed_out() const { return timed_out_; }
  const std::string& buffered() const { return buf_; }

 private:
  int fd_;
  std::string buf_;
  bool was_reset_ = false;
  bool timed_out_ = false;
};

/// Listens on a free port of a loopback address, with a thread a connection.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  Listener(const std::string& ip, Serve serve)
      : ip_(ip), serve_(std::move(serve)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
            0 ||
        ::listen(fd_, 1024) != 0)
      std::exit(2);
    socklen_t n = sizeof(address);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Connection connection(fd);
        serve_(connection);
      }).detach();
    }
  }

  std::string ip_;
  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k)
      bits = bits << 8 |
             (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                   : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out.push_back(k <= bytes.size() - i ? kDigits[bits >> (18 - 6 * k) & 63]
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

inline std::string Query(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos)
    return {};
  const std::size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

inline std::string Answer(int status,
                          const std::string& body,
                          const std::string& fields = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: a log with topics of one partition. Each host has a
/// way of its own to it, which can be cut.
class Store {
 public:
  /// The way of one host to the store. While it is cut nothing passes it.
  struct Way {
    std::unique_ptr<Listener> listener;
    std::atomic<bool> cut{false};
    std::string address() const { return listener->address(); }
  };

  using AppendHook = std::function<void(const std::string& topic,
                                        const std::string& key,
                                        const std::string& value)>;

  /// Called for each append of a host, with the lock held.
  void set_on_append(AppendHook hook) { on_append_ = std::move(hook); }

  Way& AddWay(const std::string& ip) {
    ways_.push_back(std::make_unique<Way>());
    Way& way = *ways_.back();
    way.listener = std::make_unique<Listener>(
        ip, [this, &way](Connection& connection) { Serve(way, connection); });
    return way;
  }

  /// Writes as the operator or a server does; an empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    PutLocked(topic, key, value);
  }

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Entry> log;
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
  };

  void PutLocked(const std::string& topic,
                 const std::string& key,
                 const std::string& value) {
    Topic& it = topics_[topic];
    if (value.empty())
      it.newest.erase(key);
    else
      it.newest[key] = {value, it.log.size()};
    it.log.push_back({key, value});
    changed_.notify_all();
  }

  void Serve(Way& way, Connection& connection) {
    while (true) {
      Message request;
      if (!connection.ReadHead(request) ||
          !connection.ReadBody(request, /*keep=*/true))
        return;
      const std::string answer = way.cut ? "" : Handle(request);
      if (!way.cut) {
        SleepMs(4);
        if (!connection.Send(answer))
          return;
        continue;
      }
      // Nothing passes the cut; the connection stays silent.
      while (way.cut)
        SleepMs(20);
      return;
    }
  }

  std::string Handle(const Message& request) {
    static const std::string kEra = "Store-Era: 1\r\n";
    const std::string target = request.target();
    const std::string topic = Query(target, "Topic");
    std::unique_lock lock(mutex_);
    if (target.starts_with("/mangoport/log-append")) {
      Topic& it = topics_[topic];
      const std::string at = Query(target, "At");
      if (!at.empty() && at != std::to_string(it.log.size()))
        return Answer(412, "{\"End\":" + std::to_string(it.log.size()) + "}",
                      kEra);
      const std::size_t offset = it.log.size();
      const std::size_t key_bytes =
          static_cast<unsigned char>(request.body.at(4));
      const std::string key = request.body.substr(5, key_bytes);
      const std::string value = request.body.substr(5 + key_bytes);
      if (on_append_)
        on_append_(topic, key, value);
      PutLocked(topic, key, value);
      return Answer(200,
                    "{\"Offset\":" + std::to_string(offset) +
                        ",\"End\":" + std::to_string(offset + 1) + "}",
                    kEra);
    }
    if (target.starts_with("/mangoport/log-read")) {
      const std::size_t from = std::stoul(Query(target, "From"));
      const std::string wait = Query(target, "WaitMs");
      const auto until = Clock::now() + std::chrono::milliseconds(
                                            wait.empty() ? 0 : std::stol(wait));
      if (from > topics_[topic].log.size())
        return Answer(410, "{\"First\":0}", kEra);
      while (topics_[topic].log.size() <= from &&
             changed_.wait_until(lock, until) != std::cv_status::timeout) {
      }
      const Topic& it = topics_[topic];
      std::string out = BigEndian(it.log.size(), 8) + BigEndian(0, 8);
      // As many records as fit into MaxKb, one at least.
      constexpr std::size_t kMaxBytes = std::size_t{1024} * 1024;
      for (std::size_t i = from; i < it.log.size(); ++i) {
        const std::string record = BigEndian(it.log[i].key.size(), 1) +
                                   it.log[i].key + it.log[i].value;
        if (i > from && out.size() + record.size() > kMaxBytes)
          break;
        out += BigEndian(record.size(), 4) + record;
      }
      return Answer(200, out, kEra);
    }
    if (target.starts_with("/mangoport/log-newest")) {
      std::string items;
      const Topic& it = topics_[topic];
      for (const auto& [key, value] : it.newest)
        items += std::string(items.empty() ? "" : ",") + "{\"Key\":\"" + key +
                 "\",\"Value\":\"" + Base64(value.first) +
                 "\",\"Offset\":" + std::to_string(value.second) + "}";
      return Answer(200,
                    "{\"items\":[" + items + "],\"Truncated\":false,\"End\":" +
                        std::to_string(it.log.size()) + "}",
                    kEra);
    }
    return Answer(404, "", kEra);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  std::vector<std::unique_ptr<Way>> ways_;
  AppendHook on_append_;
};

/// Settings of a small deployment as `deploy/edge.toml.in` renders them.
struct HostSettings {
  std::string name;
  std::string zone = "z1";
  std::string ip;
  int front = 0;
  int ready = 0;
  int metrics = 0;
  int peers = 0;
  std::string store;
  int memory_mb = 182;
  int lease_ms = 3000;
};

/// A port that is free for TCP and UDP on `ip`.
inline int FreePort(const std::string& ip) {
  static int next = 21000 + static_cast<int>(::getpid() % 5000);
  while (true) {
    const int port = next++;
    bool free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(port));
      ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
      free = free && ::bind(fd, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
      ::close(fd);
    }
    if (free)
      return port;
  }
}

/// One process of the project's program.
class Host {
 public:
  /// `program` with the arguments of the deploy file; `folder` is temporary.
  Host(HostSettings settings, std::string program, std::string folder)
      : settings_(std::move(settings)),
        program_(std::move(program)),
        folder_(std::move(folder)) {
    HostSettings& it = settings_;
    it.front = FreePort(it.ip);
    it.ready = FreePort(it.ip);
    it.metrics = FreePort(it.ip);
    it.peers = FreePort(it.ip);
    file_ = folder_ + "/" + it.name + ".toml";
    std::ofstream out(file_);
    const auto at = [&](int port) {
      return "\"" + it.ip + ":" + std::to_string(port) + "\"\n";
    };
    out << "host = \"" << it.name << "\"\navailability_zone = \"" << it.zone
        << "\"\n\n[listen]\ncallers = " << at(it.front)
        << "readiness = " << at(it.ready) << "metrics = " << at(it.metrics)
        << "peers = " << at(it.peers) << "\n[platform]\nstore = \"" << it.store
        << "\"\n\n[memory]\nmachine_mb = " << it.memory_mb
        << "\n\n[bounds]\nkey_withdrawal_ms = 5000\nserver_drain_ms = 2000\n"
           "config_apply_ms = 2000\nstop_grace_s = 8\norder_lease_ms = "
        << it.lease_ms
        << "\nrepeat_ratio = 0.2\nrepeat_extra = 116\nfail_closed = true\n";
  }
  ~Host() {
    Signal(SIGKILL);
    Wait();
  }

  const HostSettings& settings() const { return settings_; }

  /// `max_fds`: the machine's `MaxFds`, or 0 for no limit of its own.
  void Start(int max_fds = 0) {
    const std::string log = folder_ + "/" + settings_.name + ".log";
    pid_ = ::fork();
    if (pid_ != 0) {
      RECORD("host %s starts, callers at %s:%d", settings_.name.c_str(),
             settings_.ip.c_str(), settings_.front);
      return;
    }
    // The process goes with the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    if (max_fds > 0) {
      const rlimit limit{static_cast<rlim_t>(max_fds),
                         static_cast<rlim_t>(max_fds)};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::execl(program_.c_str(), program_.c_str(), "--settings", file_.c_str(),
            nullptr);
    ::_exit(127);
  }

  void Signal(int signal) {
    if (pid_ > 0 && !ended_)
      ::kill(pid_, signal);
  }
  /// True if the process has ended.
  bool Ended() {
    if (!ended_ && pid_ > 0) {
      int status = 0;
      ended_ = ::waitpid(pid_, &status, WNOHANG) == pid_;
    }
    return ended_;
  }
  void Wait() {
    while (pid_ > 0 && !Ended())
      SleepMs(10);
  }

  /// A line of the process's status in KB, such as VmRSS.
  long StatusKb(const std::string& name) const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    long kb = -1;
    while (in >> word) {
      if (word == name + ":")
        in >> kb;
    }
    return kb;
  }

  /// The status of one question whether the host is ready, 0 if none.
  int ReadyStatus() const {
    const auto connection = Connection::To(settings_.ip, settings_.ready);
    Message answer;
    if (!connection ||
        !connection->Send(
            "GET /mangoport/readyz HTTP/1.1\r\nHost: r\r\n\r\n") ||
        !connection->ReadHead(answer, NowMs() + 1000))
      return 0;
    return answer.status();
  }
  bool AwaitReady(std::int64_t limit_ms) const {
    const std::int64_t until = NowMs() + limit_ms;
    while (NowMs() < until) {
      if (ReadyStatus() == 200)
        return true;
      SleepMs(50);
    }
    return false;
  }

 private:
  HostSettings settings_;
  std::string program_;
  std::string folder_;
  std::string file_;
  pid_t pid_ = -1;
  bool ended_ = false;
};

/// A temporary folder that goes with the script.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/review-XXXXXX";
    path_ = ::mkdtemp(name);
  }
  ~Folder() {
    if (std::getenv("KEEP") != nullptr) {
      std::fprintf(stderr, "kept %s\n", path_.c_str());
      return;
    }
    const std::string command = "rm -rf " + path_;
    [[maybe_unused]] const int rc = std::system(command.c_str());
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// A sound plain server: reads each request whole, works on it and answers.
class PlainServer {
 public:
  PlainServer(Store& store,
              std::string id,
              std::string service,
              std::size_t bytes,
              int work_ms)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        body_(bytes, 'r'),
        work_ms_(work_ms),
        born_(WallMs()),
        listener_("127.0.0.1", [this](Connection& it) { Serve(it); }) {
    std::thread([this] {
      for (int beat = 1;; ++beat) {
        store_.Put("keyed.servers", id_,
                   "{\"Service\":\"" + service_ + "\",\"Addr\":\"" +
                       listener_.address() +
                       "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":48,"
                       "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":" +
                       std::to_string(beat) +
                       ",\"born\":" + std::to_string(born_) + "}");
        SleepMs(1200);
      }
    }).detach();
  }

  /// True if this server has begun to run the request.
  bool HasRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return runs_.contains(id);
  }

 private:
  void Serve(Connection& connection) {
    while (true) {
      Message request;
      if (!connection.ReadHead(request) ||
          !connection.ReadBody(request, /*keep=*/false))
        return;
      const std::string id = request.Field("X-Attempt-Id");
      if (!id.empty()) {
        RECORD("server %s runs %s", id_.c_str(), id.c_str());
        const std::lock_guard lock(mutex_);
        runs_.insert(id);
      }
      SleepMs(work_ms_);
      if (!connection.Send(Answer(
              200, body_,
              "X-Attempt-Id: " + id + "\r\nX-Server-Seal: " + id_ + "\r\n")))
        return;
    }
  }

  Store& store_;
  std::string id_;
  std::string service_;
  std::string body_;
  int work_ms_;
  std::uint64_t born_;
  std::mutex mutex_;
  std::set<std::string> runs_;
  Listener listener_;
};

/// Ordinary callers with payments, each on a connection that it keeps.
class Payers {
 public:
  Payers(const HostSettings& host, PlainServer& server, int callers)
      : host_(host), server_(server) {
    for (int i = 0; i < callers; ++i)
      threads_.emplace_back([this, i] { Pay(i); });
  }

  /// Ends the callers; each has its answer, or none will come.
  void Stop() {
    stop_ = true;
    for (std::thread& it : threads_)
      it.join();
  }

  int answered() const { return answered_; }
  int refused() const { return refused_; }
  /// Requests from a kept connection that the server has run, whose connection
  /// ended without a byte of an answer.
  int lost() const { return lost_; }

 private:
  void Pay(int caller) {
    std::unique_ptr<Connection> connection;
    bool kept = false;
    for (int n = 0; !stop_; ++n) {
      const std::string id =
          "pay-" + std::to_string(caller) + "-" + std::to_string(n);
      if (!connection) {
        connection = Connection::To(host_.ip, host_.front);
        kept = false;
      }
      if (!connection) {
        SleepMs(100);
        continue;
      }
      const std::int64_t until = NowMs() + 6000;
      Message answer;
      RECORD("client sends %s", id.c_str());
      const bool begun =
          connection->Send(
              "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
              "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key1\r\n"
              "Content-Length: 4\r\n\r\nbody") &&
          connection->ReadHead(answer, until) &&
          connection->ReadBody(answer, /*keep=*/false, until);
      if (begun) {
        RECORD("client %s: %s", id.c_str(), answer.start.c_str());
        ++(answer.status() == 200 ? answered_ : refused_);
        kept = true;
        continue;
      }
      const bool has_run = server_.HasRun(id);
      lost_ += kept && has_run && !connection->timed_out() ? 1 : 0;
      RECORD("client %s: no answer, %s, the server has %srun it", id.c_str(),
             kept ? "on a kept connection" : "on a new connection",
             has_run ? "" : "not ");
      connection.reset();
    }
  }

  HostSettings host_;
  PlainServer& server_;
  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> lost_{0};
  std::vector<std::thread> threads_;
};

/// More such requests than these are a broken promise (LOST).
inline constexpr int kAllowedLosses = 3;

inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace lab

#endif  // REVIEW_SUPPORT_2_LAB_H_
