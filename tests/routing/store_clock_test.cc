#include "tarragon/routing/store_clock.h"

#include <gtest/gtest.h>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(1000)};

// Guards against a relay that was paused and then passes rows from its socket's buffer on as if the
// store had just confirmed them.
TEST(StoreClockTest, MessagesProcessedLateAreOld) {
  store_clock clock;
  clock.Record(kStart, 1, milliseconds(5000));
  EXPECT_EQ(clock.Age(kStart, 1, milliseconds(5000)), milliseconds(0));
  // The process was paused for 4 s; the message had arrived 3.8 s before its end.
  const time_point late = kStart + seconds(4);
  clock.Record(late, 1, milliseconds(5200));
  EXPECT_EQ(clock.Age(late, 1, milliseconds(5200)), milliseconds(3800));
}

// Guards against rows that stay fresh for ever because the clock of the process did not count the
// time for which the VM was suspended.
TEST(StoreClockTest, ASuspendedProcessLearnsTheTimeFromTheNextMessage) {
  store_clock clock;
  clock.Record(kStart, 1, milliseconds(5000));
  clock.Record(kStart + milliseconds(10), 1, milliseconds(15'000));
  EXPECT_EQ(clock.Age(kStart + milliseconds(10), 1, milliseconds(5000)), seconds(10));
}

// Guards against rows that count as ever older because the clock of the VM runs fast.
TEST(StoreClockTest, FollowsClocksThatDriftApart) {
  store_clock clock;
  // The VM's clock gains 1 ms a second, far more than real clocks do.
  milliseconds store{0};
  time_point now = kStart;
  for (int second = 0; second < 3600; ++second) {
    clock.Record(now, 1, store);
    EXPECT_LE(clock.Age(now, 1, store), milliseconds(45));
    store += milliseconds(999);
    now += seconds(1);
  }
}

// Guards against rows that stay old, or seem fresh, because the clock of a store that has returned
// from a copy starts elsewhere.
TEST(StoreClockTest, TimesOfDifferentErasAreNotCompared) {
  store_clock clock;
  clock.Record(kStart, 1, milliseconds(90'000));
  const time_point restored = kStart + seconds(5);
  clock.Record(restored, 2, milliseconds(1000));
  clock.Record(restored, 1, milliseconds(95'000));
  EXPECT_EQ(clock.Age(restored + seconds(1), 2, milliseconds(1000)), seconds(1));
  EXPECT_EQ(clock.Age(restored + seconds(2), 1, milliseconds(95'000)), seconds(2));
}

}  // namespace
}  // namespace tarragon::routing
