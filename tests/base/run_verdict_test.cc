#include "tarragon/base/run_verdict.h"

#include <gtest/gtest.h>

namespace tarragon {
namespace {

// Guards against a verdict whose header value does not parse back to the verdict.
TEST(RunVerdict, NamesRoundTrip) {
  for (const run_verdict v : {run_verdict::kNotRun, run_verdict::kMayHaveRun, run_verdict::kRan}) {
    EXPECT_EQ(ParseRunVerdict(ToString(v)), v);
  }
  EXPECT_EQ(ParseRunVerdict("NOT-RUN"), std::nullopt);
}

// Guards against reporting `not-run` for a request with an attempt that may have run.
TEST(RunVerdict, CombineKeepsTheStrongerClaim) {
  EXPECT_EQ(Combine(run_verdict::kNotRun, run_verdict::kMayHaveRun), run_verdict::kMayHaveRun);
  EXPECT_EQ(Combine(run_verdict::kRan, run_verdict::kMayHaveRun), run_verdict::kRan);
  EXPECT_EQ(Combine(run_verdict::kNotRun, run_verdict::kNotRun), run_verdict::kNotRun);
}

}  // namespace
}  // namespace tarragon
