#include "tarragon/policy/crash_suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace tarragon::policy {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart{1h};
constexpr fingerprint kSuspect{13};
constexpr fingerprint kOtherSuspect{14};

// Guards against a request that has crashed three endpoints being sent to a fourth one.
TEST(CrashSuspects, ThreeCrashesRefuseForTenMinutes) {
  crash_suspects suspects;
  suspects.RecordCrash(kStart, kSuspect);
  suspects.RecordCrash(kStart, kSuspect);
  EXPECT_FALSE(suspects.IsRefused(kSuspect));
  suspects.RecordCrash(kStart, kSuspect);
  EXPECT_TRUE(suspects.IsRefused(kSuspect));
  EXPECT_EQ(suspects.RemainingRefusalTime(kStart + 4min, kSuspect), 6min);
  suspects.Expire(kStart + 599s);
  EXPECT_TRUE(suspects.IsRefused(kSuspect));
  suspects.Expire(kStart + 600s);
  EXPECT_FALSE(suspects.IsSuspect(kSuspect));
}

// Guards against requests that ran beside the cause of a crash and stay suspects after completing.
TEST(CrashSuspects, CompletionClearsCrashes) {
  crash_suspects suspects;
  suspects.RecordCrash(kStart, kSuspect);
  suspects.Merge(kStart, "vm-2", {{kSuspect, 1}});
  suspects.RecordCompleted(kSuspect);
  EXPECT_FALSE(suspects.IsSuspect(kSuspect));
  suspects.Merge(kStart, "vm-2", {{kSuspect, 1}});
  EXPECT_FALSE(suspects.IsSuspect(kSuspect));
  suspects.Merge(kStart, "vm-2", {{kSuspect, 2}});
  EXPECT_EQ(suspects.ActiveCrashes(kSuspect), 1U);
}

// Guards against two suspects at one endpoint, where a crash would not tell which one caused it,
// and against one suspect that runs at two endpoints at once.
TEST(CrashSuspects, OneSuspectPerEndpointAndOneEndpointPerSuspect) {
  crash_suspects suspects;
  suspects.RecordCrash(kStart, kSuspect);
  suspects.RecordCrash(kStart, kOtherSuspect);
  EXPECT_TRUE(suspects.TryAssign(kSuspect, 1));
  EXPECT_FALSE(suspects.TryAssign(kOtherSuspect, 1));
  EXPECT_FALSE(suspects.TryAssign(kSuspect, 2));
  EXPECT_TRUE(suspects.TryAssign(kOtherSuspect, 2));
  EXPECT_TRUE(suspects.TryAssign(fingerprint{99}, 1));
  suspects.Release(kSuspect, 1);
  EXPECT_TRUE(suspects.CanRun(kSuspect, 1));
  suspects.Validate();
}

// Guards against refusing a fingerprint for much longer than ten minutes because entries gossip
// about it again after it expired.
TEST(CrashSuspects, GossipDoesNotExtendTheRetention) {
  crash_suspects first;
  crash_suspects second;
  for (int i = 0; i < 3; ++i) {
    first.RecordCrash(kStart, kSuspect);
  }
  for (time_point now = kStart + 2s; now < kStart + 603s; now += 1s) {
    second.Merge(now, "vm-1", first.LocalReports(now, 10));
    first.Merge(now, "vm-2", second.LocalReports(now, 10));
    first.Expire(now);
    second.Expire(now);
  }
  EXPECT_FALSE(first.IsSuspect(kSuspect));
  EXPECT_FALSE(second.IsSuspect(kSuspect));
}

// Guards against counts that rise when a report arrives twice or late: any order and repetition of
// the reports must give the count of the latest report of each entry.
RC_GTEST_PROP(CrashSuspectsProperty,
              MergeIsIdempotentAndCommutative,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& reports,
               std::uint64_t seed)) {
  std::map<std::string, std::uint32_t> latest;
  std::vector<std::pair<std::string, std::uint32_t>> reported;
  for (const auto& [vm, crashes] : reports) {
    const std::string name = std::to_string(vm % 5);
    reported.emplace_back(name, crashes % 4U);
    latest[name] = std::max(latest[name], crashes % 4U);
  }
  std::uint32_t expected = 0;
  for (const auto& [vm, crashes] : latest) {
    expected += crashes;
  }
  std::vector<std::pair<std::string, std::uint32_t>> repeated = reported;
  repeated.insert(repeated.end(), reported.begin(), reported.end());
  std::mt19937_64 random(seed);
  std::ranges::shuffle(repeated, random);
  crash_suspects suspects;
  for (const auto& [vm, crashes] : repeated) {
    suspects.Merge(kStart, vm, {{kSuspect, crashes}});
  }
  suspects.Validate();
  RC_ASSERT(suspects.ActiveCrashes(kSuspect) == expected);
}

// Guards against double assignments and more suspects than the bound for any sequence of calls.
RC_GTEST_PROP(CrashSuspectsProperty,
              StaysWithinBounds,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& calls)) {
  crash_suspects suspects({.max_suspects = 6});
  time_point now = kStart;
  for (const auto& [call, request_fingerprint, endpoint] : calls) {
    const fingerprint suspect{request_fingerprint % 10U};
    now += std::chrono::seconds(endpoint % 60);
    switch (call % 6) {
      case 0:
        suspects.RecordCrash(now, suspect);
        break;
      case 1:
        suspects.RecordCompleted(suspect);
        break;
      case 2:
        suspects.TryAssign(suspect, endpoint % 4U);
        break;
      case 3:
        suspects.Release(suspect, endpoint % 4U);
        break;
      case 4:
        suspects.Merge(now, "vm-2", {{suspect, endpoint % 4U}});
        break;
      default:
        suspects.Expire(now);
    }
    suspects.Validate();
  }
}

}  // namespace
}  // namespace tarragon::policy
