// Replies of another host that are no HTTP/2, or have no status that HTTP has.
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <criterion/criterion.h>

#include "mangoport/adapters/nghttp2_peer_client.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr std::uint8_t kData = 0x0;
constexpr std::uint8_t kHeaders = 0x1;
constexpr std::uint8_t kResetStream = 0x3;
constexpr std::uint8_t kSettings = 0x4;
constexpr std::uint8_t kEndStream = 0x1;
constexpr std::uint8_t kEndHeaders = 0x4;
/// The stream of a client's first call.
constexpr std::uint8_t kFirstStream = 1;

std::string Frame(std::uint8_t type,
                  std::uint8_t flags,
                  std::uint8_t stream,
                  std::string_view payload) {
  std::string out(2, '\0');
  for (const std::size_t it :
       {payload.size(), std::size_t{type}, std::size_t{flags}})
    out.push_back(static_cast<char>(it));
  out.append(3, '\0');
  out.push_back(static_cast<char>(stream));
  return out.append(payload);
}

/// A header field as HPACK has it without tables and without Huffman codes.
std::string Field(std::string_view name, std::string_view value) {
  std::string out(1, '\0');
  for (const std::string_view it : {name, value}) {
    out.push_back(static_cast<char>(it.size()));
    out.append(it);
  }
  return out;
}

/// The frames of a reply with the body "ok" whose head has `fields`.
std::string Reply(const std::string& fields) {
  return Frame(kHeaders, kEndHeaders, kFirstStream, fields) +
         Frame(kData, kEndStream, kFirstStream, "ok");
}

/// What the client makes of `bytes` behind a server's settings, after which the
/// connection ends.
PeerReply ReplyTo(const std::string& bytes) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  Nghttp2PeerClient client({});
  std::promise<PeerReply> reply;
  client.Call({"127.0.0.1", acceptor.local_endpoint().port()}, "a", "body",
              seconds(10),
              [&reply](PeerReply it) { reply.set_value(std::move(it)); });
  asio::ip::tcp::socket socket = acceptor.accept();
  std::array<char, 4096> buf;
  std::string seen;
  // The last frame of the call is its body.
  while (!seen.ends_with("body"))
    seen.append(buf.data(), socket.read_some(asio::buffer(buf)));
  asio::write(socket, asio::buffer(Frame(kSettings, 0, 0, "") + bytes));
  socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  return reply.get_future().get();
}

// NOLINTBEGIN: Criterion's macros
// The stand-in's own frames are right.
Test(broken_replies, a_sound_reply_is_taken, .timeout = 60) {
  const PeerReply reply = ReplyTo(Reply(Field(":status", "200")));
  cr_expect_eq(reply.status, PeerStatus::kOk);
  cr_expect_eq(reply.body, "ok");
}

// Nothing is known of the call: it may have run.
Test(broken_replies, a_broken_reply_leaves_the_outcome_unknown, .timeout = 60) {
  for (const std::string& fields :
       {Field(":status", "000"), Field(":status", "099"),
        Field(":status", "0200"), Field(":status", "20"),
        Field(":status", "2 0"), Field(":status", ""), Field(":status", "600"),
        Field(":status", "101"), Field("x-a", "b"),
        Field(":status", "200") + Field(":status", "200"),
        Field(":status", "200") + Field(":other", "1"),
        Field("x-a", "b") + Field(":status", "200")}) {
    const PeerReply reply = ReplyTo(Reply(fields));
    cr_expect_eq(reply.status, PeerStatus::kUnknown, "%s", fields.c_str() + 2);
  }
}

// A part of a reply looked whole if its stream was reset without an error code.
Test(broken_replies, a_reset_stream_is_no_whole_reply, .timeout = 60) {
  const std::string head =
      Frame(kHeaders, kEndHeaders, kFirstStream, Field(":status", "200"));
  const std::string part = Frame(kData, 0, kFirstStream, "first part");
  const std::string no_error(4, '\0');
  for (const std::string& bytes : {head, head + part}) {
    const PeerReply reply =
        ReplyTo(bytes + Frame(kResetStream, 0, kFirstStream, no_error));
    cr_expect_eq(reply.status, PeerStatus::kUnknown, "%s", reply.body.c_str());
  }
}

Test(broken_replies, the_end_of_a_connection_ends_no_reply, .timeout = 60) {
  const PeerReply reply = ReplyTo(
      Frame(kHeaders, kEndHeaders, kFirstStream, Field(":status", "200")) +
      Frame(kData, 0, kFirstStream, "first part"));
  cr_expect_eq(reply.status, PeerStatus::kUnknown, "%s", reply.body.c_str());
}

Test(broken_replies, an_interim_head_is_no_reply, .timeout = 60) {
  const PeerReply reply = ReplyTo(
      Frame(kHeaders, kEndHeaders, kFirstStream, Field(":status", "103")) +
      Frame(kHeaders, kEndHeaders | kEndStream, kFirstStream,
            Field(":status", "503")));
  cr_expect_eq(reply.status, PeerStatus::kRefused);
}

Test(broken_replies, bytes_that_are_no_frames_are_no_reply, .timeout = 60) {
  for (const std::string& bytes :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        Frame(kData, kEndStream, kFirstStream, "ok"),
        Reply("\xff\xff\xff\xff\xff\xff\xff\xff")}) {
    const PeerReply reply = ReplyTo(bytes);
    cr_expect_eq(reply.status, PeerStatus::kUnknown, "%s", bytes.c_str());
  }
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
