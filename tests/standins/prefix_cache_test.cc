#include "fakes/fake_endpoint/prefix_cache.h"

#include <gtest/gtest.h>

#include <string>

#include "tarragon/base/hash.h"
#include "tarragon/base/manual_clock.h"

namespace tarragon::fakes {
namespace {

// Returns `count` words that start with the same letter.
std::string Words(char letter, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += (i == 0 ? "" : " ") + (letter + std::to_string(i));
  }
  return text;
}

// Guards against a cache hit for a prefix that differs from the stored one.
TEST(PrefixCache, CachesWholeBlocksOfAnEqualPrefix) {
  manual_clock time;
  prefix_cache cache(100, 0, 1);
  EXPECT_EQ(cache.Access(Words('a', 40), time.Now()), 0U);
  EXPECT_EQ(cache.Access(Words('a', 40) + " more", time.Now()), 32U);
  EXPECT_EQ(cache.Access(Words('a', 20) + " " + Words('b', 20), time.Now()), 16U);
  EXPECT_EQ(cache.Access("x " + Words('a', 40), time.Now()), 0U);
}

// Guards against eviction of the most recently used prefix, and against events with wrong prefixes.
TEST(PrefixCache, EvictsTheLeastRecentlyUsedAndPublishesIt) {
  manual_clock time;
  prefix_cache cache(2, 0, 1);
  cache.Access(Words('a', 16), time.Now());
  cache.Access(Words('b', 16), time.Now());
  cache.Access(Words('a', 16), time.Now());
  cache.Access(Words('c', 16), time.Now());
  EXPECT_EQ(cache.Access(Words('a', 16), time.Now()), 16U);
  const std::vector<cache_event> events = cache.EventsAfter(3, time.Now());
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, cache_event_kind::kEvicted);
  EXPECT_EQ(events[0].prefix_hash, Hash64(Words('b', 16)));
}

// Guards against event gaps that a reader cannot detect, and against events published too early.
TEST(PrefixCache, EventsAreLateAndGapsShowInTheSequence) {
  manual_clock time;
  prefix_cache cache(1000, 0.5, 1);
  const time_point before = time.Now();
  time.Advance(std::chrono::milliseconds(1));
  for (char letter = 'a'; letter <= 'z'; ++letter) {
    cache.Access(Words(letter, 16), time.Now());
  }
  EXPECT_TRUE(cache.EventsAfter(0, before).empty());
  const std::vector<cache_event> events = cache.EventsAfter(0, time.Now());
  ASSERT_FALSE(events.empty());
  EXPECT_LT(events.size(), 26U);
  EXPECT_GT(events.back().sequence, events.size());
}

}  // namespace
}  // namespace tarragon::fakes
