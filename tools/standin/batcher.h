#ifndef MANGOPORT_TOOLS_STANDIN_BATCHER_H_
#define MANGOPORT_TOOLS_STANDIN_BATCHER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "mangoport/core/time.h"
#include "tools/standin/prefix_cache.h"

namespace mangoport::standin {

struct CompletionRequest {
  std::string request_id;
  std::string model;
  std::string adapter;
  std::string prompt;
  /// Length of the whole answer, also for a resumed stream.
  std::uint64_t max_tokens = 16;
  /// Larger runs first.
  int priority = 0;
  /// Index of the first token to produce.
  std::uint64_t resume_from = 0;
};

/// One request on its way through the batch, shared by the batch and the
/// connection that streams it.
class Generation {
 public:
  explicit Generation(CompletionRequest asked)
      : request(std::move(asked)), produced_(request.resume_from) {}

  /// Waits up to `wait` until token `index` exists or the request has ended;
  /// true if the token exists.
  bool WaitForToken(std::uint64_t index, Duration wait);

  /// True once no token will follow those that exist.
  bool Ended() const;

  void Cancel();
  bool cancelled() const { return cancelled_; }

  const CompletionRequest request;

 private:
  friend class Batcher;

  /// Adds a token; true if the answer is complete.
  bool Advance();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t produced_;
  std::atomic<bool> cancelled_ = false;
  /// Steps of the batch that its prompt still takes; the batch's own.
  std::uint64_t prefill_steps_ = 0;
};

struct BatcherOptions {
  Duration token_time = std::chrono::milliseconds(5);
  std::size_t max_batch = 32;
  /// Growth of a step's time for each request beyond the first.
  double slowdown_per_request = 0.02;
  /// Blocks of the prompt that one step works through.
  std::size_t prefill_blocks_per_step = 8;
};

/// Continuous batching with a token clock: each step gives every running
/// request one token; the rest wait by priority.
class Batcher {
 public:
  Batcher(BatcherOptions options, PrefixCache* cache);
  ~Batcher();

  std::shared_ptr<Generation> Submit(CompletionRequest request);

  /// Cancels every request with this id; returns how many there were.
  std::size_t Cancel(const std::string& request_id);

  std::size_t Running() const;
  std::size_t Queued() const;
  /// Requests of a model that run or wait.
  std::size_t InFlight(const std::string& model) const;
  std::uint64_t tokens_produced() const { return tokens_produced_; }

 private:
  using Item = std::shared_ptr<Generation>;

  void Run();
  void FillBatch();
  void Step();
  Duration StepTime() const;

  const BatcherOptions options_;
  PrefixCache* const cache_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Item> queue_;
  std::vector<Item> running_;
  std::atomic<std::uint64_t> tokens_produced_ = 0;
  bool stopping_ = false;
  /// Last, so that it starts when the rest is there.
  std::thread thread_;
};

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_BATCHER_H_
