// How requests and the forwarder deal with what crashes servers: requests, and
// parts of prompts.
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

/// A stream that was lost with so many servers soon after it had begun may be
/// what crashes them. It isn't resumed at another.
constexpr std::uint32_t kMostBlamedLosses = 2;

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

std::string_view EventName(RequestDecision::Kind kind) {
  switch (kind) {
    case RequestDecision::Kind::kQuarantined:
      return "request_quarantined";
    case RequestDecision::Kind::kProbed:
      return "request_probed";
    case RequestDecision::Kind::kReleased:
      return "request_released";
  }
  return "request";
}

}  // namespace

bool RequestExchange::AdmitContent(MonoTime now) {
  if (answer_begun_ && blamed_losses_ >= kMostBlamedLosses) {
    Refuse(now, {.status = 503, .reason = "lost_with_servers"});
    return false;
  }
  // A probe may wait for a copy, or be refused by a full server.
  if (is_probe_ && runs_ == 0)
    return true;
  const auto wait = host_.crash_suspects_.Refusal(now, fingerprint_);
  if (wait) {
    Refuse(now, {.status = 503, .reason = "quarantined", .retry_after = *wait});
    return false;
  }
  is_probe_ = host_.crash_suspects_.IsQuarantined(fingerprint_);
  if (is_probe_)
    host_.parts_.log.Write(LogLine("probe_sent")
                               .Add("id", request_id_)
                               .Add("fingerprint", ToHex(fingerprint_)));
  return true;
}

void RequestExchange::NoteWholeAnswer(MonoTime now) {
  if (answer_.status / 100 != 2)
    return;
  answer_.grade = AnswerGrade::kWhole;
  host_.crash_suspects_.OnAnswered(now, fingerprint_);
  host_.part_suspects_.OnAnswer(now, shared_parts_, AnswerGrade::kWhole);
}

std::optional<Duration> RequestExchange::PartRefusal(MonoTime now) {
  if (shared_parts_.empty())
    return std::nullopt;
  return host_.part_suspects_.Refusal(now, shared_parts_, blamed_losses_ > 0);
}

bool RequestExchange::AdmitParts(MonoTime now) {
  const auto wait = PartRefusal(now);
  if (!wait)
    return true;
  Refuse(now,
         {.status = 503, .reason = "quarantined_part", .retry_after = *wait});
  return false;
}

void RequestExchange::NoteAnswerGoesOn(MonoTime now) {
  if (!answer_.begun_at)
    answer_.begun_at = now;
  const auto grade = GradeAfter(AnsweredFor(now, answer_));
  if (!grade || grade <= answer_.grade)
    return;
  answer_.grade = grade;
  host_.part_suspects_.OnAnswer(now, shared_parts_, *grade);
}

Duration RequestExchange::AnsweredFor(MonoTime now, const Answer& answer) {
  return answer.begun_at ? now - *answer.begun_at : Duration::zero();
}

void RequestExchange::NoteLoss(MonoTime now,
                               const ServerStart& start,
                               const Answer& answer,
                               const HttpFailure& failure) {
  if (!failure.request_sent)
    return;
  const Duration answered_for = AnsweredFor(now, answer);
  const bool blames = answered_for <= kAnswerTrial;
  std::uint32_t crashes = 0;
  if (blames)
    crashes = host_.crash_suspects_.OnServerLost(
        now, {.fingerprint = fingerprint_,
              .server = start.server,
              .server_started_at_ms = start.started_at_ms});
  if (failure.by_peer) {
    blamed_losses_ += blames ? 1 : 0;
    NotePartLoss(now, start, answered_for);
  }
  // One crash says nothing of a request yet, and many are lost in it.
  const bool is_part_loss = blames && failure.by_peer && !shared_parts_.empty();
  if (host_.on_loss_ && (is_part_loss || crashes > 1))
    host_.on_loss_();
}

void RequestExchange::NotePartLoss(MonoTime now,
                                   const ServerStart& start,
                                   Duration answered_for) {
  if (shared_parts_.empty())
    return;
  host_.parts_.log.Write(LogLine("lost_with_server")
                             .Add("id", request_id_)
                             .Add("server", start.server.value())
                             .Add("server_started_at_ms", start.started_at_ms)
                             .Add("answered_for_ms", answered_for)
                             .Add("parts", ToHex(shared_parts_)));
  host_.part_suspects_.OnLost(now,
                              {.fingerprint = fingerprint_,
                               .server = start.server,
                               .server_started_at_ms = start.started_at_ms,
                               .answered_for = answered_for},
                              shared_parts_);
}

void RequestExchange::OnPartQuarantined(MonoTime now, PartHash part) {
  if (done_ || !connection_ || answer_.begun_at)
    return;
  if (std::find(shared_parts_.begin(), shared_parts_.end(), part) !=
      shared_parts_.end())
    GiveUp(now, "quarantined_part");
}

void Forwarder::OnRequestDecision(const RequestDecision& decision) {
  parts_.log.Write(LogLine(EventName(decision.kind))
                       .Add("fingerprint", ToHex(decision.fingerprint))
                       .Add("crashes", decision.crashes)
                       .Add("probes", decision.probes)
                       .Add("last_crash_ms", decision.last_crash_age));
}

void Forwarder::OnPartDecision(const PartDecision& decision) {
  parts_.log.Write(LogLine(EventName(decision.kind))
                       .Add("part", ToHex(decision.part))
                       .Add("crashes", decision.crashes)
                       .Add("requests", decision.requests)
                       .Add("first_crash_ms", decision.first_crash_age)
                       .Add("last_crash_ms", decision.last_crash_age)
                       .Add("sound_ms", decision.sound_age));
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
