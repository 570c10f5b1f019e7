#ifndef MANGOPORT_LIB_PEER_HTTP2_CONNECTION_H_
#define MANGOPORT_LIB_PEER_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include "mangoport/core/time.h"

namespace mangoport {

/// One nghttp2 session driven over one Asio socket. All members run on the
/// thread of the socket's io_context.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  enum class Role { kClient, kServer };

  /// Limits announced to the other end, and flow control windows.
  struct Settings {
    std::uint32_t max_streams = 0;
    std::uint32_t max_header_bytes = 0;
  };

  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;
  virtual ~Http2Connection();

  /// Sends the settings and starts to read.
  void Start();

  /// Closes the socket and calls `OnClosed` once.
  void Close(std::string_view reason);

  bool closed() const { return closed_; }

 protected:
  Http2Connection(Role role, asio::ip::tcp::socket socket, Settings settings);

  virtual void OnHeader(std::int32_t stream,
                        std::string_view name,
                        std::string_view value) = 0;
  virtual void OnData(std::int32_t stream, std::string_view data) = 0;
  /// The other end has sent its last byte on the stream.
  virtual void OnEndStream(std::int32_t stream) = 0;
  virtual void OnStreamClosed(std::int32_t stream, std::uint32_t error) = 0;
  virtual void OnGoaway() {}
  /// All that was submitted before has been handed to the kernel.
  virtual void OnWritten() {}
  virtual void OnClosed(std::string_view reason) = 0;

  /// Writes what the session has to send; called after each submission.
  void Flush();

  void SubmitPing();
  void SubmitReset(std::int32_t stream, std::uint32_t error);
  void SubmitGoaway();

  nghttp2_session* session() { return session_; }
  MonoTime last_received() const { return last_received_; }

  /// A header field whose text outlives the submission.
  static nghttp2_nv Field(std::string_view name, std::string_view value);

  /// Copies the next part of `body` from `sent` on into a DATA frame.
  static ssize_t ReadBody(std::string_view body,
                          std::size_t& sent,
                          std::uint8_t* buf,
                          std::size_t length,
                          std::uint32_t* flags);

 private:
  static nghttp2_session_callbacks* MakeCallbacks();
  void Read();
  void OnRead(std::size_t n);
  void FillWriteBuffer();

  Role role_;
  asio::ip::tcp::socket socket_;
  Settings settings_;
  nghttp2_session* session_ = nullptr;
  std::array<std::uint8_t, 16384> read_buffer_{};
  std::string write_buffer_;
  MonoTime last_received_{};
  bool writing_ = false;
  bool receiving_ = false;
  bool closed_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_PEER_HTTP2_CONNECTION_H_
