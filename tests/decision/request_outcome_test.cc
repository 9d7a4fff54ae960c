#include "tarragon/decision/request_outcome.h"

#include <gtest/gtest.h>

namespace tarragon::decision {
namespace {

// Guards against lost requests that are counted as refusals, and against refusals for lack of
// capacity that are counted as rejections caused by the caller.
TEST(RequestOutcome, FollowsReasonAndVerdict) {
  EXPECT_EQ(ClassifyOutcome(finish_reason::kCompleted, run_verdict::kRan, true), "whole");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kCompleted, run_verdict::kRan, false), "late");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kLost, run_verdict::kMayHaveRun, true), "failed");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kDeadline, run_verdict::kMayHaveRun, false), "failed");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kDeadline, run_verdict::kNotRun, false), "refused");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kQueueFull, run_verdict::kNotRun, true), "refused");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kOverRateLimit, run_verdict::kNotRun, true), "rejected");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kClaimHeld, run_verdict::kMayHaveRun, true), "rejected");
  EXPECT_EQ(ClassifyOutcome(finish_reason::kCancelled, run_verdict::kMayHaveRun, true),
            "cancelled");
}

// Guards against label values that are not escaped, and against an empty class label.
TEST(RequestOutcome, LabelsAreEscaped) {
  EXPECT_EQ(OutcomeLabels("a\"b\\\n", "whole"), "class=\"a\\\"b\\\\\\n\",outcome=\"whole\"");
  EXPECT_EQ(ClassLabel(""), "class=\"unknown\"");
}

}  // namespace
}  // namespace tarragon::decision
