#include "tarragon/net/sse_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace tarragon::net {
namespace {

std::vector<sse_event> ParseWhole(const std::string& text) {
  sse_parser parser;
  std::vector<sse_event> events;
  EXPECT_TRUE(parser.Feed(text, events));
  return events;
}

// Guards against lost or duplicated events when lines have uncommon but valid forms.
TEST(SseParser, ReadsFieldsCommentsAndLineEnds) {
  EXPECT_EQ(
      ParseWhole("\xEF\xBB\xBF"
                 "id: 1\r\ndata: a\r\n\r\n: comment\rdata:b\rdata: c\r\r"
                 "event:x\ndata\n\nid: 9\n\nunknown: y\ndata:  z\n\ndata: cut off\n"),
      (std::vector<sse_event>{{"1", "", "a"}, {"", "", "b\nc"}, {"", "x", ""}, {"", "", " z"}}));
}

// Guards against an endpoint that exhausts the memory of the entry with an unterminated event.
TEST(SseParser, RejectsAnUnterminatedEvent) {
  sse_parser parser;
  std::vector<sse_event> events;
  const std::string part(std::size_t{64} << 10, 'x');
  bool accepted = true;
  for (int i = 0; i < 100 && accepted; ++i) {
    accepted = parser.Feed("data: " + part + "\n", events);
  }
  EXPECT_FALSE(accepted);
  EXPECT_FALSE(parser.Feed("data: a\n\n", events));
  EXPECT_TRUE(events.empty());
}

std::vector<sse_event> ParseInChunks(const std::string& text,
                                     const std::vector<std::size_t>& split_sizes) {
  sse_parser parser;
  std::vector<sse_event> events;
  std::string_view rest = text;
  for (const std::size_t split_size : split_sizes) {
    const std::size_t size = std::min(split_size % 7, rest.size());
    parser.Feed(rest.substr(0, size), events);
    rest.remove_prefix(size);
  }
  parser.Feed(rest, events);
  return events;
}

// Guards against events that depend on where TCP splits the stream.
RC_GTEST_PROP(SseParser,
              ResultDoesNotDependOnSplits,
              (const std::vector<std::size_t>& split_sizes)) {
  const auto line = rc::gen::container<std::string>(rc::gen::element('a', ':', ' ', 'd', '\xEF'));
  const auto part = rc::gen::oneOf(
      line, rc::gen::element<std::string>("data: x", "id: 4", "event: e", "data", ": c", ""));
  const auto end = rc::gen::element<std::string>("\n", "\r", "\r\n", "\n\n", "\r\r", "\r\n\r\n");
  const auto parts = *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
      rc::gen::pair(part, end));
  std::string text;
  for (const auto& [body, terminator] : parts) {
    text += body + terminator;
  }
  RC_ASSERT(ParseInChunks(text, split_sizes) == ParseInChunks(text, {}));
}

// Guards against crashes on bytes that are not an event stream.
RC_GTEST_PROP(SseParser,
              HandlesArbitraryBytes,
              (const std::string& bytes, const std::vector<std::size_t>& split_sizes)) {
  RC_ASSERT(ParseInChunks(bytes, split_sizes) == ParseInChunks(bytes, {}));
}

// Guards against lost, duplicated or changed events when the sender follows the format.
RC_GTEST_PROP(SseParser, RoundTripsWrittenEvents, (const std::vector<std::size_t>& split_sizes)) {
  const auto word = rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
  const auto events = *rc::gen::container<std::vector<sse_event>>(rc::gen::build<sse_event>(
      rc::gen::set(&sse_event::id, word), rc::gen::set(&sse_event::name, word),
      rc::gen::set(&sse_event::data, word)));
  std::string text;
  for (const sse_event& event : events) {
    text += "id: " + event.id + "\nevent: " + event.name + "\ndata: " + event.data + "\n\n";
  }
  RC_ASSERT(ParseInChunks(text, split_sizes) == events);
}

}  // namespace
}  // namespace tarragon::net
