#include "tarragon/routing/engine_silence.h"

#include <gtest/gtest.h>

#include <chrono>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};

// Guards against a moment of silence that counts as a slow start of what waited meanwhile.
TEST(EngineSilenceTest, CoversTheTimeBetweenTwoEvents) {
  engine_silence silence;
  silence.OnEvent(kStart);
  silence.OnStreamBegun();
  silence.OnEvent(kStart + milliseconds(1300));
  const time_point end = kStart + milliseconds(1350);
  EXPECT_EQ(silence.Within(kStart + milliseconds(800), end), milliseconds(500));
  EXPECT_EQ(silence.Within(kStart - milliseconds(50), end), milliseconds(1300));
  EXPECT_EQ(silence.Within(kStart + milliseconds(1310), end), duration::zero());
}

// Guards against slow engines that pass for silent ones: a pace, the time without any stream, and
// one that is silent for longer than a sound engine.
TEST(EngineSilenceTest, SlowEnginesAreNotSilent) {
  engine_silence silence;
  silence.OnEvent(kStart);
  silence.OnEvent(kStart + milliseconds(2000));
  EXPECT_EQ(silence.Within(kStart, kStart + milliseconds(2000)), duration::zero());
  silence.OnStreamBegun();
  silence.OnEvent(kStart + milliseconds(2400));
  EXPECT_EQ(silence.Within(kStart, kStart + milliseconds(2400)), duration::zero());
  silence.OnEvent(kStart + milliseconds(9400));
  EXPECT_EQ(silence.Within(kStart, kStart + milliseconds(9400)), milliseconds(1500));
}

}  // namespace
}  // namespace tarragon::routing
