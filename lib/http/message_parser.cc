#include "mangoport/http/message_parser.h"

#include <http_parser.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "lib/http/line_checker.h"

namespace mangoport {
namespace {

/// What a field takes on the wire beside its name and value: the colon and the
/// end of the line.
constexpr std::size_t kFieldFraming = 3;

constexpr int kContinue = 0;
constexpr int kStop = -1;
/// Stands for a body that no chunks divide: http_parser finds its end.
constexpr std::uint64_t kUndivided = std::numeric_limits<std::uint64_t>::max();
constexpr unsigned short kHttpMajor = 1;
constexpr int kSwitchingProtocols = 101;
constexpr int kNotModified = 304;
/// What http_parser takes from the end-of-head callback for "no body follows".
constexpr int kSkipBody = 1;

/// True if the body's transfer coding, if any, is chunks and nothing else.
/// `chunked` says that they will be undone.
bool CanDecode(const HttpFields& fields, bool chunked) {
  int codings = 0;
  for (const HttpField& it : fields) {
    if (!EqualsIgnoringCase(it.name, "transfer-encoding"))
      continue;
    ++codings;
    if (it.value.find(',') != std::string::npos)
      return false;
  }
  return codings == (chunked ? 1 : 0);
}

}  // namespace

struct MessageParser::State {
  http_parser parser{};
  HttpMessageKind kind = HttpMessageKind::kRequest;
  std::size_t max_head_bytes = 0;
  std::size_t head_bytes = 0;
  HttpHead head;
  std::string* body = nullptr;
  LineChecker line;
  /// Bytes of the body, or of the chunk, up to the next line.
  std::uint64_t body_left = 0;
  bool last_was_value = false;
  bool bodyless = false;
  /// A chunk has begun, and the line behind its data has not ended.
  bool chunk_open = false;
  bool trailers_begun = false;
  bool started = false;
  bool head_complete = false;
  bool message_complete = false;
  HttpParseError error = HttpParseError::kNone;

  static State& Of(http_parser* parser) {
    return *static_cast<State*>(parser->data);
  }
  static const http_parser_settings& Callbacks();

