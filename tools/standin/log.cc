// The append-only log service: streams of entries with offsets, a limit on
// appends a second and limited retention.
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <openssl/evp.h>

#include "tools/standin/roles.h"
#include "tools/standin/server.h"
#include "tools/standin/token_bucket.h"

namespace mangoport::standin {
namespace {

constexpr std::uint64_t kDefaultPage = 1000;
constexpr std::uint64_t kMaxWaitMs = 60000;

std::string Base64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

class Stream {
 public:
  /// Keeps the newest `retain` entries, or all if it is zero.
  std::uint64_t Append(std::string payload, std::uint64_t retain) {
    const std::lock_guard lock(mutex_);
    entries_.push_back(std::move(payload));
    if (retain > 0 && entries_.size() > retain) {
      entries_.pop_front();
      ++first_;
    }
    grown_.notify_all();
    return End() - 1;
  }

  /// Waits up to `wait` for an entry at or after `from`.
  Json Read(std::uint64_t from, std::uint64_t max, Millis wait) {
    std::unique_lock lock(mutex_);
    grown_.wait_for(lock, wait, [&] { return End() > from; });
    Json entries = Json::array();
    for (std::uint64_t i = std::max(from, first_); i < End(); ++i) {
      if (entries.size() >= max)
        break;
      entries.push_back(
          {{"offset", i}, {"payload", Base64(entries_[i - first_])}});
    }
    return {{"first_retained", first_}, {"entries", std::move(entries)}};
  }

 private:
  std::uint64_t End() const { return first_ + entries_.size(); }

  std::mutex mutex_;
  std::condition_variable grown_;
  std::uint64_t first_ = 0;
  std::deque<std::string> entries_;
};

class Streams {
 public:
  Stream& Find(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return streams_[name];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Stream> streams_;
};

}  // namespace

int RunLog(int argc, char** argv) {
  ServerOptions options{.name = "log"};
  double appends_per_second = 300;
  double burst = 50;
  int retain_entries = 0;
  Flags flags;
  options.AddTo(flags);
  flags.Add("appends-per-second", &appends_per_second);
  flags.Add("burst", &burst);
  flags.Add("retain-entries", &retain_entries);
  if (!flags.Parse(argc, argv))
    return 2;

  Server server(options);
  Streams streams;
  TokenBucket rate(appends_per_second, burst);
  std::atomic<std::uint64_t> appended = 0;
  std::atomic<std::uint64_t> refused = 0;
  const char* const path = R"(/v1/streams/([A-Za-z0-9.\-]+)/entries)";
  server.Post(path, [&](const HttpRequest& req, HttpResponse& res) {
    if (!rate.TryTake(Now())) {
      ++refused;
      ReplyError(res, 429, "too many appends");
      return;
    }
    ++appended;
    const std::uint64_t offset =
        streams.Find(req.matches[1])
            .Append(req.body, static_cast<std::uint64_t>(retain_entries));
    Reply(res, 200, {{"offset", offset}});
  });
  server.Get(path, [&](const HttpRequest& req, HttpResponse& res) {
    const std::uint64_t wait =
        std::min(kMaxWaitMs, QueryNumber(req, "wait_ms", 0));
    Reply(res, 200,
          streams.Find(req.matches[1])
              .Read(QueryNumber(req, "from", 0),
                    QueryNumber(req, "max", kDefaultPage), Millis(wait)));
  });
  server.OnStats([&](Json& stats) {
    stats["appends"] = appended.load();
    stats["appends_refused"] = refused.load();
  });
  return server.Run();
}

}  // namespace mangoport::standin
