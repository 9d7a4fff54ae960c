#include "tarragon/http/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::http {
namespace {

constexpr std::string_view kStream =
    "id: 1\ndata: a\n\n"
    "id:2\r\ndata: b\r\n\r\n"
    "weight: 3\nid: 7\ndata: c\ndata: d\n\n";

// Guards against changed, lost or merged events if the network splits the stream anywhere.
RC_GTEST_PROP(EventSplitterTest, AnySplitKeepsBytesAndEvents, ()) {
  const auto chunk_size = *rc::gen::inRange<std::size_t>(1, kStream.size());
  event_splitter splitter;
  std::vector<raw_event> events;
  for (std::size_t at = 0; at < kStream.size(); at += chunk_size) {
    RC_ASSERT(splitter.Feed(kStream.substr(at, chunk_size), events));
  }
  RC_ASSERT(events.size() == 3U);
  RC_ASSERT(events[0].id == 1U);
  RC_ASSERT(events[1].id == 2U);
  RC_ASSERT(events[2].id == 7U);
  RC_ASSERT(events[0].bytes + events[1].bytes + events[2].bytes == kStream);
  RC_ASSERT(!splitter.has_partial_event());
}

// Guards against treating a stream that broke off inside an event as complete.
TEST(EventSplitterTest, ReportsPartialEvent) {
  event_splitter splitter;
  std::vector<raw_event> events;
  EXPECT_TRUE(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda", events));
  EXPECT_EQ(events.size(), 1U);
  EXPECT_TRUE(splitter.has_partial_event());
}

// Guards against resuming a stream at a wrong event because an id that is not a number was read as
// one.
TEST(EventSplitterTest, IgnoresIdThatIsNotANumber) {
  event_splitter splitter;
  std::vector<raw_event> events;
  EXPECT_TRUE(splitter.Feed("id: x\n\n", events));
  EXPECT_EQ(events.at(0).id, std::nullopt);
}

// Guards against unbounded memory use if a sender never ends an event.
TEST(EventSplitterTest, BoundsEventSize) {
  event_splitter splitter;
  std::vector<raw_event> events;
  EXPECT_FALSE(splitter.Feed(std::string(event_splitter::kMaxEventBytes + 1, 'x'), events));
}

}  // namespace
}  // namespace tarragon::http
