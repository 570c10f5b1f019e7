// Folds the configuration on several hosts that share a simulated log, with
// concurrent operators, repeated appends and retention. Hosts are disconnected
// from the log, replaced without state, or started from a peer's snapshot.
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mangoport/ledger/config_fold.h"
#include "mangoport/ledger/config_rules.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

constexpr std::size_t kHosts = 5;
constexpr std::size_t kOperators = 3;
constexpr std::uint64_t kRetainedEntries = 60;
constexpr std::uint64_t kChangesPerSnapshot = 15;
constexpr int kAccounts = 6;
constexpr int kKeys = 8;

struct SoakHost {
  std::unique_ptr<ConfigFold> fold = std::make_unique<ConfigFold>();
  std::unique_ptr<RecordWriter> writer;
  bool log_unreachable = false;
  std::uint64_t highest_offset = 0;
};

/// An operator, who may publish changes based on an old state.
struct SoakOperator {
  std::unique_ptr<RecordWriter> writer;
  std::uint64_t based_on = 0;
};

class ConfigSoak {
 public:
  ConfigSoak(std::uint64_t seed, SoakProgress& progress)
      : random_(seed), progress_(progress) {
    for (std::size_t i = 0; i < kHosts; ++i)
      ReplaceHost(i);
    for (std::size_t i = 0; i < kOperators; ++i) {
      operators_[i].writer = std::make_unique<RecordWriter>(
          WriterId("operator-" + std::to_string(i)));
    }
    PublishTemplate();
  }

  void Step() {
    const std::uint64_t kind = random_() % 20;
    const std::size_t host = random_() % kHosts;
    if (kind < 6)
      Publish(operators_[random_() % kOperators]);
    if (kind >= 6 && kind < 15)
      Read(host, 1 + random_() % 8);
    if (kind == 15)
      ToggleLogAccess(host);
    if (kind == 16)
      ReplaceHost(host);
    if (kind >= 17)
      LoadFromPeer(host, random_() % kHosts);
    MaybeAppendSnapshot(host);
    Check(host);
    CatchUpOne();
  }

