#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "lib/forward/request_exchange.h"

namespace mangoport {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::uint32_t kLeastUrgent = 9;

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    return std::nullopt;
  return value;
}

struct TokenUsage {
  std::int64_t prompt = 0;
  std::int64_t output = 0;
};

/// A number of tokens. Callers state it, so it is bounded before it is added
/// up.
std::optional<std::int64_t> ParseTokens(std::string_view text) {
  constexpr std::int64_t kMostTokens = std::int64_t{1} << 40;
  const auto tokens = ParseInteger(text);
  if (!tokens || *tokens < 0)
    return std::nullopt;
  return std::min(*tokens, kMostTokens);
}

/// "prompt,output"
std::optional<TokenUsage> ParseTokenUsage(std::string_view text) {
  const std::size_t comma = text.find(',');
  if (comma == std::string_view::npos)
    return std::nullopt;
  const auto prompt = ParseTokens(text.substr(0, comma));
  const auto output = ParseTokens(text.substr(comma + 1));
  if (!prompt || !output)
    return std::nullopt;
  return TokenUsage{.prompt = *prompt, .output = *output};
}

/// The tokens of the last of "id:tokens,id:tokens".
std::optional<std::int64_t> ParseOwnTokens(std::string_view parts) {
  const std::size_t colon = parts.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  return ParseTokens(parts.substr(colon + 1));
}

/// No engine reads a prompt that is larger than its memory, so more than that
/// is not counted as work.
std::int64_t ReadableTokens(std::int64_t stated, const EngineCapacity& engine) {
  constexpr std::uint64_t kMostTokens = std::uint64_t{1} << 20;
  const std::uint64_t most = engine.kv_tokens > 0
                                 ? std::min(engine.kv_tokens, kMostTokens)
                                 : kMostTokens;
  return std::min(stated, static_cast<std::int64_t>(most));
}

/// True if `model` is one of the engine's models, or an adapter of one. Callers
/// may send any name, and demand is kept by name and told to other hosts.
bool CanBeLoaded(const ModelId& model, const EngineCapacity& engine) {
  const std::string_view name = model.value();
  const std::size_t slash = name.find('/');
  const std::string_view base = name.substr(0, slash);
  const auto spec = std::find_if(
      engine.models.begin(), engine.models.end(),
      [base](const ModelSpec& it) { return it.model.value() == base; });
  if (spec == engine.models.end())
    return false;
  return slash == std::string_view::npos ||
         spec->HasAdapter(name.substr(slash + 1));
}

/// The parts that requests share: all but the last, which is the request's own.
std::string_view SharedParts(std::string_view parts) {
  const std::size_t comma = parts.rfind(',');
  return comma == std::string_view::npos ? std::string_view()
                                         : parts.substr(0, comma);
}

/// Hash of all that makes the work of a server: a request that comes again has
/// the same, and another request has not. What is asked may stand in the body
/// or in the fields.
std::uint64_t Fingerprint(const HttpRequest& request,
                          const AccountId& account,
                          const ForwardDialect& dialect) {
  const HttpFields& fields = request.head.fields;
  std::uint64_t out = 0;
  // The length keeps neighbouring texts apart.
  const auto add = [&out](std::string_view text) {
    out = XXH64(text.data(), text.size(), out + text.size());
  };
  add(request.head.method);
  add(request.head.target);
  add(account.value());
  add(FieldText(fields, dialect.model));
  add(FieldText(fields, dialect.prompt_parts));
  add(FieldText(fields, dialect.token_usage));
  add(request.body);
  return out;
}

}  // namespace

bool RequestExchange::Admit(MonoTime now) {
  if (host_.refuses_new_) {
    Refuse(now, {.status = 503, .reason = "stopping"});
    return false;
  }
  if (!config_) {
    Refuse(now, {.status = 503, .reason = "no_configuration"});
    return false;
  }
  // What has never been confirmed may lack routes that a restored store lost.
  if (!host_.parts_.key_evidence.Age(BootClock::now())) {
    Refuse(now, {.status = 503, .reason = "configuration_unconfirmed"});
    return false;
  }
  const HttpFields& fields = request_.head.fields;
  const std::string_view target = request_.head.target;
  route_ = config_->FindRoute(FieldText(fields, "host"),
                              target.substr(0, target.find('?')));
  if (!route_) {
    Refuse(now, {.status = 404, .reason = "no_route"});
    return false;
  }
  deadline_ = request_.arrived + route_->timeout;
  if (const std::string* text = FindField(fields, host_.dialect_.deadline_ms)) {
    if (const auto ms = ParseInteger(*text))
      deadline_ = std::min(deadline_,
                           request_.arrived + std::chrono::milliseconds(*ms));
  }
  if (!route_->is_public && !config_->config().accounts.empty() &&
      !AdmitKey(now))
    return false;
  service_ = PickTarget();
  ParseRouting();
  return true;
}

bool RequestExchange::AdmitKey(MonoTime now) {
  if (!host_.parts_.key_evidence.MayAcceptKeys(BootClock::now())) {
    Refuse(now, {.status = 503, .reason = "key_evidence_old"});
    return false;
  }
  account_ = AccountOfKey(*config_);
  if (account_)
    return true;
  Refuse(now, {.status = 401, .reason = "unknown_key"});
  return false;
}

const AccountSpec* RequestExchange::AccountOfKey(
    const FleetConfigView& config) const {
  const std::string* value = FindField(request_.head.fields, "authorization");
  if (!value || !value->starts_with(kBearer))
    return nullptr;
  return config.FindAccountByKey(value->substr(kBearer.size()));
}

