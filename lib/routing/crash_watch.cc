#include "mangoport/routing/crash_watch.h"

#include <algorithm>
#include <utility>

namespace mangoport {
namespace {

/// A crash this long after the end of an attempt may still be due to it.
constexpr Duration kLinger = std::chrono::seconds(2);
/// How long a request that ran well is trusted to run well again.
constexpr Duration kVouchLifetime = std::chrono::minutes(5);
constexpr std::size_t kMaxVouched = 4096;

template <typename Key>
void EraseFrom(std::unordered_map<Key, std::vector<CrashWatch::Ticket>>& index,
               const Key& key,
               CrashWatch::Ticket ticket) {
  const auto it = index.find(key);
  if (it == index.end())
    return;
  std::erase(it->second, ticket);
  if (it->second.empty())
    index.erase(it);
}

}  // namespace

CrashWatch::Ticket CrashWatch::Begin(MonoTime now, WatchedAttempt attempt) {
  Forget(now);
  const Ticket ticket = next_ticket_++;
  by_server_[attempt.server].push_back(ticket);
  by_fingerprint_[attempt.fingerprint].push_back(ticket);
  entries_[ticket].attempt = std::move(attempt);
  return ticket;
}

void CrashWatch::MarkProven(MonoTime now, Ticket ticket, bool stays_isolated) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end())
    return;
  it->second.proven = true;
  it->second.attempt.isolated &= stays_isolated;
  if (vouched_.size() >= kMaxVouched)
    std::erase_if(vouched_,
                  [now](const auto& vouched) { return vouched.second <= now; });
  if (vouched_.size() < kMaxVouched)
    vouched_[it->second.attempt.fingerprint] = now + kVouchLifetime;
}

void CrashWatch::End(MonoTime now, Ticket ticket) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end() || it->second.ended_at)
    return;
  it->second.ended_at = now;
  // Others may start on the server from now on.
  it->second.attempt.isolated = false;
  if (it->second.proven) {
    Erase(ticket);
    return;
  }
  lingering_.push_back(ticket);
}

void CrashWatch::Withdraw(Ticket ticket) {
  Erase(ticket);
}

void CrashWatch::Erase(Ticket ticket) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end())
    return;
  EraseFrom(by_server_, it->second.attempt.server, ticket);
  EraseFrom(by_fingerprint_, it->second.attempt.fingerprint, ticket);
  entries_.erase(it);
}

void CrashWatch::Forget(MonoTime now) {
  while (!lingering_.empty()) {
    const auto it = entries_.find(lingering_.front());
    if (it != entries_.end() && now - *it->second.ended_at < kLinger)
      return;
    Erase(lingering_.front());
    lingering_.pop_front();
  }
}

std::vector<wire::Suspect> CrashWatch::OnServerDied(MonoTime now,
                                                    const ServerId& server) {
  Forget(now);
  std::vector<wire::Suspect> suspects;
  const auto tickets = by_server_.find(server);
  if (tickets == by_server_.end())
    return suspects;
  for (const Ticket ticket : std::vector<Ticket>(tickets->second)) {
    const Entry& entry = entries_.at(ticket);
    wire::Suspect& suspect = suspects.emplace_back();
    suspect.set_account(entry.attempt.fingerprint.account.value());
    suspect.set_fingerprint(entry.attempt.fingerprint.hash);
    suspect.set_sketch(entry.attempt.sketch);
    suspect.set_proven(entry.proven);
    suspect.set_isolated(entry.attempt.isolated);
    vouched_.erase(entry.attempt.fingerprint);
    Erase(ticket);
  }
  return suspects;
}

std::optional<ServerId> CrashWatch::RunningOn(
    const Fingerprint& fingerprint) const {
  const auto tickets = by_fingerprint_.find(fingerprint);
  if (tickets == by_fingerprint_.end() || vouched_.contains(fingerprint))
    return std::nullopt;
  for (const Ticket ticket : tickets->second) {
    const Entry& entry = entries_.at(ticket);
    if (!entry.proven)
      return entry.attempt.server;
  }
  return std::nullopt;
}

}  // namespace mangoport
