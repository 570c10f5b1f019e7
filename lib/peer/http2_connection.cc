#include "lib/peer/http2_connection.h"

#include <algorithm>
#include <chrono>
#include <system_error>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace mangoport {
namespace {

constexpr std::size_t kWriteBatchBytes = std::size_t{64} << 10;
constexpr std::int32_t kStreamWindowBytes = 256 << 10;
constexpr std::int32_t kConnectionWindowBytes = 4 << 20;

}  // namespace

nghttp2_session_callbacks* Http2Connection::MakeCallbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
      callbacks,
      [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
         std::size_t name_length, const std::uint8_t* value,
         std::size_t value_length, std::uint8_t, void* self) {
        static_cast<Http2Connection*>(self)->OnHeader(
            frame->hd.stream_id,
            {reinterpret_cast<const char*>(name), name_length},
            {reinterpret_cast<const char*>(value), value_length});
        return 0;
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, [](nghttp2_session*, std::uint8_t, std::int32_t stream,
                    const std::uint8_t* data, std::size_t length, void* self) {
        static_cast<Http2Connection*>(self)->OnData(
            stream, {reinterpret_cast<const char*>(data), length});
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
        auto* it = static_cast<Http2Connection*>(self);
        const bool carries_message =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carries_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
          it->OnEndStream(frame->hd.stream_id);
        if (frame->hd.type == NGHTTP2_GOAWAY)
          it->OnGoaway();
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, [](nghttp2_session*, std::int32_t stream, std::uint32_t error,
                    void* self) {
        static_cast<Http2Connection*>(self)->OnStreamClosed(stream, error);
        return 0;
      });
  return callbacks;
}

Http2Connection::Http2Connection(Role role,
                                 asio::ip::tcp::socket socket,
                                 Settings settings)
    : role_(role), socket_(std::move(socket)), settings_(settings) {
  nghttp2_session_callbacks* callbacks = MakeCallbacks();
  if (role_ == Role::kClient)
    nghttp2_session_client_new(&session_, callbacks, this);
  else
    nghttp2_session_server_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(session_);
}

void Http2Connection::Start() {
  std::error_code ec;
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  last_received_ = std::chrono::steady_clock::now();
  const std::array<nghttp2_settings_entry, 4> entries = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, settings_.max_streams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
       {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, settings_.max_header_bytes},
       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  Flush();
  Read();
}

void Http2Connection::Close(std::string_view reason) {
  if (closed_)
    return;
  closed_ = true;
  std::error_code ec;
  socket_.close(ec);
  OnClosed(reason);
}

void Http2Connection::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](std::error_code ec, std::size_t n) {
        if (self->closed_)
          return;
        if (ec) {
          self->Close("connection lost: " + ec.message());
          return;
        }
        self->OnRead(n);
      });
}

void Http2Connection::OnRead(std::size_t n) {
  last_received_ = std::chrono::steady_clock::now();
  receiving_ = true;
  const ssize_t used =
      nghttp2_session_mem_recv(session_, read_buffer_.data(), n);
  receiving_ = false;
  if (closed_)
    return;
  if (used < 0) {
    Close("protocol error: " +
          std::string(nghttp2_strerror(static_cast<int>(used))));
    return;
  }
  Flush();
  if (!closed_)
    Read();
}

void Http2Connection::FillWriteBuffer() {
  write_buffer_.clear();
  while (write_buffer_.size() < kWriteBatchBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &data);
    if (n <= 0)
      return;
    write_buffer_.append(reinterpret_cast<const char*>(data),
                         static_cast<std::size_t>(n));
  }
}

void Http2Connection::Flush() {
  if (closed_ || writing_ || receiving_)
    return;
  FillWriteBuffer();
  if (write_buffer_.empty()) {
    OnWritten();
    const bool wanted = nghttp2_session_want_read(session_) != 0 ||
                        nghttp2_session_want_write(session_) != 0;
    if (!wanted && !closed_)
      Close("session ended");
    return;
  }
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this()](std::error_code ec, std::size_t) {
        self->writing_ = false;
        if (self->closed_)
          return;
        if (ec) {
          self->Close("connection lost: " + ec.message());
          return;
        }
        self->Flush();
      });
}

void Http2Connection::SubmitPing() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
}

void Http2Connection::SubmitReset(std::int32_t stream, std::uint32_t error) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
  Flush();
}

void Http2Connection::SubmitGoaway() {
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  Flush();
}

nghttp2_nv Http2Connection::Field(std::string_view name,
                                  std::string_view value) {
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

ssize_t Http2Connection::ReadBody(std::string_view body,
                                  std::size_t& sent,
                                  std::uint8_t* buf,
                                  std::size_t length,
                                  std::uint32_t* flags) {
  const std::size_t n = std::min(length, body.size() - sent);
  std::copy_n(body.data() + sent, n, buf);
  sent += n;
  if (sent == body.size())
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(n);
}

}  // namespace mangoport
