// How requests and the forwarder deal with parts of prompts that crash servers.
#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lib/forward/request_exchange.h"

namespace mangoport {
namespace {

std::string ToHex(PartHash part) {
  std::array<char, 16> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 part, /*base=*/16);
  return std::string(digits.data(), end.ptr);
}

std::string ToHex(const std::vector<PartHash>& parts) {
  std::string out;
  for (const PartHash it : parts)
    out += (out.empty() ? "" : ",") + ToHex(it);
  return out;
}

std::string_view EventName(PartDecision::Kind kind) {
  switch (kind) {
    case PartDecision::Kind::kSuspected:
      return "part_suspected";
    case PartDecision::Kind::kQuarantined:
      return "part_quarantined";
    case PartDecision::Kind::kReleased:
      return "part_released";
  }
  return "part";
}

}  // namespace

std::optional<Duration> RequestExchange::PartRefusal(MonoTime now) {
  if (shared_parts_.empty() || begun_noted_)
    return std::nullopt;
  return host_.part_suspects_.Refusal(now, shared_parts_, lost_);
}

bool RequestExchange::AdmitParts(MonoTime now) {
  const auto wait = PartRefusal(now);
  if (!wait)
    return true;
  Refuse(now,
         {.status = 503, .reason = "quarantined_part", .retry_after = *wait});
  return false;
}

void RequestExchange::NoteAnswerBegun(MonoTime now) {
  if (!std::exchange(begun_noted_, true))
    host_.part_suspects_.OnBegun(now, shared_parts_);
}

void RequestExchange::NoteLoss(MonoTime now,
                               const ServerStart& start,
                               const HttpFailure& failure) {
  if (!failure.request_sent || !failure.by_peer || shared_parts_.empty())
    return;
  host_.parts_.log.Write(LogLine("lost_with_server")
                             .Add("id", request_id_)
                             .Add("server", start.server.value())
                             .Add("server_started_at_ms", start.started_at_ms)
                             .Add("begun", begun_noted_)
                             .Add("parts", ToHex(shared_parts_)));
  // A server that has begun to answer this request can answer it.
  if (begun_noted_)
    return;
  lost_ = true;
  host_.part_suspects_.OnLost(now,
                              {.fingerprint = fingerprint_,
                               .server = start.server,
                               .server_started_at_ms = start.started_at_ms},
                              shared_parts_);
  if (host_.on_loss_)
    host_.on_loss_();
}

void RequestExchange::OnPartQuarantined(MonoTime now, PartHash part) {
  if (done_ || !connection_ || begun_noted_)
    return;
  if (std::find(shared_parts_.begin(), shared_parts_.end(), part) !=
      shared_parts_.end())
    GiveUp(now, "quarantined_part");
}

void Forwarder::OnPartDecision(const PartDecision& decision) {
  parts_.log.Write(LogLine(EventName(decision.kind))
                       .Add("part", ToHex(decision.part))
                       .Add("crashes", decision.crashes)
                       .Add("requests", decision.requests)
                       .Add("first_crash_ms", decision.first_crash_age)
                       .Add("last_crash_ms", decision.last_crash_age)
                       .Add("begun_ms", decision.begun_age));
  if (decision.kind != PartDecision::Kind::kQuarantined)
    return;
  // The decision may fall while a request is being dispatched.
  parts_.timers.Add(std::chrono::steady_clock::now(),
                    [this, part = decision.part](MonoTime now) {
                      for (const auto& it : Exchanges())
                        it->OnPartQuarantined(now, part);
                    });
}

}  // namespace mangoport
