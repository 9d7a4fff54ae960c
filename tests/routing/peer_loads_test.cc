#include "tarragon/routing/peer_loads.h"

#include <gtest/gtest.h>

#include "tarragon/base/hash.h"

namespace tarragon::routing {
namespace {

peer_report Report(std::string daemon, std::uint64_t sequence, std::uint32_t requests) {
  return {std::move(daemon), 10, sequence, {{Hash64("a"), {requests, 0, 0}, {}}}, {}};
}

class peer_loads_test : public testing::Test {
 protected:
  peer_loads_test() {
    endpoint_entry entry;
    entry.id = "a";
    registry.Put(now, 1, entry);
  }
  std::uint32_t PeerRequests() {
    loads.Apply(now, registry);
    return registry.Find("a")->peer_load.requests;
  }
  time_point now{};
  endpoint_registry registry;
  peer_loads loads;
};

// Guards against reordered datagrams that restore an older report.
TEST_F(peer_loads_test, IgnoresOlderReport) {
  EXPECT_TRUE(loads.RecordReport(now, Report("x", 2, 5)));
  EXPECT_FALSE(loads.RecordReport(now, Report("x", 1, 9)));
  EXPECT_TRUE(loads.RecordReport(now, Report("y", 1, 1)));
  EXPECT_EQ(PeerRequests(), 6U);
}

// Guards against ignoring a restarted process because its sequence numbers start again.
TEST_F(peer_loads_test, RestartedDaemonReplacesItsReport) {
  EXPECT_TRUE(loads.RecordReport(now, Report("x", 900, 5)));
  peer_report restarted = Report("x", 1, 2);
  restarted.started_unix_ms = 11;
  EXPECT_TRUE(loads.RecordReport(now, restarted));
  EXPECT_EQ(PeerRequests(), 2U);
}

// Guards against a daemon that measured an engine only during a slowdown and distorts the estimates
// of all daemons.
TEST_F(peer_loads_test, UsesLowestSlownessAndInterval) {
  peer_report one = Report("x", 1, 0);
  one.endpoints[0].event_interval = std::chrono::milliseconds(75);
  one.endpoints[0].min_slowness_percent = 250;
  peer_report other = Report("y", 1, 0);
  other.endpoints[0].event_interval = std::chrono::milliseconds(28);
  other.endpoints[0].min_slowness_percent = 100;
  peer_report third = Report("z", 1, 0);
  for (const peer_report& report : {one, other, third}) {
    loads.RecordReport(now, report);
  }
  loads.Apply(now, registry);
  EXPECT_EQ(registry.Find("a")->event_interval.Estimate(), std::chrono::milliseconds(28));
  EXPECT_EQ(registry.Find("a")->slowness.Minimum(), 1.0);
}

// Guards against the load of ended daemons that keeps requests away from free endpoints.
TEST_F(peer_loads_test, ExpiresReportOfSilentDaemon) {
  loads.RecordReport(now, Report("x", 1, 5));
  now += peer_loads::kReportLifetime + std::chrono::milliseconds(1);
  loads.DropExpired(now);
  EXPECT_EQ(PeerRequests(), 0U);
}

}  // namespace
}  // namespace tarragon::routing
