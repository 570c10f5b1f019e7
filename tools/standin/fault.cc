#include "tools/standin/fault.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangoport::standin {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kUnlimited = UINT64_MAX;

std::optional<FaultKind> ParseKind(const std::string& name) {
  static const struct {
    const char* name;
    FaultKind kind;
  } kNames[] = {{"delay", FaultKind::kDelay},
                {"drop", FaultKind::kDrop},
                {"lose_answer", FaultKind::kLoseAnswer},
                {"outage", FaultKind::kOutage},
                {"freeze", FaultKind::kFreeze},
                {"freeze_after", FaultKind::kFreezeAfter},
                {"crash_on", FaultKind::kCrashOn}};
  for (const auto& it : kNames) {
    if (name == it.name)
      return it.kind;
  }
  return std::nullopt;
}

Fault MakeFault(FaultKind kind, const Json& body, MonoTime now) {
  Fault fault;
  fault.kind = kind;
  fault.path_contains = body.value("path_contains", "");
  fault.remaining = kUnlimited;
  if (kind == FaultKind::kCrashOn) {
    fault.marker = body.value("value", "");
    return fault;
  }
  const std::uint64_t value = body.value("value", std::uint64_t{1});
  switch (kind) {
    case FaultKind::kDelay:
      fault.delay = std::chrono::milliseconds(value);
      fault.remaining = body.value("count", kUnlimited);
      break;
    case FaultKind::kOutage:
      fault.until = now + std::chrono::milliseconds(value);
      break;
    case FaultKind::kFreezeAfter:
      fault.after_tokens = value;
      fault.remaining = body.value("count", std::uint64_t{1});
      break;
    default:
      fault.remaining = value;
      break;
  }
  return fault;
}

bool Matches(const Fault& fault, std::string_view path) {
  return fault.remaining > 0 &&
         path.find(fault.path_contains) != std::string_view::npos;
}

void Use(Fault& fault) {
  if (fault.remaining != kUnlimited)
    --fault.remaining;
}

}  // namespace

std::string FaultPlan::Apply(std::string_view body, MonoTime now) {
  const Json parsed = Json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("kind"))
    return "expected a JSON object with \"kind\"";
  try {
    const std::string name = parsed.at("kind");
    const std::lock_guard lock(mutex_);
    if (name == "clear") {
      faults_.clear();
      return {};
    }
    const std::optional<FaultKind> kind = ParseKind(name);
    if (!kind)
      return "unknown kind '" + name + "'";
    faults_.push_back(MakeFault(*kind, parsed, now));
  } catch (const Json::exception& e) {
    return e.what();
  }
  return {};
}

void FaultPlan::AddCrashMarker(std::string marker) {
  Fault fault;
  fault.kind = FaultKind::kCrashOn;
  fault.marker = std::move(marker);
  const std::lock_guard lock(mutex_);
  faults_.push_back(std::move(fault));
}

Verdict FaultPlan::Judge(std::string_view path, MonoTime now) {
  Verdict verdict;
  const std::lock_guard lock(mutex_);
  for (Fault& it : faults_) {
    if (!Matches(it, path))
      continue;
    switch (it.kind) {
      case FaultKind::kDelay:
        verdict.delay += it.delay;
        break;
      case FaultKind::kDrop:
        verdict.drop = true;
        break;
      case FaultKind::kLoseAnswer:
        verdict.lose_answer = true;
        break;
      case FaultKind::kFreeze:
        verdict.freeze = true;
        break;
      case FaultKind::kOutage:
        verdict.outage = verdict.outage || now < it.until;
        continue;
      case FaultKind::kFreezeAfter:
      case FaultKind::kCrashOn:
        continue;
    }
    Use(it);
  }
  return verdict;
}

bool FaultPlan::TakeStreamFreeze(std::string_view path, std::uint64_t tokens) {
  const std::lock_guard lock(mutex_);
  for (Fault& it : faults_) {
    if (it.kind != FaultKind::kFreeze && it.kind != FaultKind::kFreezeAfter)
      continue;
    if (!Matches(it, path) || tokens < it.after_tokens)
      continue;
    Use(it);
    return true;
  }
  return false;
}

bool FaultPlan::IsCrashing(std::string_view body) const {
  const std::lock_guard lock(mutex_);
  for (const Fault& it : faults_) {
    if (it.kind == FaultKind::kCrashOn && !it.marker.empty() &&
        body.find(it.marker) != std::string_view::npos)
      return true;
  }
  return false;
}

std::vector<std::string> FaultPlan::CrashMarkers() const {
  std::vector<std::string> markers;
  const std::lock_guard lock(mutex_);
  for (const Fault& it : faults_) {
    if (it.kind == FaultKind::kCrashOn)
      markers.push_back(it.marker);
  }
  return markers;
}

}  // namespace mangoport::standin