  void Init();
  /// Takes in bytes of one line or of the body, and returns how many.
  std::size_t Step(std::string_view data);
  std::size_t Execute(std::string_view data);
  void BeginLine();
  HttpLine NextLine() const;
  bool ended() const {
    return message_complete || error != HttpParseError::kNone;
  }
  int Count(std::size_t bytes);
  int OnName(std::string_view text);
  int OnValue(std::string_view text);
  int OnHeadComplete();
  int OnAnswerHead();
  int OnChunkHeader();
  int Refuse();
};

void MessageParser::State::Init() {
  http_parser_init(&parser, kind == HttpMessageKind::kRequest ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
  parser.data = this;
  head = HttpHead();
  head_bytes = 0;
  last_was_value = false;
  started = false;
  head_complete = false;
  message_complete = false;
  body_left = 0;
  chunk_open = false;
  trailers_begun = false;
  BeginLine();
}

HttpLine MessageParser::State::NextLine() const {
  if (!started)
    return kind == HttpMessageKind::kRequest ? HttpLine::kRequestLine
                                             : HttpLine::kStatusLine;
  if (!head_complete || trailers_begun)
    return HttpLine::kField;
  return chunk_open ? HttpLine::kChunkEnd : HttpLine::kChunkSize;
}

void MessageParser::State::BeginLine() {
  line.Begin(
      NextLine(),
      /*allows_bare_lf=*/kind == HttpMessageKind::kRequest && !head_complete);
}

std::size_t MessageParser::State::Step(std::string_view data) {
  const bool in_body = body_left > 0;
  const std::size_t n = in_body
                            ? std::min<std::uint64_t>(data.size(), body_left)
                            : line.Feed(data);
  if (n == 0) {
    Refuse();
    return 0;
  }
  const std::size_t used = Execute(data.substr(0, n));
  if (in_body && body_left != kUndivided)
    body_left -= used;
  if (body_left == 0 && (in_body || line.ended()))
    BeginLine();
  return used;
}

std::size_t MessageParser::State::Execute(std::string_view data) {
  const std::size_t used =
      http_parser_execute(&parser, &Callbacks(), data.data(), data.size());
  const http_errno code = HTTP_PARSER_ERRNO(&parser);
  if (code != HPE_OK && code != HPE_PAUSED && error == HttpParseError::kNone)
    error = code == HPE_HEADER_OVERFLOW ? HttpParseError::kHeadTooLarge
                                        : HttpParseError::kMalformed;
  return used;
}

int MessageParser::State::Count(std::size_t bytes) {
  head_bytes += bytes;
  if (head_bytes <= max_head_bytes)
    return kContinue;
  error = HttpParseError::kHeadTooLarge;
  return kStop;
}

int MessageParser::State::OnName(std::string_view text) {
  // Trailers of a chunked body are checked and dropped.
  if (head_complete)
    return HasOnlyTokenChars(text) ? kContinue : Refuse();
  const bool is_new = last_was_value || head.fields.empty();
  if (is_new)
    head.fields.emplace_back();
  last_was_value = false;
  head.fields.back().name.append(text);
  return Count(text.size() + (is_new ? kFieldFraming : 0));
}

int MessageParser::State::OnValue(std::string_view text) {
  if (head_complete)
    return kContinue;
  last_was_value = true;
  head.fields.back().value.append(text);
  return Count(text.size());
}

int MessageParser::State::Refuse() {
  error = HttpParseError::kMalformed;
  return kStop;
}

int MessageParser::State::OnHeadComplete() {
  int hosts = 0;
  for (HttpField& it : head.fields) {
    it.value.erase(it.value.find_last_not_of(" \t") + 1);
    if (!IsToken(it.name) || HasControl(it.value))
      return Refuse();
    if (EqualsIgnoringCase(it.name, "host"))
      ++hosts;
  }
  head.chunked = (parser.flags & F_CHUNKED) != 0;
  if (!CanDecode(head.fields, head.chunked))
    return Refuse();
  if ((parser.flags & F_CONTENTLENGTH) != 0)
    head.content_length = parser.content_length;
  if (head.chunked && head.content_length)
    return Refuse();
  head.keep_alive = http_should_keep_alive(&parser) != 0;
  head_complete = true;
  if (!head.chunked)
    body_left = kUndivided;
  if (kind == HttpMessageKind::kResponse)
    return OnAnswerHead();
  if (parser.http_major != kHttpMajor || hosts != 1 || parser.upgrade != 0 ||
      HasControl(head.target))
    return Refuse();
  head.method = http_method_str(static_cast<http_method>(parser.method));
  return kContinue;
}

int MessageParser::State::OnAnswerHead() {
  head.status = parser.status_code;
  // No request asks for another protocol.
  if (head.status == kSwitchingProtocols)
    return Refuse();
  if (!HasNoBody(head.status))
    return bodyless ? kSkipBody : kContinue;
  // The length of a 304 is that of a body which isn't sent. Elsewhere it says
  // that more may follow, and the connection can't be kept.
  const bool states_body = head.chunked || head.content_length.value_or(0) > 0;
  if (states_body && head.status != kNotModified)
    head.keep_alive = false;
  return kSkipBody;
}

int MessageParser::State::OnChunkHeader() {
  body_left = parser.content_length;
  chunk_open = body_left > 0;
  trailers_begun = body_left == 0;
  return kContinue;
}

const http_parser_settings& MessageParser::State::Callbacks() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings out;
    http_parser_settings_init(&out);
    out.on_message_begin = [](http_parser* parser) {
      Of(parser).started = true;
      return kContinue;
    };
    out.on_url = [](http_parser* parser, const char* at, std::size_t n) {
      Of(parser).head.target.append(at, n);
      return Of(parser).Count(n);
    };
    out.on_status = [](http_parser* parser, const char* at, std::size_t n) {
      Of(parser).head.reason.append(at, n);
      return Of(parser).Count(n);
    };
    out.on_header_field = [](http_parser* parser, const char* at,
                             std::size_t n) {
      return Of(parser).OnName({at, n});
    };
    out.on_header_value = [](http_parser* parser, const char* at,
                             std::size_t n) {
      return Of(parser).OnValue({at, n});
    };
    out.on_headers_complete = [](http_parser* parser) {
      return Of(parser).OnHeadComplete();
    };
    out.on_body = [](http_parser* parser, const char* at, std::size_t n) {
      Of(parser).body->append(at, n);
      return kContinue;
    };
    out.on_chunk_header = [](http_parser* parser) {
      return Of(parser).OnChunkHeader();
    };
    out.on_chunk_complete = [](http_parser* parser) {
      Of(parser).chunk_open = false;
      return kContinue;
    };
    out.on_message_complete = [](http_parser* parser) {
      Of(parser).message_complete = true;
      http_parser_pause(parser, 1);
      return kContinue;
    };
    return out;
  }();
  return kSettings;
}

MessageParser::MessageParser(HttpMessageKind kind, std::size_t max_head_bytes)
    : state_(std::make_unique<State>()) {
  state_->kind = kind;
  state_->max_head_bytes = max_head_bytes;
  state_->Init();
}

MessageParser::~MessageParser() = default;

void MessageParser::set_max_head_bytes(std::size_t bytes) {
  state_->max_head_bytes = bytes;
}

std::size_t MessageParser::Feed(std::string_view data, std::string& body) {
  State& state = *state_;
  state.body = &body;
  std::size_t used = 0;
  while (used < data.size() && !state.ended())
    used += state.Step(data.substr(used));
  state.body = nullptr;
  return used;
}

void MessageParser::FeedEnd() {
  State& state = *state_;
  if (state.ended())
    return;
  std::string unused;
  state.body = &unused;
  http_parser_execute(&state.parser, &State::Callbacks(), nullptr, 0);
  state.body = nullptr;
  if (!state.message_complete)
    state.error = HttpParseError::kMalformed;
}

bool MessageParser::head_complete() const {
  return state_->head_complete;
}

bool MessageParser::message_complete() const {
  return state_->message_complete;
}

bool MessageParser::started() const {
  return state_->started;
}

HttpParseError MessageParser::error() const {
  return state_->error;
}

const HttpHead& MessageParser::head() const {
  return state_->head;
}

std::size_t MessageParser::head_memory() const {
  return state_->head_bytes +
         state_->head.fields.capacity() * sizeof(HttpField);
}

void MessageParser::set_bodyless(bool bodyless) {
  state_->bodyless = bodyless;
}

void MessageParser::Reset() {
  state_->Init();
}

}  // namespace mangoport