  /// Reconnects all hosts and checks that they reach the newest state.
  void Finish() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_[i].log_unreachable = false;
      for (int round = 0; round < 40; ++round)
        Read(i, 64);
      Check(i);
      CheckInvariant(hosts_[i].fold->next_offset() == log_.size(),
                     "all hosts reach the newest configuration", [&] {
                       return "host " + std::to_string(i) + " stays at " +
                              std::to_string(hosts_[i].fold->next_offset()) +
                              " of " + std::to_string(log_.size());
                     });
    }
  }

 private:
  /// Disconnects a host from the log or reconnects it. At least one host stays
  /// connected.
  void ToggleLogAccess(std::size_t i) {
    std::size_t connected = 0;
    for (const SoakHost& it : hosts_)
      connected += it.log_unreachable ? 0 : 1;
    if (hosts_[i].log_unreachable || connected > 1)
      hosts_[i].log_unreachable = !hosts_[i].log_unreachable;
  }

  /// Lets a connected host read to the log's end and append a snapshot at least
  /// four times per retention period. The system requires the log to retain
  /// entries long enough for this.
  void CatchUpOne() {
    if (log_.size() < caught_up_at_ + kRetainedEntries / 4)
      return;
    caught_up_at_ = log_.size();
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (hosts_[i].log_unreachable)
        continue;
      Read(i, kRetainedEntries);
      MaybeAppendSnapshot(i);
      Check(i);
      return;
    }
  }

  void Append(const std::string& payload) {
    log_.push_back(payload);
    if (log_.size() > kRetainedEntries)
      first_retained_ = log_.size() - kRetainedEntries;
    reference_.ReadEntries(0, {{log_.size() - 1, log_.back()}});
    states_[reference_.next_offset()] =
        reference_.MakeSnapshot().SerializeAsString();
    for (const ChangeVerdict& it : reference_.TakeVerdicts())
      CheckVerdict(it);
  }

  /// Checks a verdict of the fold against the published changes.
  void CheckVerdict(const ChangeVerdict& verdict) {
    const wire::ConfigChange& change =
        published_[verdict.writer + std::to_string(verdict.sequence)];
    if (!verdict.accepted)
      return;
    const bool withdrawal = OnlyWithdrawsKeys(change);
    for (const ItemKey& it : verdict.touched) {
      const auto last = last_change_.find(it);
      CheckInvariant(
          withdrawal || last == last_change_.end() ||
              last->second < change.based_on(),
          "a change that conflicts with an earlier one is rejected",
          [&] { return ToString(it) + " at " + ToString(verdict.position); });
      last_change_[it] = verdict.position.offset;
    }
    for (const wire::ConfigItem& it : change.puts()) {
      if (!it.has_key())
        continue;
      if (it.key().withdrawn())
        withdrawn_at_.emplace(it.key().id(), verdict.position.offset);
    }
  }

  void PublishTemplate() {
    wire::ConfigChange change;
    wire::TemplateConfig* item = change.add_puts()->mutable_template_item();
    item->set_name("standard");
    item->set_weight(1);
    for (int i = 0; i < kAccounts; ++i) {
      wire::AccountConfig* account = change.add_puts()->mutable_account();
      account->set_name("account-" + std::to_string(i));
      account->set_template_name("standard");
    }
    AppendChange(operators_[0], change);
  }

  void AppendChange(SoakOperator& author, const wire::ConfigChange& change) {
    const wire::Envelope record = author.writer->Wrap(
        wire::RECORD_KIND_CONFIG_CHANGE, change.SerializeAsString());
    published_[record.writer() + std::to_string(record.sequence())] = change;
    const std::string payload = EncodeBatch({record});
    // Simulates a lost append result, after which the writer appends again.
    const std::uint64_t times = random_() % 4 == 0 ? 2 : 1;
    for (std::uint64_t i = 0; i < times; ++i)
      Append(payload);
  }

  void Publish(SoakOperator& author) {
    wire::ConfigChange change;
    change.set_based_on(author.based_on);
    if (random_() % 3 == 0) {
      wire::KeyConfig* key = change.add_puts()->mutable_key();
      key->set_id("key-" + std::to_string(random_() % kKeys));
      key->set_account("account-0");
      key->set_withdrawn(random_() % 3 == 0);
    } else if (random_() % 8 == 0) {
      wire::ItemName* removal = change.add_removals();
      removal->set_kind(wire::ITEM_KIND_ACCOUNT);
      removal->set_name("account-" +
                        std::to_string(1 + random_() % (kAccounts - 1)));
    } else {
      wire::AccountConfig* account = change.add_puts()->mutable_account();
      account->set_name("account-" + std::to_string(random_() % kAccounts));
      account->set_template_name("standard");
      account->set_rate(static_cast<double>(random_() % 1000));
    }
    progress_.Note("publish based on " + std::to_string(author.based_on) +
                   " at " + std::to_string(log_.size()));
    AppendChange(author, change);
    // The operator reads the log again or continues with an old state.
    if (random_() % 3 != 0)
      author.based_on = log_.size();
  }

  void Read(std::size_t i, std::size_t max_entries) {
    SoakHost& host = hosts_[i];
    if (host.log_unreachable)
      return;
    std::uint64_t from = std::max(host.fold->read_from(), first_retained_);
    std::vector<EntryView> entries;
    for (; from < log_.size() && entries.size() < max_entries; ++from)
      entries.push_back({from, log_[from]});
    host.fold->ReadEntries(first_retained_, entries);
    progress_.Note("host " + std::to_string(i) + " reads up to " +
                   std::to_string(from) + ", state is at " +
                   std::to_string(host.fold->next_offset()));
  }

  void ReplaceHost(std::size_t i) {
    hosts_[i] = SoakHost();
    hosts_[i].writer = std::make_unique<RecordWriter>(
        WriterId("host-" + std::to_string(++replacements_)));
  }

  void LoadFromPeer(std::size_t to, std::size_t from) {
    progress_.Note("host " + std::to_string(to) + " loads a snapshot of host " +
                   std::to_string(from));
    hosts_[to].fold->LoadSnapshot(hosts_[from].fold->MakeSnapshot());
  }

  void MaybeAppendSnapshot(std::size_t i) {
    SoakHost& host = hosts_[i];
    if (host.log_unreachable ||
        host.fold->changes_since_snapshot() < kChangesPerSnapshot)
      return;
    progress_.Note("host " + std::to_string(i) + " appends a snapshot");
    Append(EncodeBatch(
        {host.writer->Wrap(wire::RECORD_KIND_CONFIG_SNAPSHOT,
                           host.fold->MakeSnapshot().SerializeAsString())}));
  }

  void Check(std::size_t i) {
    SoakHost& host = hosts_[i];
    const std::uint64_t offset = host.fold->next_offset();
    CheckInvariant(offset >= host.highest_offset,
                   "the configuration never reverts to an older offset", [&] {
                     return std::to_string(offset) + " after " +
                            std::to_string(host.highest_offset);
                   });
    host.highest_offset = offset;
    if (offset == 0)
      return;
    CheckInvariant(
        host.fold->MakeSnapshot().SerializeAsString() == states_[offset],
        "hosts at the same offset hold the same configuration", [&] {
          return "host " + std::to_string(i) + " at " + std::to_string(offset);
        });
    for (const auto& it : withdrawn_at_) {
      const wire::KeyConfig* key = host.fold->view()->FindKey(KeyId(it.first));
      CheckInvariant(offset <= it.second || !key || key->withdrawn(),
                     "a withdrawn key stays withdrawn",
                     [&it] { return it.first; });
    }
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  std::vector<std::string> log_;
  std::uint64_t first_retained_ = 0;
  ConfigFold reference_;
  std::map<std::uint64_t, std::string> states_;
  std::map<std::string, wire::ConfigChange> published_;
  std::map<ItemKey, std::uint64_t> last_change_;
  std::map<std::string, std::uint64_t> withdrawn_at_;
  SoakHost hosts_[kHosts];
  SoakOperator operators_[kOperators];
  std::uint64_t replacements_ = 0;
  std::uint64_t caught_up_at_ = 0;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  ConfigSoak soak(options.seed, progress);
  for (progress.step = 0; progress.step < options.steps; ++progress.step)
    soak.Step();
  soak.Finish();
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"conflict_ignored", "snapshot_reverts", "gap_ignored",
       "late_snapshot_trusted", "withdrawal_repeated", "withdrawn_key_returns"},
      mangoport::Run);
}
