#include "tarragon/http/message_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragon::http {
namespace {

constexpr std::size_t kMaxHeader = 4096;

struct recorded_message {
  message_head head;
  std::string body;
  bool ended = false;
};

class recorder final : public message_listener {
 public:
  void OnHead(message_head head) override { messages.push_back({std::move(head), {}, false}); }
  void OnBody(std::string_view bytes) override { messages.back().body.append(bytes); }
  void OnMessageEnd() override { messages.back().ended = true; }

  std::vector<recorded_message> messages;
};

/** Feeds the whole text in chunks of `chunk_size` bytes. */
void FeedAll(message_reader& reader, std::string_view text, std::size_t chunk_size) {
  while (!text.empty() && reader.error() == reader_error::kNone) {
    text.remove_prefix(reader.Feed(text.substr(0, chunk_size)));
  }
}

constexpr std::string_view kTwoRequests =
    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    "GET /e HTTP/1.1\r\nHost: h\r\n\r\n";

// Guards against results that depend on how the network splits the messages.
RC_GTEST_PROP(MessageReaderTest, AnySplitGivesSameMessages, ()) {
  const auto chunk_size = *rc::gen::inRange<std::size_t>(1, kTwoRequests.size());
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  FeedAll(reader, kTwoRequests, chunk_size);
  RC_ASSERT(received.messages.size() == 2U);
  RC_ASSERT(received.messages[0].head.method == "POST");
  RC_ASSERT(received.messages[0].head.target == "/a/b?c=d");
  RC_ASSERT(received.messages[0].body == "abc");
  RC_ASSERT(received.messages[1].head.target == "/e");
  RC_ASSERT(received.messages[1].ended);
}

// Guards against parsing the next message before the first one is handled.
TEST(MessageReaderTest, StopsAfterEachMessage) {
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  const std::size_t consumed = reader.Feed(kTwoRequests);
  EXPECT_EQ(kTwoRequests.substr(consumed, 3), "GET");
  EXPECT_EQ(received.messages.size(), 1U);
}

// Guards against request smuggling by a request that has both a length and chunked encoding.
TEST(MessageReaderTest, RejectsContentLengthWithChunkedEncoding) {
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  FeedAll(reader,
          "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          512);
  EXPECT_EQ(reader.error(), reader_error::kMalformed);
  EXPECT_TRUE(received.messages.empty() || !received.messages.back().ended);
}

// Guards against unbounded memory use if a sender never ends its headers.
TEST(MessageReaderTest, BoundsHeadSize) {
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  FeedAll(reader, "GET / HTTP/1.1\r\nA: " + std::string(2 * kMaxHeader, 'x') + "\r\n\r\n", 512);
  EXPECT_EQ(reader.error(), reader_error::kHeaderTooLarge);
}

// Guards against heads of short lines that cost far more memory than the bytes that are counted.
RC_GTEST_PROP(MessageReaderTest, CountsSeparatorsAndLineEnds, ()) {
  const auto chunk_size = *rc::gen::inRange<std::size_t>(1, 2 * kMaxHeader);
  std::string head = "GET / HTTP/1.1\r\n";
  while (head.size() < 3 * kMaxHeader) {
    head += "a:\r\n";
  }
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  FeedAll(reader, head, chunk_size);
  RC_ASSERT(reader.error() == reader_error::kHeaderTooLarge);
  RC_ASSERT(reader.held_bytes() <= 3 * kMaxHeader);
}

// Guards against the refusal of a head that uses the bound to the last byte.
TEST(MessageReaderTest, ServesShortestLinesUpToTheBound) {
  std::string lines;
  while (lines.size() + 6 <= kMaxHeader) {
    lines += "a:\r\n";
  }
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  FeedAll(reader, "GET / HTTP/1.1\r\n" + lines + "\r\n", 512);
  EXPECT_EQ(reader.error(), reader_error::kNone);
  ASSERT_EQ(received.messages.size(), 1U);
  EXPECT_EQ(received.messages[0].head.headers.all().size(), lines.size() / 4);
}

// Guards against more lines than the operator allows.
TEST(MessageReaderTest, BoundsHeaderLines) {
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader, 3);
  FeedAll(reader, "GET / HTTP/1.1\r\na: 1\r\na: 2\r\na: 3\r\na: 4\r\n\r\n", 512);
  EXPECT_EQ(reader.error(), reader_error::kTooManyHeaders);
  EXPECT_TRUE(received.messages.empty());
}

// Guards against treating a response without a length as complete before its connection ends.
TEST(MessageReaderTest, UndelimitedResponseEndsWithConnection) {
  recorder received;
  message_reader reader(message_kind::kResponse, received, kMaxHeader);
  FeedAll(reader, "HTTP/1.1 200 OK\r\n\r\nabc", 512);
  ASSERT_EQ(received.messages.size(), 1U);
  EXPECT_FALSE(received.messages[0].head.has_delimited_body);
  EXPECT_FALSE(received.messages[0].ended);
  EXPECT_TRUE(reader.Finish());
  EXPECT_TRUE(received.messages[0].ended);
}

// Guards against treating a truncated response as complete.
TEST(MessageReaderTest, TruncatedResponseIsIncomplete) {
  recorder received;
  message_reader reader(message_kind::kResponse, received, kMaxHeader);
  FeedAll(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 512);
  EXPECT_FALSE(reader.Finish());
  EXPECT_FALSE(received.messages[0].ended);
}

// Guards against waiting for a body that never comes, or taking the next response for it: a
// response to HEAD states the length of a body that it does not have.
TEST(MessageReaderTest, ResponseToHeadHasNoBody) {
  recorder received;
  message_reader reader(message_kind::kResponse, received, kMaxHeader);
  reader.ExpectNoBody();
  FeedAll(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 512);
  ASSERT_EQ(received.messages.size(), 1U);
  EXPECT_TRUE(received.messages[0].ended);
}

// Guards against a trailer that becomes a header of the next request.
TEST(MessageReaderTest, TrailersDoNotReachTheNextMessage) {
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  FeedAll(reader,
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
          "Content-Digest: d\r\nTenant: t\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
          5);
  ASSERT_EQ(received.messages.size(), 2U);
  EXPECT_EQ(received.messages[0].head.headers.all().size(), 1U);
  EXPECT_EQ(received.messages[1].head.headers.all(), (std::vector<header>{{"Host", "h"}}));
}

// Guards against a header that is not recognized, and so forwarded, because of a blank in its name.
TEST(MessageReaderTest, RejectsBlanksInHeaderNames) {
  for (const std::string_view name : {"Tenant ", "Ten ant", "Hold\t", "Host : h\r\nTenant "}) {
    recorder received;
    message_reader reader(message_kind::kRequest, received, kMaxHeader);
    FeedAll(reader, "GET / HTTP/1.1\r\n" + std::string(name) + ": x\r\n\r\n", 512);
    EXPECT_EQ(reader.error(), reader_error::kMalformed) << name;
    EXPECT_TRUE(received.messages.empty()) << name;
  }
}

// Guards against a request that is started and then rejected because it offers an upgrade.
TEST(MessageReaderTest, OfferedUpgradeIsIgnored) {
  recorder received;
  message_reader reader(message_kind::kRequest, received, kMaxHeader);
  FeedAll(reader,
          "POST /a HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
          "Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nConnection: Upgrade\r\n"
          "Upgrade: h2c\r\n\r\nGET /c HTTP/1.1\r\n\r\n",
          512);
  EXPECT_EQ(reader.error(), reader_error::kNone);
  ASSERT_EQ(received.messages.size(), 3U);
  EXPECT_EQ(received.messages[0].body, "abc");
  EXPECT_EQ(received.messages[1].head.target, "/b");
  EXPECT_EQ(received.messages[2].head.target, "/c");
}

// Guards against a message that its listener gets as complete and the reader then rejects.
TEST(MessageReaderTest, ProtocolSwitchIsRejectedBeforeItsHead) {
  recorder requests;
  message_reader request_reader(message_kind::kRequest, requests, kMaxHeader);
  FeedAll(request_reader, "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 512);
  EXPECT_EQ(request_reader.error(), reader_error::kMalformed);
  EXPECT_TRUE(requests.messages.empty());
  recorder responses;
  message_reader response_reader(message_kind::kResponse, responses, kMaxHeader);
  FeedAll(response_reader,
          "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 512);
  EXPECT_EQ(response_reader.error(), reader_error::kMalformed);
  EXPECT_TRUE(responses.messages.empty());
}

// Guards against a crash or an endless loop on bytes that are not HTTP.
RC_GTEST_PROP(MessageReaderTest, HandlesArbitraryBytes, (const std::string& bytes)) {
  recorder received;
  message_reader reader(message_kind::kResponse, received, kMaxHeader);
  FeedAll(reader, bytes, 7);
  reader.Finish();
  RC_ASSERT(std::ranges::count_if(received.messages, [](const auto& m) { return !m.ended; }) <= 1);
}

}  // namespace
}  // namespace tarragon::http
