#include "tarragon/policy/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart{1h};

bool Always(const queued_request& /*item*/) {
  return true;
}

queued_request MakeItem(std::uint64_t id, std::uint64_t account, double weight = 1) {
  return {.request = {id},
          .request_class = "report",
          .account = {account},
          .weight = weight,
          .bytes = 100,
          .deadline = kStart + 1h};
}

// Guards against an urgent request that waits behind deferrable ones.
TEST(AdmissionQueue, UrgentIsServedFirst) {
  admission_queue queue;
  queue.Push(kStart, MakeItem(1, 1));
  queued_request urgent = MakeItem(2, 1);
  urgent.request_class = "leak";
  urgent.urgent = true;
  queue.Push(kStart, urgent);
  EXPECT_EQ(queue.Pop(kStart, Always)->request, request_id{2});
  EXPECT_EQ(queue.Pop(kStart, Always)->request, request_id{1});
}

// Guards against an account with a long backlog starving the others instead of sharing by weight.
TEST(AdmissionQueue, AccountsShareByWeight) {
  admission_queue queue;
  for (std::uint64_t i = 0; i < 300; ++i) {
    queue.Push(kStart, MakeItem(i, 1, 1));
    queue.Push(kStart, MakeItem(1000 + i, 2, 3));
  }
  std::map<account_id, int> served;
  for (int i = 0; i < 200; ++i) {
    served[queue.Pop(kStart, Always)->account] += 1;
  }
  EXPECT_NEAR(served[{1}], 50, 2);
  EXPECT_NEAR(served[{2}], 150, 2);
}

// Guards against penalizing or favoring a newly active account for the time it was idle.
TEST(AdmissionQueue, NewAccountGetsItsShareImmediately) {
  admission_queue queue;
  for (std::uint64_t i = 0; i < 200; ++i) {
    queue.Push(kStart, MakeItem(i, 1));
  }
  for (int i = 0; i < 100; ++i) {
    queue.Pop(kStart, Always);
  }
  for (std::uint64_t i = 0; i < 50; ++i) {
    queue.Push(kStart, MakeItem(1000 + i, 2));
  }
  int second = 0;
  for (int i = 0; i < 20; ++i) {
    second += queue.Pop(kStart, Always)->account == account_id{2} ? 1 : 0;
  }
  EXPECT_NEAR(second, 10, 1);
}

// Guards against one account that fills the queue, so that requests of all others are refused.
TEST(AdmissionQueue, FullQueueDisplacesTheLongestBacklog) {
  admission_queue queue({.max_requests = 10});
  for (std::uint64_t i = 0; i < 10; ++i) {
    EXPECT_EQ(queue.Push(kStart, MakeItem(i, 1)).outcome, push_outcome::kQueued);
  }
  EXPECT_EQ(queue.Push(kStart, MakeItem(50, 1)).outcome, push_outcome::kFull);
  const push_result result = queue.Push(kStart, MakeItem(60, 2));
  EXPECT_EQ(result.outcome, push_outcome::kQueued);
  EXPECT_EQ(result.displaced, std::vector{request_id{9}});
  EXPECT_EQ(queue.Size(), 10U);
}

// Guards against refusing urgent requests because deferrable ones fill the queue.
TEST(AdmissionQueue, UrgentDisplacesDeferrable) {
  admission_queue queue({.max_requests = 2});
  queue.Push(kStart, MakeItem(1, 1));
  queue.Push(kStart, MakeItem(2, 2));
  queued_request urgent = MakeItem(3, 1);
  urgent.urgent = true;
  EXPECT_EQ(queue.Push(kStart, urgent).displaced.size(), 1U);
  urgent.request = {4};
  EXPECT_EQ(queue.Push(kStart, urgent).displaced.size(), 1U);
  EXPECT_EQ(queue.Push(kStart, MakeItem(5, 5)).outcome, push_outcome::kFull);
}

// Guards against queueing requests that cannot be served in time: at 10 requests per second, a
// deadline of 2 s is met behind 10 requests but not behind 40.
TEST(AdmissionQueue, RefusesRequestsThatWouldMissTheirDeadline) {
  admission_queue queue;
  time_point now = kStart;
  std::uint64_t id = 0;
  for (int i = 0; i < 100; ++i) {
    queue.Push(now, MakeItem(id++, 1));
  }
  for (int i = 0; i < 60; ++i) {
    now += 100ms;
    ASSERT_TRUE(queue.Pop(now, Always));
  }
  queued_request hurried = MakeItem(id++, 1);
  hurried.deadline = now + 2s;
  const push_result refused = queue.Push(now, hurried);
  EXPECT_EQ(refused.outcome, push_outcome::kTooLate);
  // 41 requests at 10 per second.
  EXPECT_NEAR(std::chrono::duration<double>(refused.expected_wait).count(), 4.1, 0.41);
  for (int i = 0; i < 30; ++i) {
    now += 100ms;
    ASSERT_TRUE(queue.Pop(now, Always));
  }
  hurried.deadline = now + 2s;
  EXPECT_EQ(queue.Push(now, hurried).outcome, push_outcome::kQueued);
}