bool RequestExchange::KeyIsWithdrawn() const {
  const FleetConfigPtr& newest = host_.config_;
  return account_ && newest != config_ && !newest->config().accounts.empty() &&
         !AccountOfKey(*newest);
}

const ServiceId& RequestExchange::PickTarget() {
  assert(!route_->targets.empty() && "parsed routes have a target");
  std::uint64_t total = 0;
  for (const RouteTarget& it : route_->targets)
    total += it.weight;
  if (total == 0)
    return route_->targets.front().service;
  std::uint64_t drawn = host_.random_() % total;
  for (const RouteTarget& it : route_->targets) {
    if (drawn < it.weight)
      return it.service;
    drawn -= it.weight;
  }
  return route_->targets.back().service;
}

void RequestExchange::ParseRouting() {
  const HttpFields& fields = request_.head.fields;
  routing_.request = RequestId(request_id_);
  if (account_)
    routing_.account = account_->id;
  if (const auto after =
          ParseInteger(FieldText(fields, host_.dialect_.resume_after)))
    events_.StartAfter(
        static_cast<std::uint64_t>(std::max<std::int64_t>(*after, 0)));
  if (const std::string* model = FindField(fields, host_.dialect_.model))
    routing_.model = ModelId(*model);
  const std::string* parts = FindField(fields, host_.dialect_.prompt_parts);
  if (parts)
    shared_parts_ = SharedPartHashes(*parts);
  if (parts && route_->prefers_cached_prefix) {
    const std::string_view shared = SharedParts(*parts);
    routing_.prefix_hash =
        shared.empty() ? 0 : XXH64(shared.data(), shared.size(), 0);
  }
  const std::string* usage_field =
      FindField(fields, host_.dialect_.token_usage);
  const std::optional<TokenUsage> usage =
      usage_field ? ParseTokenUsage(*usage_field) : std::nullopt;
  if (usage)
    prompt_tokens_ = usage->prompt;
  if (parts)
    prompt_tokens_ = ParseOwnTokens(*parts).value_or(prompt_tokens_);
  const std::uint32_t priority =
      account_ && account_->priority ? *account_->priority : route_->priority;
  routing_.urgency = std::min(priority, kLeastUrgent);
  fingerprint_ = Fingerprint(request_, routing_.account, host_.dialect_);
  if (account_) {
    charge_ = 1;
    if (account_->counts_tokens) {
      charge_ =
          usage ? usage->prompt + usage->output : account_->default_tokens;
    }
  }
  const ServiceSpec* service = config_->FindService(service_);
  if (!service || !service->engine) {
    prompt_tokens_ = 0;
    return;
  }
  prompt_tokens_ = ReadableTokens(prompt_tokens_, *service->engine);
  if (!CanBeLoaded(routing_.model, *service->engine))
    return;
  use_ = &host_.uses_[routing_.model];
  use_->model = routing_.model;
  ++use_->arrivals;
  use_->work += host_.parts_.backends.PromptTime(service_, prompt_tokens_);
}

bool RequestExchange::AdmitQuota(MonoTime now) {
  if (!account_ || charged_)
    return true;
  const QuotaDecision decision =
      host_.parts_.quota.TrySpend(now, account_->id, charge_);
  if (decision.admitted) {
    charged_ = true;
    return true;
  }
  host_.parts_.log.Write(LogLine("over_quota")
                             .Add("id", request_id_)
                             .Add("account", account_->id.value())
                             .Add("charge", charge_)
                             .Add("level", decision.level)
                             .Add("share", decision.share)
                             .Add("rate", account_->rate_per_second)
                             .Add("burst", account_->burst)
                             .Add("hosts", host_.parts_.quota.host_count()));
  Refuse(now, {.status = 429,
               .reason = "over_quota",
               .retry_after = decision.retry_after});
  return false;
}

std::string RequestExchange::BuildRequest(MonoTime now,
                                          const ServerId& server) const {
  const HttpHead& head = request_.head;
  const ForwardDialect& dialect = host_.dialect_;
  const std::string_view hops = FieldText(head.fields, "connection");
  const auto dropped = [&](std::string_view name) {
    if (IsHopByHop(name, hops) || EqualsIgnoringCase(name, "authorization") ||
        EqualsIgnoringCase(name, "content-length") ||
        EqualsIgnoringCase(name, "expect") ||
        EqualsIgnoringCase(name, dialect.deadline_ms))
      return true;
    if (events_.last_id() && EqualsIgnoringCase(name, dialect.resume_after))
      return true;
    return std::any_of(
        dialect.reserved.begin(), dialect.reserved.end(),
        [name](const std::string& it) { return EqualsIgnoringCase(name, it); });
  };
  std::string out;
  out.reserve(1024 + request_.body.size());
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  for (const HttpField& it : head.fields) {
    if (!dropped(it.name))
      AppendField(out, it.name, it.value);
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now);
  AppendField(out, dialect.deadline_ms,
              std::to_string(std::max<std::int64_t>(left.count(), 1)));
  AppendField(out, dialect.expected_server, server.value());
  AppendField(out, dialect.urgency, std::to_string(routing_.urgency));
  if (account_)
    AppendField(out, dialect.account, account_->id.value());
  if (events_.last_id())
    AppendField(out, dialect.resume_after, std::to_string(*events_.last_id()));
  if (head.content_length || head.chunked)
    AppendField(out, "Content-Length", std::to_string(request_.body.size()));
  out.append("\r\n");
  out.append(request_.body);
  return out;
}

}  // namespace mangoport
