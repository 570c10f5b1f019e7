#include "tools/standin/batcher.h"

#include <algorithm>
#include <utility>

namespace mangoport::standin {

bool Generation::WaitForToken(std::uint64_t index, Duration wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait,
                    [&] { return produced_ > index || cancelled_; });
  return produced_ > index;
}

bool Generation::Ended() const {
  const std::lock_guard lock(mutex_);
  return cancelled_ || produced_ >= request.max_tokens;
}

void Generation::Cancel() {
  const std::lock_guard lock(mutex_);
  cancelled_ = true;
  changed_.notify_all();
}

bool Generation::Advance() {
  const std::lock_guard lock(mutex_);
  if (produced_ < request.max_tokens)
    ++produced_;
  changed_.notify_all();
  return produced_ >= request.max_tokens;
}

Batcher::Batcher(BatcherOptions options, PrefixCache* cache)
    : options_(options), cache_(cache), thread_([this] { Run(); }) {}

Batcher::~Batcher() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

std::shared_ptr<Generation> Batcher::Submit(CompletionRequest request) {
  auto item = std::make_shared<Generation>(std::move(request));
  const std::lock_guard lock(mutex_);
  const auto after =
      std::find_if(queue_.begin(), queue_.end(), [&item](const Item& it) {
        return it->request.priority < item->request.priority;
      });
  queue_.insert(after, item);
  wake_.notify_all();
  return item;
}

std::size_t Batcher::Cancel(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  std::size_t n = 0;
  for (const std::vector<Item>* list : {&queue_, &running_}) {
    for (const Item& it : *list) {
      if (it->request.request_id != request_id)
        continue;
      it->Cancel();
      ++n;
    }
  }
  return n;
}

std::size_t Batcher::Running() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

std::size_t Batcher::Queued() const {
  const std::lock_guard lock(mutex_);
  return queue_.size();
}

std::size_t Batcher::InFlight(const std::string& model) const {
  const auto same = [&model](const Item& it) {
    return it->request.model == model;
  };
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(queue_.begin(), queue_.end(), same) +
      std::count_if(running_.begin(), running_.end(), same));
}

void Batcher::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    FillBatch();
    if (running_.empty()) {
      wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      continue;
    }
    const MonoTime end = std::chrono::steady_clock::now() + StepTime();
    wake_.wait_until(lock, end, [this] { return stopping_; });
    Step();
  }
}

void Batcher::FillBatch() {
  std::erase_if(queue_, [](const Item& it) { return it->cancelled(); });
  while (running_.size() < options_.max_batch && !queue_.empty()) {
    Item item = queue_.front();
    queue_.erase(queue_.begin());
    const std::size_t blocks =
        cache_->Use(item->request.model, item->request.prompt,
                    std::chrono::steady_clock::now());
    item->prefill_steps_ = blocks / options_.prefill_blocks_per_step;
    running_.push_back(std::move(item));
  }
}

void Batcher::Step() {
  std::erase_if(running_, [this](const Item& it) {
    if (it->Ended())
      return true;
    if (it->prefill_steps_ > 0) {
      --it->prefill_steps_;
      return false;
    }
    ++tokens_produced_;
    return it->Advance();
  });
}

Duration Batcher::StepTime() const {
  const double growth = 1 + options_.slowdown_per_request *
                                static_cast<double>(running_.size() - 1);
  return std::chrono::duration_cast<Duration>(options_.token_time * growth);
}

}  // namespace mangoport::standin
