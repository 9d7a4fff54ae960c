#include "fakes/fake_endpoint/batch_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "tarragon/base/manual_clock.h"

namespace tarragon::fakes {
namespace {

// Runs one step of the scheduler and advances the clock by its duration.
std::vector<produced_token> RunStep(batch_scheduler& scheduler, manual_clock& time) {
  scheduler.StartStep(time.Now());
  time.Advance(scheduler.StepTime());
  return scheduler.EndStep(time.Now());
}

scheduled_request Request(const std::string& id,
                          int priority,
                          std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens) {
  return {.id = id,
          .priority = priority,
          .prompt_tokens = prompt_tokens,
          .cached_tokens = 0,
          .output_tokens = output_tokens};
}

// Guards against a scheduler that serves requests in the order of arrival and ignores priorities.
TEST(BatchScheduler, ServesLowerPriorityNumbersFirst) {
  manual_clock time;
  batch_scheduler scheduler({.slots = 1});
  scheduler.Submit(Request("late", 5, 1, 1));
  scheduler.Submit(Request("early", 1, 1, 1));
  scheduler.Submit(Request("early_2", 1, 1, 1));
  std::vector<generation_id> order;
  while (!scheduler.IsIdle()) {
    for (const produced_token& token : RunStep(scheduler, time)) {
      order.push_back(token.id);
    }
  }
  EXPECT_EQ(order, (std::vector<generation_id>{"early", "early_2", "late"}));
}

// Guards against an urgent request that waits for a slot held by less urgent work.
TEST(BatchScheduler, UrgentWorkPreemptsTheYoungestLessUrgentStream) {
  manual_clock time;
  batch_scheduler scheduler({.slots = 2});
  scheduler.Submit(Request("old", 5, 1, 100));
  scheduler.Submit(Request("young", 5, 1, 100));
  RunStep(scheduler, time);
  scheduler.Submit(Request("urgent", 0, 1, 100));
  std::vector<generation_id> ids;
  for (const produced_token& token : RunStep(scheduler, time)) {
    ids.push_back(token.id);
  }
  EXPECT_EQ(ids, (std::vector<generation_id>{"old", "urgent"}));
  EXPECT_EQ(scheduler.State().preemptions, 1U);
}

// Guards against streams that exceed the KV cache, and against stall time that is not counted.
TEST(BatchScheduler, FullKvCachePreemptsAndCountsTheStall) {
  manual_clock time;
  batch_scheduler scheduler({.slots = 2, .kv_tokens = 60});
  scheduler.Submit(Request("first", 0, 20, 20));
  scheduler.Submit(Request("second", 0, 20, 20));
  std::map<generation_id, std::uint32_t> next;
  while (!scheduler.IsIdle()) {
    for (const produced_token& token : RunStep(scheduler, time)) {
      EXPECT_EQ(token.index, next[token.id]++);
    }
  }
  EXPECT_EQ(scheduler.State().preemptions, 1U);
  EXPECT_GT(scheduler.State().stall, duration::zero());
  EXPECT_EQ(next["first"], 20U);
  EXPECT_EQ(next["second"], 20U);
}

// Guards against a prefill time that ignores the prefix cache.
TEST(BatchScheduler, PrefillTakesTimeInProportionToTheUncachedPrompt) {
  const scheduler_limits limits{.step = std::chrono::microseconds(1000),
                                .step_per_stream = std::chrono::microseconds(0),
                                .prefill_per_token = std::chrono::microseconds(100)};
  const auto steps_to_first_token = [&limits](std::uint32_t cached) {
    manual_clock time;
    batch_scheduler scheduler(limits);
    scheduled_request request = Request("a", 0, 100, 1);
    request.cached_tokens = cached;
    scheduler.Submit(request);
    int steps = 0;
    while (!scheduler.IsIdle()) {
      RunStep(scheduler, time);
      ++steps;
    }
    return steps;
  };
  EXPECT_EQ(steps_to_first_token(0), 10);
  EXPECT_EQ(steps_to_first_token(80), 2);
}

// Guards against a cancel that reports a request as not run although it has run.
TEST(BatchScheduler, CancelTellsWhetherTheRequestHadRun) {
  manual_clock time;
  batch_scheduler scheduler({.slots = 1});
  scheduler.Submit(Request("a", 5, 1, 100));
  RunStep(scheduler, time);
  scheduler.Submit(Request("b", 0, 1, 100));
  scheduler.Submit(Request("c", 6, 1, 100));
  RunStep(scheduler, time);
  EXPECT_EQ(scheduler.Cancel("a"), cancel_outcome::kWasRunning) << "preempted";
  EXPECT_EQ(scheduler.Cancel("b"), cancel_outcome::kWasRunning);
  EXPECT_EQ(scheduler.Cancel("c"), cancel_outcome::kWasWaiting);
  EXPECT_EQ(scheduler.Cancel("c"), cancel_outcome::kUnknown);
}

// Guards against an unbounded queue, and against accepted prompts that can never run.
TEST(BatchScheduler, DeclinesWhenTheQueueIsFull) {
  batch_scheduler scheduler({.kv_tokens = 100, .max_waiting = 1});
  EXPECT_EQ(scheduler.Submit(Request("a", 0, 100, 1)), submit_outcome::kTooLong);
  EXPECT_EQ(scheduler.Submit(Request("b", 0, 99, 9)), submit_outcome::kAccepted);
  EXPECT_EQ(scheduler.Submit(Request("c", 0, 1, 1)), submit_outcome::kDeclined);
}

// Guards against lost, repeated or reordered tokens under preemption, and against a scheduler that
// never finishes. Validate() checks slots and KV cache in each step.
RC_GTEST_PROP(BatchScheduler, EachStreamYieldsEachTokenOnce, ()) {
  manual_clock time;
  const auto slots = *rc::gen::inRange<std::size_t>(1, 6);
  const auto kv_tokens = *rc::gen::inRange<std::uint64_t>(30, 200);
  batch_scheduler scheduler({.slots = slots, .kv_tokens = kv_tokens, .max_waiting = 100});
  std::map<generation_id, std::uint32_t> expected_length;
  std::map<generation_id, std::uint32_t> next;
  std::map<generation_id, bool> truncated;
  const auto run_step = [&] {
    for (const produced_token& token : RunStep(scheduler, time)) {
      RC_ASSERT(token.index == next[token.id]++);
      truncated[token.id] = token.truncated;
    }
  };
  const auto count = *rc::gen::inRange(1, 20);
  for (int i = 0; i < count; ++i) {
    const auto prompt = *rc::gen::inRange<std::uint32_t>(1, 29);
    const auto output = *rc::gen::inRange<std::uint32_t>(1, 60);
    const std::string id = std::to_string(i);
    RC_ASSERT(scheduler.Submit(Request(id, *rc::gen::inRange(0, 3), prompt, output)) ==
              submit_outcome::kAccepted);
    expected_length[id] = output;
    run_step();
  }
  for (int step = 0; step < 100'000 && !scheduler.IsIdle(); ++step) {
    run_step();
  }
  RC_ASSERT(scheduler.IsIdle());
  for (const auto& [id, output] : expected_length) {
    const bool complete = truncated[id] ? next[id] < output : next[id] == output;
    RC_ASSERT(complete);
  }
}

}  // namespace
}  // namespace tarragon::fakes
