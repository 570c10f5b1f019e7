// Hosts compete for one lease through a log that delays, loses and duplicates
// appends and has outages. Clocks drift, and hosts are paused, killed and
// release the lease. At most one host may act at any time, and epochs must not
// decrease.
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "mangoport/membership/lease.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr int kHosts = 4;
constexpr milliseconds kStep{100};
constexpr double kMaxClockDrift = 0.02;

class Fleet {
 public:
  Fleet(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed), progress_(progress) {
    for (int i = 0; i < kHosts; ++i)
      hosts_.push_back(NewHost(i));
  }

  void Step() {
    true_time_ += kStep;
    if (Chance(300))
      outage_until_ = true_time_ + milliseconds(Random(20000));
    AppendDelayedEntries();
    for (int i = 0; i < kHosts; ++i)
      StepHost(i);
    CheckSingleHolder();
  }

 private:
  struct Host {
    Host(const std::string& name, double drift, Duration claim_delay)
        : name(name),
          drift(drift),
          writer(WriterId(name)),
          contender({.resource = "r", .claim_delay = claim_delay},
                    WriterId(name)),
          reader([this](const LogPosition& position,
                        const wire::Envelope& record) {
            fold.Apply(position, record);
          }) {}

    std::string name;
    double drift;
    RecordWriter writer;
    LeaseContender contender;
    LeaseFold fold;
    RecordReader reader;
    Duration paused_until{};
  };

  struct DelayedEntry {
    Duration append_at;
    std::string entry;
  };

  std::unique_ptr<Host> NewHost(int slot) {
    const double drift = std::uniform_real_distribution<>(
        -kMaxClockDrift, kMaxClockDrift)(random_);
    return std::make_unique<Host>(
        "h" + std::to_string(slot) + "/" + std::to_string(++incarnations_),
        drift, milliseconds(Random(500)));
  }

  MonoTime LocalTime(const Host& host) const {
    return MonoTime(
        std::chrono::duration_cast<Duration>(true_time_ * (1 + host.drift)));
  }

  void StepHost(int slot) {
    if (Chance(3000)) {
      progress_.Note("kill " + hosts_[slot]->name);
      hosts_[slot] = NewHost(slot);
      return;
    }
    Host& host = *hosts_[slot];
    if (true_time_ < host.paused_until)
      return;
    const MonoTime now = LocalTime(host);
    // A host may be paused between reading the log and acting on the result.
    if (Chance(200)) {
      host.paused_until = true_time_ + milliseconds(Random(40000));
      progress_.Note("pause " + host.name);
    }
    if (true_time_ >= outage_until_ && !Chance(4))
      Read(host, now);
    if (Chance(2000)) {
      if (const auto body = host.contender.Release())
        Append(host, wire::RECORD_KIND_LEASE_RELEASE, *body);
      hosts_[slot] = NewHost(slot);
      return;
    }
    if (const auto body = host.contender.NextClaim(now))
      Append(host, wire::RECORD_KIND_LEASE_CLAIM, *body);
  }

  void Read(Host& host, MonoTime now) {
    // Some reads are served by a lagging replica.
    const std::size_t end = log_.size() - std::min(log_.size(), Random(3));
    for (std::size_t i = host.reader.next_offset(); i < end; ++i)
      host.reader.ReadEntry(i, log_[i]);
    host.contender.Observe(now, host.fold);
  }

  void Append(Host& host, wire::RecordKind kind, const std::string& body) {
    const std::string entry = EncodeBatch({host.writer.Wrap(kind, body)});
    progress_.Note("append by " + host.name);
    if (Chance(6))
      return;
    const std::uint64_t copies = Chance(6) ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i)
      delayed_.push_back(
          {true_time_ + milliseconds(Chance(8) ? Random(30000) : Random(300)),
           entry});
  }

  void AppendDelayedEntries() {
    if (true_time_ < outage_until_ && !Chance(10))
      return;
    std::erase_if(delayed_, [this](const DelayedEntry& it) {
      if (it.append_at > true_time_)
        return false;
      log_.push_back(it.entry);
      return true;
    });
  }

  void CheckSingleHolder() {
    const Host* holder = nullptr;
    for (const auto& it : hosts_) {
      const std::optional<LogPosition> epoch =
          it->contender.HeldEpoch(LocalTime(*it));
      if (!epoch)
        continue;
      CheckInvariant(holder == nullptr, "at most one host acts at a time",
                     [&] { return holder->name + " and " + it->name; });
      holder = it.get();
      CheckInvariant(!(*epoch < highest_epoch_), "epochs never decrease",
                     [&] { return ToString(*epoch); });
      highest_epoch_ = *epoch;
      ++held_steps_;
    }
    CheckInvariant(progress_.step < 5000 || held_steps_ > 500,
                   "the lease is held in more than 500 steps by step 5000",
                   [&] { return std::to_string(held_steps_) + " steps"; });
  }

  std::uint64_t Random(std::uint64_t below) { return random_() % below; }
  bool Chance(std::uint64_t one_in) { return Random(one_in) == 0; }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  Duration true_time_{std::chrono::hours(1)};
  Duration outage_until_{};
  int incarnations_ = 0;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::string> log_;
  std::vector<DelayedEntry> delayed_;
  LogPosition highest_epoch_;
  std::uint64_t held_steps_ = 0;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  Fleet fleet(options, progress);
  for (progress.step = 0; progress.step < options.steps; ++progress.step)
    fleet.Step();
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"lease_claim_not_compared", "lease_counted_from_read",
       "lease_not_waited_out", "lease_not_checked_at_effect"},
      mangoport::Run);
}
