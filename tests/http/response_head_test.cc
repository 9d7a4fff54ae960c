#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tarragon/http/message_reader.h"

namespace tarragon::http {
namespace {

constexpr std::size_t kMaxHeader = 4096;

class recorder final : public message_listener {
 public:
  void OnHead(message_head head) override { heads.push_back(std::move(head)); }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnMessageEnd() override { ++ended; }

  std::vector<message_head> heads;
  std::string body;
  int ended = 0;
};

struct reading {
  recorder received;
  reader_error error = reader_error::kNone;
};

/** Reads a response that ends with its connection, in pieces of `piece` bytes. */
reading Read(std::string_view text, std::size_t piece = 4096) {
  reading result;
  message_reader reader(message_kind::kResponse, result.received, kMaxHeader);
  while (!text.empty() && reader.error() == reader_error::kNone) {
    text.remove_prefix(reader.Feed(text.substr(0, piece)));
  }
  reader.Finish();
  result.error = reader.error();
  return result;
}

std::string WithLine(std::string_view line) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n" + std::string(line) +
         "\r\nContent-Length: 2\r\n\r\nok";
}

class no_response_test : public testing::TestWithParam<std::string> {};

// Guards against bytes of an endpoint in trouble that reach a caller as an answer, because a parser
// makes one of them.
TEST_P(no_response_test, IsNotPassedOn) {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{4096}}) {
    const reading read = Read(GetParam(), piece);
    EXPECT_EQ(read.error, reader_error::kMalformed) << piece;
    EXPECT_TRUE(read.received.heads.empty()) << piece;
    EXPECT_EQ(read.received.ended, 0) << piece;
  }
}

INSTANTIATE_TEST_SUITE_P(StatusLines,
                         no_response_test,
                         testing::Values("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1\t200 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 200\tOK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                         "http/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                         "ICY 200 OK\r\nContent-Length: 0\r\n\r\n",
                                         "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n"));

INSTANTIATE_TEST_SUITE_P(
    HeaderLines,
    no_response_test,
    testing::Values(WithLine("X Y: 1"),
                    WithLine("X : 1"),
                    WithLine("X\t: 1"),
                    WithLine(" X: 1"),
                    WithLine(std::string("X\0Y: 1", 6)),
                    WithLine("X\x01: 1"),
                    WithLine("X\x7f: 1"),
                    WithLine("X\x80: 1"),
                    WithLine("X(: 1"),
                    WithLine(": 1"),
                    WithLine("X"),
                    WithLine("X: 1\r\n folded"),
                    WithLine(std::string("X: a\0b", 6)),
                    WithLine("X: a\x01"),
                    WithLine("X: a\x7f"),
                    WithLine("X: a\rb"),
                    WithLine("X: a\nY: b"),
                    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n"));

INSTANTIATE_TEST_SUITE_P(
    Framings,
    no_response_test,
    testing::Values(WithLine("Content-Length: 2"),
                    WithLine("Content-Length: 3"),
                    WithLine("Transfer-Encoding: chunked"),
                    "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));

class broken_chunks_test : public testing::TestWithParam<std::string_view> {};

// Guards against a body that is not the endpoint's, because the parser skips over what stands where
// the framing of a chunk is due.
TEST_P(broken_chunks_test, DoNotEndAResponse) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(GetParam());
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{4096}}) {
    const reading read = Read(text, piece);
    EXPECT_EQ(read.error, reader_error::kMalformed) << piece;
    EXPECT_EQ(read.received.ended, 0) << piece;
  }
}

INSTANTIATE_TEST_SUITE_P(Bodies,
                         broken_chunks_test,
                         testing::Values("2\r\nokXX0\r\n\r\n",
                                         "2\r\nok\n0\r\n\r\n",
                                         "2\r\noko\r\n0\r\n\r\n",
                                         "2 \r\nok\r\n0\r\n\r\n",
                                         "2 x\r\nok\r\n0\r\n\r\n",
                                         "2\nok\r\n0\r\n\r\n",
                                         "\r\n2\r\nok\r\n0\r\n\r\n",
                                         ";x\r\n\r\n",
                                         "0x2\r\nok\r\n0\r\n\r\n",
                                         "-2\r\nok\r\n0\r\n\r\n",
                                         "10000000000000000\r\nok\r\n0\r\n\r\n",
                                         "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
                                         "2\r\nok\r\n0\r\n folded\r\n\r\n",
                                         "2\r\nok\r\n0\r\nX: 1\n\r\n",
                                         "2\r\nok\r\n0\r\n\rX"));

class sound_response_test : public testing::TestWithParam<std::string> {};

// Guards against the refusal of an answer that is valid, if unusual.
TEST_P(sound_response_test, IsPassedOn) {
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{4096}}) {
    const reading read = Read(GetParam(), piece);
    EXPECT_EQ(read.error, reader_error::kNone) << piece;
    ASSERT_EQ(read.received.heads.size(), 1U) << piece;
    EXPECT_EQ(read.received.ended, 1) << piece;
    EXPECT_EQ(read.received.body, "ok") << piece;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Responses,
    sound_response_test,
    testing::Values(WithLine("X:1"),
                    WithLine("X: \t 1 \t "),
                    WithLine("X:"),
                    WithLine("!#$%&'*+-.^_`|~09azAZ: \"quoted\" (comment) \x80\xff"),
                    "HTTP/1.0 200 OK\r\n\r\nok",
                    "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
                    "HTTP/1.1 299 A \t B\r\nCONTENT-LENGTH:2\r\n\r\nok",
                    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 002\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
                    "1\r\no\r\n01;name=\"value\"\r\nk\r\n000\r\nTrailer: t\r\n\r\n"));

// Guards against a valid answer that is refused where the network splits it.
RC_GTEST_PROP(ResponseHeadTest, ChunksOfAnySizeAreRead, (const std::vector<std::string>& pieces)) {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string body;
  for (const std::string& piece : pieces) {
    if (!piece.empty()) {
      text += fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
      body += piece;
    }
  }
  text += "0\r\n\r\n";
  const reading read = Read(text, *rc::gen::inRange<std::size_t>(1, 20));
  RC_ASSERT(read.error == reader_error::kNone);
  RC_ASSERT(read.received.ended == 1);
  RC_ASSERT(read.received.body == body);
}

}  // namespace
}  // namespace tarragon::http
