#ifndef MANGOPORT_UNITTESTS_SUPPORT_TCP_RELAY_H_
#define MANGOPORT_UNITTESTS_SUPPORT_TCP_RELAY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <system_error>
#include <thread>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace mangoport {

/// Forwards TCP connections to a port on loopback, until told to stop
/// forwarding on those that are open. They stay open and silent.
class TcpRelay {
 public:
  explicit TcpRelay(std::uint16_t target)
      : target_(asio::ip::address_v4::loopback(), target),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~TcpRelay() {
    context_.stop();
    thread_.join();
  }

  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  /// Bytes forwarded so far, both ways.
  std::uint64_t forwarded_bytes() const { return forwarded_bytes_; }

  /// Freezes the connections that are open now; later ones work.
  void FreezeOpenConnections() { frozen_below_ = accepted_.load(); }

 private:
  struct Pair {
    explicit Pair(asio::io_context& context) : near(context), far(context) {}
    asio::ip::tcp::socket near;
    asio::ip::tcp::socket far;
    std::uint64_t number = 0;
  };
  using Buffer = std::array<char, 16384>;

  void Accept() {
    auto pair = std::make_shared<Pair>(context_);
    acceptor_.async_accept(pair->near, [this, pair](std::error_code ec) {
      std::error_code failed;
      pair->number = accepted_++;
      if (!ec && !pair->far.connect(target_, failed)) {
        Forward(pair, pair->near, pair->far, std::make_shared<Buffer>());
        Forward(pair, pair->far, pair->near, std::make_shared<Buffer>());
      }
      Accept();
    });
  }

  void Forward(const std::shared_ptr<Pair>& pair,
               asio::ip::tcp::socket& from,
               asio::ip::tcp::socket& to,
               const std::shared_ptr<Buffer>& buf) {
    from.async_read_some(
        asio::buffer(*buf),
        [this, pair, &from, &to, buf](std::error_code ec, std::size_t n) {
          std::error_code ignored;
          const bool frozen = pair->number < frozen_below_;
          if (ec && !frozen)
            to.close(ignored);
          if (ec)
            return;
          if (!frozen) {
            asio::write(to, asio::buffer(*buf, n), ignored);
            forwarded_bytes_ += n;
          }
          Forward(pair, from, to, buf);
        });
  }

  asio::io_context context_;
  asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<std::uint64_t> accepted_{0};
  std::atomic<std::uint64_t> frozen_below_{0};
  std::atomic<std::uint64_t> forwarded_bytes_{0};
  std::thread thread_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_TCP_RELAY_H_
