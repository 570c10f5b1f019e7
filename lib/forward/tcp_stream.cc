#include "mangoport/forward/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <cassert>
#include <utility>

namespace mangoport {
namespace {

constexpr std::size_t kScratchBytes = std::size_t{64} * 1024;

using UserTimeoutOption =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// The error that a socket has met and not told of.
using SocketErrorOption =
    asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR>;

/// The loop's scratch buffer; a read's bytes are used up before the next.
std::array<char, kScratchBytes>& Scratch() {
  thread_local std::array<char, kScratchBytes> scratch;
  return scratch;
}

}  // namespace

TcpStream::TcpStream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {}

void TcpStream::Connect(
    const asio::ip::tcp::endpoint& endpoint,
    std::function<void(const asio::error_code& ec)> connected) {
  asio::error_code ec;
  socket_.open(endpoint.protocol(), ec);
  if (ec) {
    asio::post(socket_.get_executor(), [self = shared_from_this(),
                                        connected = std::move(connected), ec] {
      if (self->open_)
        connected(ec);
    });
    return;
  }
  socket_.async_connect(
      endpoint, [self = shared_from_this(), connected = std::move(connected)](
                    const asio::error_code& result) {
        if (self->open_)
          connected(result);
      });
}

void TcpStream::Start(TcpStreamHooks hooks) {
  assert(!started_ && "a stream has one owner from its start to its end");
  started_ = true;
  hooks_ = std::make_unique<TcpStreamHooks>(std::move(hooks));
  asio::error_code ec;
  socket_.non_blocking(true, ec);
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  SetReading(true);
}

void TcpStream::SetUserTimeout(Duration timeout) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  asio::error_code ec;
  socket_.set_option(UserTimeoutOption(static_cast<int>(ms)), ec);
}

void TcpStream::SetReading(bool reading) {
  reading_ = reading;
  if (reading_ && !read_pending_)
    WaitReadable();
}

void TcpStream::WaitReadable() {
  read_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& ec) {
                       self->read_pending_ = false;
                       self->OnReadable(ec);
                     });
}

void TcpStream::OnReadable(const asio::error_code& ec) {
  if (!open_ || !reading_)
    return;
  if (ec) {
    Fail(ec);
    return;
  }
  std::array<char, kScratchBytes>& scratch = Scratch();
  asio::error_code read_ec;
  const std::size_t n = socket_.read_some(asio::buffer(scratch), read_ec);
  if (read_ec == asio::error::would_block ||
      read_ec == asio::error::interrupted) {
    WaitReadable();
    return;
  }
  if (read_ec == asio::error::eof) {
    if (loss_) {
      Fail(loss_);
      return;
    }
    reading_ = false;
    hooks_->on_end();
    return;
  }
  if (read_ec) {
    Fail(read_ec);
    return;
  }
  hooks_->on_data(std::string_view(scratch.data(), n));
  if (open_ && reading_ && !read_pending_)
    WaitReadable();
}

asio::error_code TcpStream::Peek() {
  std::array<char, 1> next{};
  asio::error_code ec;
  socket_.receive(asio::buffer(next), asio::ip::tcp::socket::message_peek, ec);
  if (ec && ec != asio::error::would_block && ec != asio::error::interrupted &&
      ec != asio::error::eof)
    NoteLoss(ec);
  return ec;
}

void TcpStream::NoteLoss(const asio::error_code& ec) {
  if (!loss_)
    loss_ = ec;
}

bool TcpStream::PeerHasClosed() {
  const asio::error_code ec = Peek();
  if (ec)
    return ec == asio::error::eof || ec == asio::error::connection_reset;
  // Bytes that have not been read lie before the end.
  pollfd it{.fd = socket_.native_handle(), .events = POLLRDHUP, .revents = 0};
  return ::poll(&it, /*nfds=*/1, /*timeout=*/0) > 0;
}

bool TcpStream::HasUnread() {
  return !Peek();
}

bool TcpStream::IsQuiet() {
  return Peek() == asio::error::would_block;
}

bool TcpStream::IsAcknowledged() {
  if (!open_)
    return false;
  int unacknowledged = 0;
  ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged);
  return !loss_ && out_.empty() && unacknowledged == 0;
}

void TcpStream::ReportLoss() {
  if (!open_)
    return;
  SocketErrorOption error;
  asio::error_code ec;
  socket_.get_option(error, ec);
  if (error.value() != 0)
    NoteLoss({error.value(), asio::error::get_system_category()});
  if (loss_)
    FailLater();
}

bool TcpStream::Flush(std::string_view& data) {
  while (!data.empty()) {
    asio::error_code ec;
    const std::size_t n =
        socket_.write_some(asio::buffer(data.data(), data.size()), ec);
    if (ec == asio::error::would_block)
      return true;
    if (ec == asio::error::interrupted)
      continue;
    if (ec) {
      NoteLoss(ec);
      FailLater();
      return false;
    }
    has_written_ = true;
    data.remove_prefix(n);
  }
  return true;
}

void TcpStream::Send(std::string_view data) {
  if (!open_ || data.empty())
    return;
  if (write_pending_) {
    out_.Append(data);
    return;
  }
  if (!Flush(data) || data.empty())
    return;
  out_.Append(data);
  WaitWritable();
}

void TcpStream::WaitWritable() {
  write_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const asio::error_code& ec) {
                       self->write_pending_ = false;
                       if (!self->open_)
                         return;
                       if (ec) {
                         self->Fail(ec);
                         return;
                       }
                       self->OnWritable();
                     });
}

void TcpStream::OnWritable() {
  while (!out_.empty()) {
    const std::string_view block = out_.front();
    std::string_view left = block;
    if (!Flush(left))
      return;
    out_.Consume(block.size() - left.size());
    if (left.empty())
      continue;
    WaitWritable();
    return;
  }
  if (end_after_writes_) {
    EndAfterWrites();
    return;
  }
  if (hooks_->on_drained)
    hooks_->on_drained();
}

void TcpStream::Fail(const asio::error_code& ec) {
  if (!open_)
    return;
  if (hooks_)
    hooks_->on_error(ec);
  Close();
}

void TcpStream::FailLater() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Fail(self->loss_); });
}

void TcpStream::EndAfterWrites() {
  if (!open_)
    return;
  end_after_writes_ = true;
  if (!out_.empty())
    return;
  asio::error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void TcpStream::Close(bool reset) {
  if (!open_)
    return;
  open_ = false;
  asio::error_code ec;
  if (reset)
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
  socket_.close(ec);
  // The owner's hooks may be running: they go after this call.
  asio::post(socket_.get_executor(), [hooks = std::move(hooks_)] {});
}

}  // namespace mangoport