// Guards against refusing requests before the service rate is known.
TEST(AdmissionQueue, RefusesNothingBeforeTheRateIsKnown) {
  admission_queue queue;
  queued_request patient = MakeItem(1, 1);
  patient.deadline = kStart + 600s;
  EXPECT_EQ(queue.Push(kStart, patient).outcome, push_outcome::kQueued);
  for (std::uint64_t i = 2; i < 20; ++i) {
    patient.request = {i};
    EXPECT_EQ(queue.Push(kStart + i * 100ms, patient).outcome, push_outcome::kQueued);
  }
}

// Guards against queueing deferrable requests that are bound to expire because urgent requests,
// including ones that arrive later, use all capacity.
TEST(AdmissionQueue, DeferrableIsRefusedEarlyBehindUrgentRequests) {
  admission_queue queue;
  time_point now = kStart;
  std::uint64_t id = 0;
  queued_request deferrable = MakeItem(id++, 1);
  deferrable.deadline = now + 60s;
  ASSERT_EQ(queue.Push(now, deferrable).outcome, push_outcome::kQueued);
  for (int i = 0; i < 100; ++i) {
    now += 100ms;
    queued_request urgent = MakeItem(id++, 2);
    urgent.urgent = true;
    queue.Push(now - 50ms, urgent);
    ASSERT_TRUE(queue.Pop(now, Always)->urgent);
  }
  deferrable.request = {id};
  deferrable.deadline = now + 8s;
  EXPECT_EQ(queue.Push(now, deferrable).outcome, push_outcome::kTooLate);
}

// Guards against refusing an account with no backlog because another account has a large one.
TEST(AdmissionQueue, ExpectedWaitFollowsTheFairShare) {
  admission_queue queue;
  time_point now = kStart;
  for (std::uint64_t i = 0; i < 200; ++i) {
    queue.Push(now, MakeItem(i, 1));
  }
  for (int i = 0; i < 50; ++i) {
    now += 100ms;
    ASSERT_TRUE(queue.Pop(now, Always));
  }
  queued_request small = MakeItem(1000, 2);
  small.deadline = now + 1s;
  EXPECT_EQ(queue.Push(now, small).outcome, push_outcome::kQueued);
}

// Guards against requests that stay queued after they can no longer meet their deadline.
TEST(AdmissionQueue, ExpiresRequestsThatCannotMeetTheirDeadline) {
  admission_queue queue;
  queued_request item = MakeItem(1, 1);
  item.deadline = kStart + 1s;
  item.service_time = 300ms;
  queue.Push(kStart, item);
  queue.Push(kStart, MakeItem(2, 1));
  EXPECT_TRUE(queue.Expire(kStart + 700ms).empty());
  EXPECT_EQ(queue.Expire(kStart + 701ms), std::vector{request_id{1}});
  EXPECT_EQ(queue.Size(), 1U);
}

// Guards against an account whose requests fit no endpoint blocking the accounts behind it.
TEST(AdmissionQueue, SkipsAccountsThatCannotBeSent) {
  admission_queue queue;
  queue.Push(kStart, MakeItem(1, 1));
  queue.Push(kStart, MakeItem(2, 2));
  const auto chosen =
      queue.Pop(kStart, [](const queued_request& item) { return item.account != account_id{1}; });
  EXPECT_EQ(chosen->request, request_id{2});
  EXPECT_FALSE(queue.Pop(kStart, [](const queued_request&) { return false; }));
  EXPECT_EQ(queue.Size(), 1U);
}

// Guards against lost, duplicated or reordered requests and inconsistent indices for any sequence
// of calls.
RC_GTEST_PROP(AdmissionQueueProperty,
              EachRequestLeavesOnceAndInAccountOrder,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& calls)) {
  admission_queue queue({.max_requests = 20, .max_bytes = 4000});
  std::set<std::uint64_t> open;
  std::map<std::tuple<bool, std::string, account_id>, std::uint64_t> last_served;
  time_point now = kStart;
  std::uint64_t next_id = 1;
  const auto leave = [&](request_id request) { RC_ASSERT(open.erase(request.value) == 1U); };
  for (const auto& [call, choice, size] : calls) {
    now += std::chrono::milliseconds(size % 50);
    switch (call % 6) {
      case 0:
      case 1:
      case 2: {
        queued_request item = MakeItem(next_id++, choice % 5U, 1 + choice % 3U);
        item.request_class = std::array{"lookup", "report"}[choice % 2U];
        item.urgent = choice % 7U == 0;
        item.bytes = std::size_t{size} * 4;
        item.cost = 1 + size % 4U;
        item.deadline = now + std::chrono::milliseconds(size * 20);
        const push_result result = queue.Push(now, item);
        std::ranges::for_each(result.displaced, leave);
        if (result.outcome == push_outcome::kQueued) {
          open.insert(item.request.value);
        }
        break;
      }
      case 3: {
        const auto popped = queue.Pop(now, Always);
        RC_ASSERT(popped.has_value() == !open.empty());
        if (popped) {
          leave(popped->request);
          auto& last = last_served[{popped->urgent, popped->request_class, popped->account}];
          RC_ASSERT(popped->request.value > last);
          last = popped->request.value;
        }
        break;
      }
      case 4:
        std::ranges::for_each(queue.Expire(now), leave);
        break;
      default:
        RC_ASSERT(queue.Remove({choice}) == (open.erase(choice) == 1));
    }
    queue.Validate();
    RC_ASSERT(queue.Size() == open.size());
  }
}

}  // namespace
}  // namespace tarragon::policy
