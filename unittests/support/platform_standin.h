#ifndef MANGOPORT_UNITTESTS_SUPPORT_PLATFORM_STANDIN_H_
#define MANGOPORT_UNITTESTS_SUPPORT_PLATFORM_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace mangoport {

/// An HTTP server of a test on a free port of loopback.
class StandinServer {
 public:
  StandinServer();
  virtual ~StandinServer();

  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  std::string address() const;

 protected:
  /// Serves from now on; handlers must have been set.
  void Serve();
  void StopServing();

  std::unique_ptr<httplib::Server> server_;

 private:
  int port_ = 0;
  std::thread thread_;
};

/// The platform's store as the published protocol has it: topics with one
/// partition, of which the newest record of each key is kept.
class StoreStandin : public StandinServer {
 public:
  StoreStandin();
  ~StoreStandin() override;

  /// Writes as the operator or an engine would; an empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

  /// While it is down every call is answered 503 and nothing is done.
  void set_down(bool down) { down_ = down; }
  /// Forgets all records but the newest of each key.
  void Compact();
  /// Keeps a copy of all topics, for `Restore`.
  void TakeBackup();
  /// Replaces all topics by the last copy and begins a new timeline.
  void Restore();
  /// From now on reads are answered with `piece`, again and again without end,
  /// in chunks or else under a length that is never reached.
  void SendWithoutEnd(const std::string& piece, bool chunked);
  /// From now on each page of a listing names one more that follows it.
  void ListWithoutEnd() { endless_listing_ = true; }
  /// From now on the whole answer to a read of the log is `answer`.
  void set_log_answer(const std::string& answer);
  /// A store that names no timeline says nothing of restores.
  void set_names_timeline(bool names) { names_timeline_ = names; }

  /// How often the newest records of `topic` have been read.
  int NewestReads(const std::string& topic) const;

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Record> records;
    std::uint64_t first = 0;
    std::map<std::string, std::string> newest;
    std::uint64_t end() const { return first + records.size(); }
  };

  /// Says in an answer which timeline it is from. Needs the lock.
  void NameTimeline(httplib::Response& response) const;
  void Append(const httplib::Request& request, httplib::Response& response);
  void Read(const httplib::Request& request, httplib::Response& response);
  void Newest(const httplib::Request& request, httplib::Response& response);
  void AnswerWithoutEnd(httplib::Response& response) const;

  mutable std::mutex mutex_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> backup_;
  std::uint64_t timeline_ = 0;
  std::map<std::string, int> newest_reads_;
  std::string endless_piece_;
  bool endless_chunked_ = false;
  std::string log_answer_;
  std::atomic<bool> endless_listing_{false};
  int pages_ = 0;
  std::atomic<bool> names_timeline_{true};
  std::atomic<bool> down_{false};
  std::atomic<bool> stopping_{false};
};

/// What a backend server was sent.
struct SeenRequest {
  std::string method;
  std::string target;
  std::string body;
  std::multimap<std::string, std::string> fields;

  /// The field's value, or an empty text.
  std::string Field(const std::string& name) const;
};

/// True if a host asked for a server's report of itself, which it may do at any
/// time, and forwarded no request.
bool IsReportQuery(const SeenRequest& request);

/// A backend server's entry in the store's list of servers.
std::string BackendEntry(const std::string& service,
                         const std::string& address,
                         const std::string& state);

/// How the next requests of a backend server go.
struct BackendPlan {
  int status = 200;
  bool not_run = false;
  /// Events of a stream; the connection breaks in the middle of the one after
  /// `break_after`, if that is not negative.
  int events = 6;
  int break_after = -1;
  int event_interval_ms = 5;
};

/// A backend server: streams on "/stream/", plain answers elsewhere.
class BackendStandin : public StandinServer {
 public:
  explicit BackendStandin(std::string id);
  ~BackendStandin() override;

  const std::string& id() const { return id_; }
  void set_plan(const BackendPlan& plan);
  /// All that it was sent but queries for reports.
  std::vector<SeenRequest> seen() const;
  /// Its entry in the store's list of servers.
  std::string Entry(const std::string& service, const std::string& state) const;

 private:
  void Answer(const httplib::Request& request, httplib::Response& response);
  void AnswerStream(const BackendPlan& plan,
                    const SeenRequest& seen,
                    httplib::Response& response);

  std::string id_;
  mutable std::mutex mutex_;
  BackendPlan plan_;
  std::vector<SeenRequest> seen_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_PLATFORM_STANDIN_H_
