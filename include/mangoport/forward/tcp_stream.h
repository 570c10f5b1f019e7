#ifndef MANGOPORT_FORWARD_TCP_STREAM_H_
#define MANGOPORT_FORWARD_TCP_STREAM_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "mangoport/core/time.h"
#include "mangoport/forward/send_buffer.h"

namespace mangoport {

/// What a stream tells its owner. After `TcpStream::Close` nothing is called.
struct TcpStreamHooks {
  /// Bytes have arrived; they are valid during the call only.
  std::function<void(std::string_view data)> on_data;
  /// The peer has closed its side in order, and no call has met an error.
  std::function<void()> on_end;
  /// The connection is lost.
  std::function<void(const asio::error_code& ec)> on_error;
  /// Everything handed over has been written. Optional.
  std::function<void()> on_drained;
};

/// One non-blocking TCP connection of an event loop.
///
/// Writes go out at once as far as the system takes them; only what is left
/// waits in a buffer. Reads share one scratch buffer for the whole loop, so an
/// idle connection holds no memory for data.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  using Ptr = std::shared_ptr<TcpStream>;

  explicit TcpStream(asio::ip::tcp::socket socket);

  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Connects to `endpoint`; `connected` is called once, with an error if that
  /// failed. Bytes may be sent only after it.
  void Connect(const asio::ip::tcp::endpoint& endpoint,
               std::function<void(const asio::error_code& ec)> connected);

  /// Sets the options of an open socket and begins to read.
  void Start(TcpStreamHooks hooks);

  /// Unacknowledged bytes end the connection after this time.
  void SetUserTimeout(Duration timeout);

  void Send(std::string_view data);

  /// Stops and resumes reading, for back-pressure.
  void SetReading(bool reading);

  /// Ends the connection. With `reset` the peer sees a reset even if all
  /// bytes have been written, which no peer can take for an orderly end.
  void Close(bool reset = false);

  /// Ends this side once everything has been written. What still arrives is
  /// read, since closing over unread bytes would reset the connection and could
  /// destroy the answer on its way; the owner closes on the peer's end.
  void EndAfterWrites();

  /// True if the peer has closed or reset the connection, also behind bytes
  /// that have not been read. Asks the system, so it also tells of a close that
  /// arrived while this process stood still.
  bool PeerHasClosed();

  /// True if bytes have arrived that have not been read. Asks the system.
  bool HasUnread();

  /// True if the connection is open and the peer has sent nothing that has not
  /// been read. Asks the system, so it also tells of what the loop has yet to
  /// hear.
  bool IsQuiet();

  /// True if the peer's system has acknowledged all that was sent, and no call
  /// has met an error. Asks the system, which still knows behind a reset.
  bool IsAcknowledged();

  /// Tells the owner, after the call that is running, if the system knows of a
  /// loss. After the peer's end no read or wait does.
  void ReportLoss();

  bool is_open() const { return open_; }
  /// The bytes that wait to be written, and what is allocated for them.
  std::size_t unsent() const { return out_.size(); }
  std::size_t unsent_memory() const { return out_.memory(); }
  /// True if any byte has been given to the system.
  bool has_written() const { return has_written_; }

 private:
  /// Success if a byte has arrived that has not been read, else the reason why
  /// there is none: an end, a reset, or that nothing has come.
  asio::error_code Peek();
  /// Remembers an error that a write or a look has met.
  void NoteLoss(const asio::error_code& ec);
  void WaitReadable();
  void OnReadable(const asio::error_code& ec);
  void WaitWritable();
  void OnWritable();
  void Fail(const asio::error_code& ec);
  /// Fails with the remembered error after the call that is running.
  void FailLater();
  /// Writes what the system takes; false if the connection is lost.
  bool Flush(std::string_view& data);

  asio::ip::tcp::socket socket_;
  /// On the heap, so that a hook which closes the stream stays where it is
  /// until it returns.
  std::unique_ptr<TcpStreamHooks> hooks_;
  SendBuffer out_;
  /// The first error of the connection. The system tells of it in one call
  /// only; a read after that finds an end of file, which is no orderly end.
  asio::error_code loss_;
  bool open_ = true;
  bool started_ = false;
  bool reading_ = false;
  bool read_pending_ = false;
  bool write_pending_ = false;
  bool has_written_ = false;
  bool end_after_writes_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_TCP_STREAM_H_
