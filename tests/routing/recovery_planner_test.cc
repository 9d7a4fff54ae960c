#include "tarragon/routing/recovery_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <variant>

namespace tarragon::routing {
namespace {

request_progress AfterFirstSend(repeat_kind kind) {
  request_progress progress;
  progress.kind = kind;
  progress.possible_runs = 1;
  progress.sends = 1;
  progress.max_attempts = 2;
  progress.budget_left = true;
  progress.remaining_time = std::chrono::seconds(2);
  return progress;
}

// Guards against running a request with side effects, such as a booking, twice.
TEST(RecoveryPlannerTest, DoesNotRepeatUnsafeThatMayHaveRun) {
  const auto step = PlanRecovery(AfterFirstSend(repeat_kind::kUnsafe),
                                 send_failure::kConnectionLost, run_verdict::kMayHaveRun);
  EXPECT_TRUE(std::holds_alternative<answer_unknown>(step));
}

// Guards against refusing a request that another endpoint would have accepted.
TEST(RecoveryPlannerTest, SendsUnsafeElsewhereIfItHasNotRun) {
  request_progress progress = AfterFirstSend(repeat_kind::kUnsafe);
  progress.possible_runs = 0;
  const auto step = PlanRecovery(progress, send_failure::kDeclined, run_verdict::kNotRun);
  EXPECT_TRUE(std::holds_alternative<send_elsewhere>(step));
}

// Guards against safe requests that fail because of one endpoint, and against repeats beyond the
// limit of the route, which multiply the load when a service is broken.
TEST(RecoveryPlannerTest, RepeatsSafeWithinMaxAttempts) {
  request_progress progress = AfterFirstSend(repeat_kind::kSafe);
  EXPECT_TRUE(std::holds_alternative<send_elsewhere>(
      PlanRecovery(progress, send_failure::kFailureStatus, run_verdict::kRan)));
  progress.possible_runs = 2;
  EXPECT_TRUE(std::holds_alternative<relay_failure>(
      PlanRecovery(progress, send_failure::kFailureStatus, run_verdict::kRan)));
  EXPECT_TRUE(std::holds_alternative<answer_unknown>(
      PlanRecovery(progress, send_failure::kConnectionLost, run_verdict::kMayHaveRun)));
}

// Guards against repeats of safe requests, the most frequent ones, that exceed the budget.
TEST(RecoveryPlannerTest, SendsNothingWithoutBudget) {
  request_progress progress = AfterFirstSend(repeat_kind::kSafe);
  progress.budget_left = false;
  EXPECT_TRUE(std::holds_alternative<answer_unknown>(
      PlanRecovery(progress, send_failure::kConnectionLost, run_verdict::kMayHaveRun)));
  progress.possible_runs = 0;
  EXPECT_TRUE(std::holds_alternative<refuse>(
      PlanRecovery(progress, send_failure::kDeclined, run_verdict::kNotRun)));
}

// Guards against a stream that is started over in the middle of the caller's answer.
TEST(RecoveryPlannerTest, BreaksOffPlainStreamWithoutCopy) {
  request_progress progress = AfterFirstSend(repeat_kind::kStream);
  progress.answer_started = true;
  EXPECT_TRUE(std::holds_alternative<break_off>(
      PlanRecovery(progress, send_failure::kConnectionLost, run_verdict::kMayHaveRun)));
  progress.has_copy = true;
  EXPECT_TRUE(std::holds_alternative<resume_from_copy>(
      PlanRecovery(progress, send_failure::kConnectionLost, run_verdict::kMayHaveRun)));
}

// Guards against breaking off a stream that any engine can continue without a KV cache copy.
TEST(RecoveryPlannerTest, ResumesResumableStreamElsewhere) {
  request_progress progress = AfterFirstSend(repeat_kind::kStream);
  progress.resumable = true;
  progress.answer_started = true;
  EXPECT_TRUE(std::holds_alternative<resume_elsewhere>(
      PlanRecovery(progress, send_failure::kConnectionLost, run_verdict::kMayHaveRun)));
}

// Guards against a plan that refuses a request that may have run, repeats one whose kind forbids
// it, sends without remaining time, or starts a second answer after the first has begun.
RC_GTEST_PROP(RecoveryPlannerTest, NoStepBreaksAGuarantee, ()) {
  request_progress progress;
  progress.kind = *rc::gen::element(repeat_kind::kSafe, repeat_kind::kUnsafe, repeat_kind::kStream);
  progress.resumable = *rc::gen::arbitrary<bool>();
  progress.possible_runs = *rc::gen::inRange(0, 4);
  progress.sends = progress.possible_runs + *rc::gen::inRange(0, 3);
  progress.failed_connects = *rc::gen::inRange(0, 20);
  progress.max_attempts = *rc::gen::inRange(1, 4);
  progress.has_copy = *rc::gen::arbitrary<bool>();
  progress.budget_left = *rc::gen::arbitrary<bool>();
  progress.is_suspect = *rc::gen::arbitrary<bool>();
  progress.remaining_time = std::chrono::milliseconds(*rc::gen::inRange(0, 500));
  const auto verdict =
      *rc::gen::element(run_verdict::kNotRun, run_verdict::kMayHaveRun, run_verdict::kRan);
  progress.answer_started = verdict != run_verdict::kNotRun && *rc::gen::arbitrary<bool>();
  const auto failure = *rc::gen::element(send_failure::kConnectFailed, send_failure::kDeclined,
                                         send_failure::kConnectionLost, send_failure::kSilent,
                                         send_failure::kBadAnswer, send_failure::kFailureStatus);
  const next_step step = PlanRecovery(progress, failure, verdict);
  const bool may_have_run = verdict != run_verdict::kNotRun;
  if (std::holds_alternative<refuse>(step)) {
    RC_ASSERT(!may_have_run);
  }
  if (std::holds_alternative<send_elsewhere>(step)) {
    RC_ASSERT(!progress.answer_started);
    RC_ASSERT(!may_have_run || progress.kind == repeat_kind::kSafe ||
              (progress.kind == repeat_kind::kStream && progress.resumable));
    RC_ASSERT(!may_have_run || progress.possible_runs < progress.max_attempts);
  }
  if (std::holds_alternative<resume_elsewhere>(step)) {
    RC_ASSERT(progress.resumable && progress.possible_runs < progress.max_attempts);
  }
  const bool sends = std::holds_alternative<send_elsewhere>(step) ||
                     std::holds_alternative<resume_elsewhere>(step) ||
                     std::holds_alternative<resume_from_copy>(step);
  RC_ASSERT(!sends || (!progress.is_suspect && progress.failed_connects < 16));
  // If no send has reached an endpoint, the next one is the first, which the budget does not count.
  RC_ASSERT(!sends || progress.budget_left || progress.sends == 0);
  RC_ASSERT(!sends || progress.remaining_time > std::chrono::milliseconds(0));
  if (progress.answer_started && !sends) {
    RC_ASSERT(std::holds_alternative<break_off>(step));
  }
}

}  // namespace
}  // namespace tarragon::routing
