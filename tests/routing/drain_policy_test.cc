#include "tarragon/routing/drain_policy.h"

#include <gtest/gtest.h>

#include <memory>

#include "tarragon/routing/sound_silence.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

constexpr time_point kNow{std::chrono::seconds(100)};
constexpr pace_bounds kUsualPace{milliseconds(300), milliseconds(11),
                                 std::chrono::microseconds(150)};

// Guards against a process that accepts a report and ends before the report does. Seen on
// dobrescu-gaz (mix --seed 662688481730), where the caller's estimate was far too low.
TEST(DrainPolicyTest, AcceptsGenerationByItsMaxOutput) {
  route rule;
  rule.kind = repeat_kind::kStream;
  rule.timeout = milliseconds(39000);
  const work_size report{3000, 100, 2000};
  EXPECT_FALSE(CanFinishInTime(rule, report, kUsualPace, rule.timeout, milliseconds(7700)));
  const work_size short_answer{2200, 16, 52};
  EXPECT_TRUE(CanFinishInTime(rule, short_answer, kUsualPace, rule.timeout, milliseconds(7700)));
  EXPECT_FALSE(CanFinishInTime(rule, short_answer, kUsualPace, rule.timeout, milliseconds(500)));
}

// Guards against a stream that is cut off when the process ends, because its sound engine was
// silent for a moment, and against refusing what ends in spite of one silence.
TEST(DrainPolicyTest, AllowsForOneSilenceOfASoundEngine) {
  route rule;
  rule.kind = repeat_kind::kStream;
  rule.timeout = milliseconds(39000);
  const work_size size{2200, 16, 52};
  const milliseconds without_silence = MaxGenerationDuration(size, kUsualPace);
  EXPECT_FALSE(CanFinishInTime(rule, size, kUsualPace, rule.timeout,
                               without_silence + kLongestSoundSilence));
  EXPECT_TRUE(CanFinishInTime(rule, size, kUsualPace, rule.timeout,
                              without_silence + kLongestSoundSilence + milliseconds(1)));
}

// Guards against a draining process that accepts a call it cannot finish, or refuses one that it
// can.
TEST(DrainPolicyTest, AcceptsCallIfItsTimeoutFits) {
  route rule;
  rule.kind = repeat_kind::kUnsafe;
  rule.timeout = milliseconds(2000);
  EXPECT_TRUE(CanFinishInTime(rule, {}, kUsualPace, rule.timeout, milliseconds(2500)));
  EXPECT_FALSE(CanFinishInTime(rule, {}, kUsualPace, rule.timeout, milliseconds(1900)));
}

// Guards against a draining process that accepts a generation at engines too slow to finish it, as
// their pace was taken from data sheets.
TEST(DrainPolicyTest, BoundsThePaceByWhatWasSeen) {
  generation_pace pace;
  pace.RecordInterval(kNow, milliseconds(30));
  pace.RecordFirstEvent(kNow, milliseconds(900));
  const pace_bounds bounds = BoundPace(kNow + std::chrono::seconds(5), pace, {});
  EXPECT_GE(bounds.per_token, milliseconds(30));
  EXPECT_GE(bounds.start, milliseconds(900));
  const work_size size{800, 50, 100};
  EXPECT_LT(MaxGenerationDuration(size, kUsualPace), milliseconds(2000));
  EXPECT_GT(MaxGenerationDuration(size, bounds), milliseconds(900 + 100 * 30));
}

// Guards against a daemon that has just started and takes engines for fast that others know as
// slow.
TEST(DrainPolicyTest, BoundsThePaceByWhatOthersSaw) {
  const auto slow = std::make_shared<endpoint>();
  slow->event_interval.SetPeerEstimate(milliseconds(40));
  EXPECT_GE(BoundPace(kNow, {}, {slow}).per_token, milliseconds(40));
  EXPECT_GT(BoundPace(kNow, {}, {}).per_token, kUsualPace.per_token);
}

// Guards against refusing a stream whose caller's deadline ends it before the process ends.
TEST(DrainPolicyTest, StreamNeedsNoMoreThanItsTimeAllowed) {
  route rule;
  rule.kind = repeat_kind::kStream;
  const work_size report{3000, 100, 2000};
  EXPECT_TRUE(CanFinishInTime(rule, report, kUsualPace, milliseconds(2000), milliseconds(2100)));
  EXPECT_FALSE(CanFinishInTime(rule, report, kUsualPace, milliseconds(2000), milliseconds(2000)));
}

// Guards against a stream of unknown length that is accepted until the process ends: its caller
// states no size, and an empty size took no time.
TEST(DrainPolicyTest, StreamWithoutSizeNeedsItsTimeout) {
  route rule;
  rule.kind = repeat_kind::kStream;
  rule.timeout = milliseconds(4000);
  EXPECT_FALSE(CanFinishInTime(rule, {}, kUsualPace, rule.timeout, milliseconds(3900)));
  EXPECT_TRUE(CanFinishInTime(rule, {}, kUsualPace, rule.timeout, milliseconds(4100)));
}

}  // namespace
}  // namespace tarragon::routing
