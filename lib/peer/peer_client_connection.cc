#include "lib/peer/peer_client_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <system_error>
#include <utility>

namespace mangoport {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kStatusOk = 200;
/// Replies with which the server says that no handler saw the request.
constexpr std::array<int, 5> kRefusingStatuses = {400, 404, 413, 431, 503};
constexpr std::uint32_t kMaxReplyHeaderBytes = 8 << 10;

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context,
                                   asio::ip::tcp::socket socket,
                                   const PeerClientOptions& options,
                                   ConnectionHooks hooks)
    : Http2Connection(Role::kClient,
                      std::move(socket),
                      {0, kMaxReplyHeaderBytes}),
      options_(options),
      hooks_(std::move(hooks)),
      watch_timer_(context) {}

void ClientConnection::Submit(const OpenCallPtr& call) {
  const std::array<nghttp2_nv, 4> fields = {
      Field(":method", "POST"), Field(":scheme", "http"),
      Field(":authority", call->authority), Field(":path", call->path)};
  nghttp2_data_provider provider{};
  provider.source.ptr = call.get();
  provider.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* buf,
                              std::size_t length, std::uint32_t* flags,
                              nghttp2_data_source* source, void*) {
    auto* it = static_cast<OpenCall*>(source->ptr);
    const ssize_t n = ReadBody(it->body, it->sent, buf, length, flags);
    it->sent_whole = it->sent == it->body.size();
    return n;
  };
  call->sent = 0;
  call->reply_whole = false;
  call->connection = Self();
  last_submitted_ = Clock::now();
  call->stream = nghttp2_submit_request(session(), nullptr, fields.data(),
                                        fields.size(), &provider, nullptr);
  if (call->stream < 0) {
    hooks_.finish(call, {PeerStatus::kRefused, "no stream left"});
    return;
  }
  calls_.emplace(call->stream, call);
  CheckProgress(last_submitted_);
  Flush();
}

void ClientConnection::Abandon(const OpenCallPtr& call) {
  const auto it = calls_.find(call->stream);
  if (it == calls_.end() || it->second != call)
    return;
  SubmitReset(call->stream, NGHTTP2_CANCEL);
}

void ClientConnection::Watch() {
  watch_timer_.expires_after(options_.ping_interval / 2);
  watch_timer_.async_wait([self = Self()](std::error_code ec) {
    if (ec || self->closed())
      return;
    const MonoTime now = Clock::now();
    self->CheckProgress(now);
    const bool idle = self->calls_.empty() && now - self->last_submitted_ >=
                                                  self->options_.idle_timeout;
    if (idle)
      self->Close("idle");
    if (!self->closed())
      self->Watch();
  });
}

void ClientConnection::CheckProgress(MonoTime now) {
  if (ping_sent_ && last_received() > *ping_sent_)
    ping_sent_.reset();
  if (calls_.empty() || closed())
    return;
  if (!ping_sent_) {
    if (now - last_received() < options_.ping_interval)
      return;
    ping_sent_ = now;
    SubmitPing();
    return;
  }
  if (now - *ping_sent_ < options_.progress_deadline)
    return;
  hooks_.silent();
  Close("connection silent");
}

void ClientConnection::OnHeader(std::int32_t stream,
                                std::string_view name,
                                std::string_view value) {
  const auto it = calls_.find(stream);
  if (it == calls_.end() || name != ":status")
    return;
  std::from_chars(value.data(), value.data() + value.size(),
                  it->second->status);
}

void ClientConnection::OnData(std::int32_t stream, std::string_view data) {
  const auto it = calls_.find(stream);
  if (it == calls_.end())
    return;
  OpenCall& call = *it->second;
  if (call.reply.size() + data.size() <= options_.max_body_bytes) {
    call.reply.append(data);
    return;
  }
  hooks_.finish(it->second, {PeerStatus::kUnknown, "reply is over the limit"});
}

void ClientConnection::OnEndStream(std::int32_t stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end())
    return;
  it->second->reply_whole = true;
  if (it->second->sent_whole)
    return;
  // The peer has answered early: the rest of the request is not wanted.
  const OpenCallPtr call = it->second;
  hooks_.finish(call, ReplyOf(*call, NGHTTP2_NO_ERROR));
}

OpenCallPtr ClientConnection::Take(std::int32_t stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end())
    return nullptr;
  OpenCallPtr call = std::move(it->second);
  calls_.erase(it);
  return call;
}

PeerReply ClientConnection::ReplyOf(const OpenCall& call,
                                    std::uint32_t error) const {
  // A stream may be reset without an error, also behind a part of a reply.
  const bool whole = error == NGHTTP2_NO_ERROR && call.reply_whole;
  if (call.status == kStatusOk && whole)
    return {PeerStatus::kOk, call.reply};
  const bool refused =
      error == NGHTTP2_REFUSED_STREAM || !call.sent_whole ||
      std::find(kRefusingStatuses.begin(), kRefusingStatuses.end(),
                call.status) != kRefusingStatuses.end();
  std::string reason = call.reply;
  if (call.status == kStatusOk && error == NGHTTP2_NO_ERROR)
    reason = "the reply is not whole";
  else if (call.status == kStatusOk || reason.empty())
    reason = nghttp2_http2_strerror(error);
  return {refused ? PeerStatus::kRefused : PeerStatus::kUnknown, reason};
}

void ClientConnection::OnStreamClosed(std::int32_t stream,
                                      std::uint32_t error) {
  const OpenCallPtr call = Take(stream);
  if (call != nullptr)
    hooks_.finish(call, ReplyOf(*call, error));
}

void ClientConnection::OnClosed(std::string_view reason) {
  watch_timer_.cancel();
  std::vector<OpenCallPtr> left;
  for (auto& [stream, call] : calls_)
    left.push_back(std::move(call));
  calls_.clear();
  hooks_.closed(reason, left);
}

}  // namespace mangoport
