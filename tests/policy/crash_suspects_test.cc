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
constexpr fingerprint kBad{13};
constexpr fingerprint kOther{14};

// Guards against a request that crashes a fourth endpoint.
TEST(CrashSuspects, ThreeDeathsRefuseForTenMinutes) {
  crash_suspects suspects;
  suspects.RecordDeath(kStart, kBad);
  suspects.RecordDeath(kStart, kBad);
  EXPECT_FALSE(suspects.IsRefused(kBad));
  suspects.RecordDeath(kStart, kBad);
  EXPECT_TRUE(suspects.IsRefused(kBad));
  EXPECT_EQ(suspects.RefusedFor(kStart + 4min, kBad), 6min);
  suspects.Expire(kStart + 599s);
  EXPECT_TRUE(suspects.IsRefused(kBad));
  suspects.Expire(kStart + 600s);
  EXPECT_FALSE(suspects.IsSuspect(kBad));
}

// Guards against bystanders of a crash that stay suspect after they completed.
TEST(CrashSuspects, CompletionClears) {
  crash_suspects suspects;
  suspects.RecordDeath(kStart, kBad);
  suspects.Merge(kStart, "vm-2", {{kBad, 1}});
  suspects.RecordCompleted(kBad);
  EXPECT_FALSE(suspects.IsSuspect(kBad));
  suspects.Merge(kStart, "vm-2", {{kBad, 1}});
  EXPECT_FALSE(suspects.IsSuspect(kBad));
  suspects.Merge(kStart, "vm-2", {{kBad, 2}});
  EXPECT_EQ(suspects.Deaths(kBad), 1U);
}

// Guards against two suspects at one endpoint, after whose death neither is cleared, and against
// one suspect that takes two endpoints at once.
TEST(CrashSuspects, OneSuspectPerEndpointAndOneEndpointPerSuspect) {
  crash_suspects suspects;
  suspects.RecordDeath(kStart, kBad);
  suspects.RecordDeath(kStart, kOther);
  EXPECT_TRUE(suspects.TryAssign(kBad, 1));
  EXPECT_FALSE(suspects.TryAssign(kOther, 1));
  EXPECT_FALSE(suspects.TryAssign(kBad, 2));
  EXPECT_TRUE(suspects.TryAssign(kOther, 2));
  EXPECT_TRUE(suspects.TryAssign(fingerprint{99}, 1));
  suspects.Release(kBad, 1);
  EXPECT_TRUE(suspects.MayRun(kBad, 1));
  suspects.Validate();
}

// Guards against a fingerprint that is refused for much longer than ten minutes because entries
// tell each other about it again after they forgot it.
TEST(CrashSuspects, GossipDoesNotProlongTheMemory) {
  crash_suspects first;
  crash_suspects second;
  for (int i = 0; i < 3; ++i) {
    first.RecordDeath(kStart, kBad);
  }
  for (time_point now = kStart + 2s; now < kStart + 603s; now += 1s) {
    second.Merge(now, "vm-1", first.LocalReports(now, 10));
    first.Merge(now, "vm-2", second.LocalReports(now, 10));
    first.Expire(now);
    second.Expire(now);
  }
  EXPECT_FALSE(first.IsSuspect(kBad));
  EXPECT_FALSE(second.IsSuspect(kBad));
}

// Guards against counts that rise when the same report arrives twice or late: any order and
// repetition of the reports gives the same count as the latest report of each entry.
RC_GTEST_PROP(CrashSuspectsProperty,
              MergeIsIdempotentAndCommutative,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& reports,
               std::uint64_t seed)) {
  std::map<std::string, std::uint32_t> latest;
  std::vector<std::pair<std::string, std::uint32_t>> sent;
  for (const auto& [vm, deaths] : reports) {
    const std::string name = std::to_string(vm % 5);
    sent.emplace_back(name, deaths % 4U);
    latest[name] = std::max(latest[name], deaths % 4U);
  }
  std::uint32_t expected = 0;
  for (const auto& [vm, deaths] : latest) {
    expected += deaths;
  }
  std::vector<std::pair<std::string, std::uint32_t>> repeated = sent;
  repeated.insert(repeated.end(), sent.begin(), sent.end());
  std::mt19937_64 random(seed);
  std::ranges::shuffle(repeated, random);
  crash_suspects suspects;
  for (const auto& [vm, deaths] : repeated) {
    suspects.Merge(kStart, vm, {{kBad, deaths}});
  }
  suspects.Validate();
  RC_ASSERT(suspects.Deaths(kBad) == expected);
}

// Guards against more suspects than endpoints, and memory above its bound, over any order of calls.
RC_GTEST_PROP(CrashSuspectsProperty,
              KeepsItsBounds,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& calls)) {
  crash_suspects suspects({.max_suspects = 6});
  time_point now = kStart;
  for (const auto& [call, content, endpoint] : calls) {
    const fingerprint print{content % 10U};
    now += std::chrono::seconds(endpoint % 60);
    switch (call % 6) {
      case 0:
        suspects.RecordDeath(now, print);
        break;
      case 1:
        suspects.RecordCompleted(print);
        break;
      case 2:
        suspects.TryAssign(print, endpoint % 4U);
        break;
      case 3:
        suspects.Release(print, endpoint % 4U);
        break;
      case 4:
        suspects.Merge(now, "vm-2", {{print, endpoint % 4U}});
        break;
      default:
        suspects.Expire(now);
    }
    suspects.Validate();
  }
}

}  // namespace
}  // namespace tarragon::policy
