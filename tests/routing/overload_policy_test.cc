#include "tarragon/routing/overload_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kObjective{1800};
constexpr milliseconds kDeadline{39'000};

// Guards against a refusal that comes after the caller has given up, or that names a time at which
// the caller has none left.
TEST(OverloadPolicyTest, RefusesBeforeCallersGiveUp) {
  waiting_request request{.latency_objective = kObjective, .remaining = kDeadline};
  EXPECT_TRUE(std::holds_alternative<wait_for_capacity>(DecideWithoutCapacity(request, 0.5)));
  request.age = 3 * kObjective;
  for (const duration remaining : {duration(seconds(1)), duration(seconds(30))}) {
    request.remaining = remaining;
    for (const double point : {0.0, 0.5, 0.999}) {
      const auto refusal = std::get<refuse_for_overload>(DecideWithoutCapacity(request, point));
      EXPECT_LE(refusal.retry_after, remaining / 3);
    }
  }
}

// Guards against callers that wait for room which comes too late, and against a time to come back
// at which there is no room yet.
TEST(OverloadPolicyTest, RefusesAtOnceWhatWouldWaitTooLongForRoom) {
  const waiting_request request{.latency_objective = kObjective, .remaining = kDeadline};
  const auto wait =
      std::get<wait_for_capacity>(DecideWithoutRoom(request, milliseconds(30), 0.999));
  EXPECT_LE(wait.delay, milliseconds(30));
  const auto refusal = std::get<refuse_for_overload>(DecideWithoutRoom(request, seconds(2), 0));
  EXPECT_GE(refusal.retry_after, seconds(2));
  waiting_request late = request;
  late.remaining = seconds(3);
  EXPECT_LE(std::get<refuse_for_overload>(DecideWithoutRoom(late, seconds(2), 0)).retry_after,
            seconds(1));
}

// Guards against requests that all reach an endpoint in the instant in which its pause ends, and
// against waiting for a pause that ends too late.
TEST(OverloadPolicyTest, SpreadsRequestsAfterAPause) {
  const waiting_request request{.latency_objective = kObjective, .remaining = kDeadline};
  const auto first = std::get<wait_for_capacity>(DecideDuringPause(request, milliseconds(300), 0));
  const auto last =
      std::get<wait_for_capacity>(DecideDuringPause(request, milliseconds(300), 0.999));
  EXPECT_GE(first.delay, milliseconds(300));
  EXPECT_GE(last.delay - first.delay, milliseconds(150));
  const auto refusal = std::get<refuse_for_overload>(DecideDuringPause(request, seconds(3), 0));
  EXPECT_GE(refusal.retry_after, seconds(3));
  pick_result leaving;
  leaving.all_leave = true;
  const auto all_leave = DecideWithoutEndpoint(leaving, request, 0.999);
  EXPECT_LE(std::get<refuse_for_overload>(all_leave).retry_after, kDeadline / 3);
}

// Guards against returning callers who all come back at the same moment.
TEST(OverloadPolicyTest, SpreadsRetries) {
  const waiting_request request{
      .age = 3 * kObjective, .latency_objective = kObjective, .remaining = seconds(30)};
  const auto first = std::get<refuse_for_overload>(DecideWithoutCapacity(request, 0));
  const auto last = std::get<refuse_for_overload>(DecideWithoutCapacity(request, 0.999));
  EXPECT_GE(last.retry_after - first.retry_after, kObjective);
}

// Guards against late requests that keep those from engines which can still meet their objective.
TEST(OverloadPolicyTest, FreshAndShortRequestsGoFirst) {
  const waiting_request fresh{.latency_objective = kObjective, .is_long = true};
  waiting_request late = fresh;
  late.age = kObjective + milliseconds(1);
  waiting_request quick = fresh;
  quick.is_long = false;
  EXPECT_GT(AllowedMemoryShare(fresh), AllowedMemoryShare(late));
  EXPECT_GT(AllowedMemoryShare(quick), AllowedMemoryShare(fresh));
}

struct play_result {
  int in_time = 0;
  int late = 0;
  int lost = 0;
  int refused = 0;
};

/**
 * Plays a burst of reports on engines that are replaced in turn: an engine holds eight reports,
 * each for 6 s, queues the rest, and loses its queue when it leaves.
 */
play_result PlayBurst(bool waits_at_daemon) {
  constexpr std::size_t kEngines = 12;
  constexpr std::size_t kSlots = 8;
  constexpr double kMemoryInReports = 9.5;
  constexpr milliseconds kStep{25};
  constexpr milliseconds kService{6000};
  struct report {
    milliseconds arrived;
    milliseconds ends{0};
  };
  struct engine {
    std::vector<report> running;
    std::deque<report> queue;
  };
  std::vector<engine> engines(kEngines);
  std::deque<report> waiting;
  std::mt19937_64 random(1);
  play_result result;
  const auto place = [&](report item, milliseconds now) {
    const auto target = std::ranges::min_element(
        engines, {}, [](const engine& known) { return known.running.size() + known.queue.size(); });
    const waiting_request described{.age = now - item.arrived,
                                    .latency_objective = kObjective,
                                    .remaining = kDeadline - (now - item.arrived),
                                    .is_long = true};
    const double held = static_cast<double>(target->running.size() + target->queue.size() + 1);
    if (waits_at_daemon && held > AllowedMemoryShare(described) * kMemoryInReports) {
      if (std::holds_alternative<wait_for_capacity>(DecideWithoutCapacity(described, 0.5))) {
        waiting.push_back(item);
      } else {
        ++result.refused;
      }
      return;
    }
    target->queue.push_back(item);
  };
  for (milliseconds now{0}; now < seconds(40); now += kStep) {
    // The engines can serve 16 reports a second.
    const double rate = now < seconds(8) ? 22 : 10;
    if (now < seconds(25) && std::bernoulli_distribution(rate * kStep.count() / 1000)(random)) {
      place({now}, now);
    }
    if (now.count() % 3300 == 0 && now.count() > 0) {
      engine& leaving = engines[static_cast<std::size_t>(now.count() / 3300) % kEngines];
      result.lost += static_cast<int>(leaving.queue.size());
      leaving.queue.clear();
    }
    std::deque<report> again;
    again.swap(waiting);
    std::ranges::for_each(again, [&](const report& item) { place(item, now); });
    for (engine& known : engines) {
      std::erase_if(known.running, [&](const report& item) { return item.ends <= now; });
      while (!known.queue.empty() && known.running.size() < kSlots) {
        report next = known.queue.front();
        known.queue.pop_front();
        ++(now - next.arrived <= kObjective ? result.in_time : result.late);
        next.ends = now + kService;
        known.running.push_back(next);
      }
    }
  }
  return result;
}

// Plays a burst of long prompts while engines are replaced, as on the heaviest days, against
// engines that queue everything. Callers get no fewer reports in time, and none is lost in a queue.
TEST(OverloadPolicyTest, WaitingAtTheDaemonLosesNoRequests) {
  const play_result queued = PlayBurst(/*waits_at_daemon=*/false);
  const play_result waiting = PlayBurst(/*waits_at_daemon=*/true);
  EXPECT_GT(queued.lost, 0);
  EXPECT_EQ(waiting.lost, 0);
  EXPECT_GE(waiting.in_time, queued.in_time);
  EXPECT_GE(waiting.in_time + waiting.late + waiting.refused, queued.in_time + queued.late);
}

// Guards against breaking off a stream that has begun at once, by the age of its request, because
// the engines that are left have just declined it.
TEST(OverloadPolicyTest, BegunStreamWaitsForAnEndpointUntilItsCallerGivesUp) {
  waiting_request stream{.age = std::chrono::seconds(5),
                         .latency_objective = std::chrono::milliseconds(1000),
                         .remaining = std::chrono::seconds(10),
                         .pause = std::chrono::milliseconds(1300)};
  EXPECT_TRUE(
      std::holds_alternative<wait_for_capacity>(DecideWithoutEndpoint(pick_result{}, stream, 0.5)));
  stream.pause = std::chrono::milliseconds(3000);
  EXPECT_TRUE(std::holds_alternative<refuse_for_overload>(
      DecideWithoutEndpoint(pick_result{}, stream, 0.5)));
}

}  // namespace
}  // namespace tarragon::routing
