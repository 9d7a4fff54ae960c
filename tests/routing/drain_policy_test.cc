#include "tarragon/routing/drain_policy.h"

#include <gtest/gtest.h>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

// Guards against a process that accepts a report and ends before the report does. Seen on
// dobrescu-gaz (mix --seed 662688481730), where the caller's estimate was far too low.
TEST(DrainPolicyTest, AcceptsGenerationByItsMaxOutput) {
  route rule;
  rule.kind = repeat_kind::kStream;
  const work_size report{3000, 100, 2000};
  EXPECT_FALSE(MayAcceptWhileDraining(rule, report, milliseconds(7700)));
  const work_size short_answer{2200, 16, 52};
  EXPECT_TRUE(MayAcceptWhileDraining(rule, short_answer, milliseconds(7700)));
  EXPECT_FALSE(MayAcceptWhileDraining(rule, short_answer, milliseconds(500)));
}

// Guards against a draining process that accepts a call it cannot finish, or refuses one that it
// can.
TEST(DrainPolicyTest, AcceptsCallIfItsTimeoutFits) {
  route rule;
  rule.kind = repeat_kind::kUnsafe;
  rule.timeout = milliseconds(2000);
  EXPECT_TRUE(MayAcceptWhileDraining(rule, {}, milliseconds(2500)));
  EXPECT_FALSE(MayAcceptWhileDraining(rule, {}, milliseconds(1900)));
}

}  // namespace
}  // namespace tarragon::routing
