#include "tarragon/routing/copy_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

bool CopiesNow(const copy_planner& planner, const copy_situation& situation = {}) {
  return std::holds_alternative<copy_now>(planner.Plan(situation));
}

bool GivesUp(const copy_planner& planner) {
  return std::holds_alternative<no_copy>(planner.Plan({}));
}

// Guards against calls without end to an engine that only finishes its streams.
TEST(CopyPlannerTest, RefusalAndUnknownRunEndTheAttempts) {
  for (const auto failure : {copy_failure::kSourceRefused, copy_failure::kNoSuchRun}) {
    copy_planner planner;
    planner.OnFailure(failure);
    EXPECT_TRUE(GivesUp(planner));
    planner.OnDelayPassed();
    EXPECT_TRUE(GivesUp(planner));
  }
}

// Guards against a stream that loses its rescue because a single response was reset.
TEST(CopyPlannerTest, SecondLostResponseInARowEndsTheAttempts) {
  copy_planner planner;
  planner.OnFailure(copy_failure::kNoResponse);
  EXPECT_TRUE(CopiesNow(planner));
  planner.OnFailure(copy_failure::kNoRoom);
  planner.OnFailure(copy_failure::kNoResponse);
  EXPECT_FALSE(GivesUp(planner));
  planner.OnFailure(copy_failure::kNoResponse);
  EXPECT_TRUE(GivesUp(planner));
}

// Guards against a new engine of the generation that gets no copies because its last one failed.
TEST(CopyPlannerTest, NewRunForgetsTheLostSource) {
  copy_planner planner;
  planner.OnFailure(copy_failure::kSourceRefused);
  planner.BeginRun();
  EXPECT_TRUE(CopiesNow(planner));
}

// Guards against backups that are copied again while unprotected generations need the link, and
// against copies that take memory besides an adequate backup.
TEST(CopyPlannerTest, UnprotectedGenerationsComeFirst) {
  const copy_planner planner;
  EXPECT_TRUE(CopiesNow(planner));
  const copy_situation early{milliseconds(100), true, true};
  const auto step = planner.Plan(early);
  ASSERT_TRUE(std::holds_alternative<copy_after>(step));
  EXPECT_EQ(std::get<copy_after>(step).delay, milliseconds(300));
  EXPECT_TRUE(CopiesNow(planner, {milliseconds(400), true, true}));
  EXPECT_TRUE(std::holds_alternative<no_copy>(planner.Plan({milliseconds(900), true, false})));
}

// Guards against generations that stay without a copy although memory becomes free, and against
// many vain calls meanwhile. Load: 30 generations of an engine that takes calls for 2 s and has 4 s
// until its end, while all other engines are full for 1 s; the link makes one copy every 100 ms.
TEST(CopyPlannerTest, GenerationsOfAnEndingEngineAreCopiedWithFewCalls) {
  constexpr std::size_t kGenerations = 30;
  constexpr milliseconds kStep{10};
  constexpr milliseconds kCopyTime{100};
  struct generation {
    copy_planner planner;
    milliseconds next{0};
    bool copied = false;
  };
  std::vector<generation> generations(kGenerations);
  std::size_t failed = 0;
  std::size_t after_end = 0;
  milliseconds link_free{0};
  for (milliseconds now{0}; now < milliseconds(4000); now += kStep) {
    for (generation& each : generations) {
      if (each.copied || now < each.next) {
        continue;
      }
      each.planner.OnDelayPassed();
      if (CopiesNow(each.planner)) {
        const bool accepts = now < milliseconds(2000);
        const bool room = now >= milliseconds(1000);
        if (accepts && room) {
          link_free = std::max(link_free, now) + kCopyTime;
          each.copied = link_free < milliseconds(4000);
          each.planner.OnCompleted();
        } else {
          each.planner.OnFailure(accepts ? copy_failure::kNoRoom : copy_failure::kSourceRefused);
          ++failed;
          after_end += accepts ? 0 : 1;
        }
      }
      const auto step = each.planner.Plan({});
      each.next = now + (std::holds_alternative<copy_after>(step)
                             ? std::chrono::ceil<milliseconds>(std::get<copy_after>(step).delay)
                             : kStep);
    }
  }
  const auto copied = std::ranges::count_if(generations, &generation::copied);
  EXPECT_GE(copied, static_cast<int>(kGenerations * 9 / 10));
  EXPECT_LE(after_end, kGenerations);
  // Three rounds of four attempts fit into the second without room.
  EXPECT_LE(failed, kGenerations * 12);
}

}  // namespace
}  // namespace tarragon::routing
