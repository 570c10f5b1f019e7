#include "unittests/support/platform_standin.h"

#include <httplib.h>
#include <openssl/evp.h>

#include <chrono>
#include <utility>

namespace mangoport {
namespace {

std::string Base64(const std::string& bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
  return out;
}

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) +
         "\n\n";
}

}  // namespace

StandinServer::StandinServer() : server_(std::make_unique<httplib::Server>()) {
  server_->new_task_queue = [] { return new httplib::ThreadPool(32); };
  server_->set_keep_alive_max_count(1000000);
  server_->set_tcp_nodelay(true);
}

StandinServer::~StandinServer() {
  StopServing();
}

void StandinServer::Serve() {
  port_ = server_->bind_to_any_port("127.0.0.1");
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  while (!server_->is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void StandinServer::StopServing() {
  server_->stop();
  if (thread_.joinable())
    thread_.join();
}

std::string StandinServer::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

StoreStandin::StoreStandin() {
  const auto guarded = [this](void (StoreStandin::*handler)(
                           const httplib::Request&, httplib::Response&)) {
    return [this, handler](const httplib::Request& request,
                           httplib::Response& response) {
      if (down_) {
        const std::lock_guard lock(mutex_);
        response.status = 503;
        NameTimeline(response);
        return;
      }
      (this->*handler)(request, response);
    };
  };
  server_->Post("/mangoport/log-append", guarded(&StoreStandin::Append));
  server_->Get("/mangoport/log-read", guarded(&StoreStandin::Read));
  server_->Get("/mangoport/log-newest", guarded(&StoreStandin::Newest));
  Serve();
}

StoreStandin::~StoreStandin() {
  stopping_ = true;
  StopServing();
}

void StoreStandin::Put(const std::string& topic,
                       const std::string& key,
                       const std::string& value) {
  const std::lock_guard lock(mutex_);
  Topic& it = topics_[topic];
  it.records.push_back({key, value});
  if (value.empty())
    it.newest.erase(key);
  else
    it.newest[key] = value;
}

void StoreStandin::Compact() {
  const std::lock_guard lock(mutex_);
  for (auto& [name, topic] : topics_) {
    topic.first = topic.end();
    topic.records.clear();
  }
}

void StoreStandin::SendWithoutEnd(const std::string& piece, bool chunked) {
  const std::lock_guard lock(mutex_);
  endless_piece_ = piece;
  endless_chunked_ = chunked;
}

void StoreStandin::set_log_answer(const std::string& answer) {
  const std::lock_guard lock(mutex_);
  log_answer_ = answer;
}

void StoreStandin::AnswerWithoutEnd(httplib::Response& response) const {
  constexpr std::size_t kNeverReached = std::size_t{1} << 40;
  const auto send = [this, piece = endless_piece_](httplib::DataSink& sink) {
    return !stopping_ && sink.write(piece.data(), piece.size());
  };
  if (endless_chunked_) {
    response.set_chunked_content_provider(
        "application/octet-stream",
        [send](std::size_t, httplib::DataSink& sink) { return send(sink); });
  } else {
    response.set_content_provider(
        kNeverReached, "application/octet-stream",
        [send](std::size_t, std::size_t, httplib::DataSink& sink) {
          return send(sink);
        });
  }
}

void StoreStandin::NameTimeline(httplib::Response& response) const {
  if (names_timeline_)
    response.set_header("Store-Era", std::to_string(timeline_));
}

int StoreStandin::NewestReads(const std::string& topic) const {
  const std::lock_guard lock(mutex_);
  const auto it = newest_reads_.find(topic);
  return it == newest_reads_.end() ? 0 : it->second;
}

void StoreStandin::TakeBackup() {
  const std::lock_guard lock(mutex_);
  backup_ = topics_;
}

void StoreStandin::Restore() {
  const std::lock_guard lock(mutex_);
  topics_ = backup_;
  ++timeline_;
}

void StoreStandin::Append(const httplib::Request& request,
                          httplib::Response& response) {
  constexpr std::size_t kPrefix = 5;
  const std::string name = request.get_param_value("Topic");
  std::uint64_t end = 0;
  {
    const std::lock_guard lock(mutex_);
    end = topics_[name].end();
    NameTimeline(response);
  }
  if (request.has_param("At") &&
      request.get_param_value("At") != std::to_string(end)) {
    response.status = 412;
    response.set_content("{\"End\":" + std::to_string(end) + "}",
                         "application/json");
    return;
  }
  const auto key_length = static_cast<unsigned char>(request.body[4]);
  Put(name, request.body.substr(kPrefix, key_length),
      request.body.substr(kPrefix + key_length));
  response.set_content("{\"Offset\":" + std::to_string(end) +
                           ",\"End\":" + std::to_string(end + 1) + "}",
                       "application/json");
}

void StoreStandin::Read(const httplib::Request& request,
                        httplib::Response& response) {
  const std::uint64_t from = std::stoull(request.get_param_value("From"));
  const int wait_ms = std::stoi(request.get_param_value("WaitMs"));
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (!endless_piece_.empty()) {
        AnswerWithoutEnd(response);
        return;
      }
      if (!log_answer_.empty()) {
        NameTimeline(response);
        response.set_content(log_answer_, "application/octet-stream");
        return;
      }
      const Topic& topic = topics_[request.get_param_value("Topic")];
      if (from < topic.first || from > topic.end()) {
        response.status = 410;
        NameTimeline(response);
        return;
      }
      const bool over = std::chrono::steady_clock::now() >= until;
      if (from < topic.end() || over || down_ || stopping_) {
        std::string out = BigEndian(topic.end(), 8) + BigEndian(topic.first, 8);
        for (std::uint64_t i = from; i < topic.end(); ++i) {
          const Record& it = topic.records[i - topic.first];
          const std::string body =
              BigEndian(it.key.size(), 1) + it.key + it.value;
          out += BigEndian(body.size(), 4) + body;
        }
        response.set_content(out, "application/octet-stream");
        NameTimeline(response);
        return;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

void StoreStandin::Newest(const httplib::Request& request,
                          httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  NameTimeline(response);
  ++newest_reads_[request.get_param_value("Topic")];
  if (!endless_piece_.empty()) {
    AnswerWithoutEnd(response);
    return;
  }
  if (endless_listing_) {
    const std::string value(std::size_t{512} * 1024, 'x');
    response.set_content(
        "{\"items\":[{\"Key\":" + Quoted("k" + std::to_string(++pages_)) +
            ",\"Value\":" + Quoted(Base64(value)) +
            ",\"Offset\":0}],\"Truncated\":true,\"End\":0}",
        "application/json");
    return;
  }
  const Topic& topic = topics_[request.get_param_value("Topic")];
  std::string items;
  for (const auto& [key, value] : topic.newest) {
    items += items.empty() ? "" : ",";
    items += "{\"Key\":" + Quoted(key) + ",\"Value\":" + Quoted(Base64(value)) +
             ",\"Offset\":0}";
  }
  response.set_content("{\"items\":[" + items + "],\"Truncated\":false," +
                           "\"End\":" + std::to_string(topic.end()) + "}",
                       "application/json");
}

std::string SeenRequest::Field(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : it->second;
}

BackendStandin::BackendStandin(std::string id) : id_(std::move(id)) {
  const auto answer = [this](const httplib::Request& request,
                             httplib::Response& response) {
    Answer(request, response);
  };
  server_->Get(".*", answer);
  server_->Post(".*", answer);
  Serve();
}

BackendStandin::~BackendStandin() {
  StopServing();
}

void BackendStandin::set_plan(const BackendPlan& plan) {
  const std::lock_guard lock(mutex_);
  plan_ = plan;
}

std::vector<SeenRequest> BackendStandin::seen() const {
  const std::lock_guard lock(mutex_);
  return seen_;
}

std::string BackendStandin::Entry(const std::string& service,
                                  const std::string& state) const {
  return BackendEntry(service, address(), state);
}

bool IsReportQuery(const SeenRequest& request) {
  return request.method == "GET" && request.target == "/mangoport/report";
}

std::string BackendEntry(const std::string& service,
                         const std::string& address,
                         const std::string& state) {
  return "{\"Service\":" + Quoted(service) + ",\"Addr\":" + Quoted(address) +
         ",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":8,\"State\":" +
         Quoted(state) + ",\"ColdLeftMs\":0,\"Seq\":1,\"born\":1}";
}

void BackendStandin::Answer(const httplib::Request& request,
                            httplib::Response& response) {
  SeenRequest seen;
  seen.method = request.method;
  seen.target = request.target;
  seen.body = request.body;
  for (const auto& [name, value] : request.headers)
    seen.fields.emplace(name, value);
  BackendPlan plan;
  {
    const std::lock_guard lock(mutex_);
    plan = plan_;
    if (!IsReportQuery(seen))
      seen_.push_back(seen);
  }
  response.set_header("X-Attempt-Id", seen.Field("X-Attempt-Id"));
  if (plan.not_run) {
    response.status = 503;
    response.set_header("X-Not-Executed", "1");
    return;
  }
  response.status = plan.status;
  response.set_header("X-Server-Seal", id_);
  if (request.path.find("/stream/") == std::string::npos) {
    response.set_content("from " + id_, "text/plain");
    return;
  }
  AnswerStream(plan, seen, response);
}

void BackendStandin::AnswerStream(const BackendPlan& plan,
                                  const SeenRequest& seen,
                                  httplib::Response& response) {
  const std::string after = seen.Field("Last-Event-Id");
  const int first = after.empty() ? 1 : std::stoi(after) + 1;
  response.set_chunked_content_provider(
      "text/event-stream",
      [plan, first](std::size_t /*offset*/, httplib::DataSink& sink) {
        for (int id = first; id <= plan.events; ++id) {
          const std::string event = Event(id);
          if (plan.break_after >= 0 && id > plan.break_after) {
            sink.write(event.data(), event.size() / 2);
            return false;
          }
          sink.write(event.data(), event.size());
          std::this_thread::sleep_for(
              std::chrono::milliseconds(plan.event_interval_ms));
        }
        sink.done();
        return true;
      });
}

}  // namespace mangoport
