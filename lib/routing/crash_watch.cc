#include "mangoport/routing/crash_watch.h"

#include <algorithm>
#include <utility>

namespace mangoport {
namespace {

/// A crash within this time after the end of an attempt may be caused by it.
constexpr Duration kSuspectRetention = std::chrono::seconds(2);
/// How long a request that ran without a crash is assumed to be harmless.
constexpr Duration kHarmlessLifetime = std::chrono::minutes(5);
/// Further requests are not recorded as harmless.
constexpr std::size_t kMaxHarmless = 4096;

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
  RemoveExpired(now);
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
  if (harmless_until_.size() >= kMaxHarmless)
    std::erase_if(harmless_until_,
                  [now](const auto& entry) { return entry.second <= now; });
  if (harmless_until_.size() < kMaxHarmless)
    harmless_until_[it->second.attempt.fingerprint] = now + kHarmlessLifetime;
}

void CrashWatch::End(MonoTime now, Ticket ticket) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end() || it->second.ended_at)
    return;
  it->second.ended_at = now;
  // Other requests may start on the server from now on.
  it->second.attempt.isolated = false;
  if (it->second.proven) {
    Erase(ticket);
    return;
  }
  ended_unproven_.push_back(ticket);
}

void CrashWatch::Discard(Ticket ticket) {
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

void CrashWatch::RemoveExpired(MonoTime now) {
  while (!ended_unproven_.empty()) {
    const auto it = entries_.find(ended_unproven_.front());
    if (it != entries_.end() && now - *it->second.ended_at < kSuspectRetention)
      return;
    Erase(ended_unproven_.front());
    ended_unproven_.pop_front();
  }
}

std::vector<wire::Suspect> CrashWatch::OnServerDied(MonoTime now,
                                                    const ServerId& server) {
  RemoveExpired(now);
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
    harmless_until_.erase(entry.attempt.fingerprint);
    Erase(ticket);
  }
  return suspects;
}

std::optional<ServerId> CrashWatch::FindUnprovenCopy(
    const Fingerprint& fingerprint) const {
  const auto tickets = by_fingerprint_.find(fingerprint);
  if (tickets == by_fingerprint_.end() || harmless_until_.contains(fingerprint))
    return std::nullopt;
  for (const Ticket ticket : tickets->second) {
    const Entry& entry = entries_.at(ticket);
    if (!entry.proven)
      return entry.attempt.server;
  }
  return std::nullopt;
}

}  // namespace mangoport
