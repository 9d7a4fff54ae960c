#include "tarragon/routing/used_endpoints.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "tarragon/routing/load_reservation.h"

namespace tarragon::routing {
namespace {

/** A list that is too long to be scanned each time. */
class used_endpoints_test : public testing::Test {
 protected:
  used_endpoints_test() {
    for (std::size_t i = 0; i <= used_endpoints::kMaxScannedEachTime; ++i) {
      Put(fmt::format("engine-{}", i), 0);
    }
    used.Collect(now, registry);
  }

  void Put(const std::string& id, std::int64_t started_unix_ms) {
    endpoint_entry entry;
    entry.id = id;
    entry.service = "engines";
    entry.started_unix_ms = started_unix_ms;
    registry.Put(now, ++row_version, entry);
  }

  bool IsCollected(const endpoint_ptr& target) {
    return std::ranges::count(used.Collect(now, registry), target) == 1;
  }

  time_point now{};
  std::uint64_t row_version = 0;
  endpoint_registry registry;
  used_endpoints used;
};

// Guards against a burst sent to one engine because the others learn of each send only at the scan.
TEST_F(used_endpoints_test, CollectsReservedEndpointBeforeTheNextScan) {
  const endpoint_ptr target = registry.Find("engine-7");
  const load_reservation first(target, {.requests = 1});
  used.Add(target);
  used.Add(target);
  EXPECT_TRUE(IsCollected(target));
}

// Guards against keeping the load of a request that has ended: its endpoint must be told once more.
TEST_F(used_endpoints_test, CollectsReleasedEndpointUntilTheNextScan) {
  const endpoint_ptr target = registry.Find("engine-7");
  load_reservation ended(target, {.requests = 1});
  used.Add(target);
  ended.Release();
  EXPECT_TRUE(IsCollected(target));
  now += used_endpoints::kScanInterval;
  EXPECT_FALSE(IsCollected(target));
}

// Guards against never telling what was learned without a reservation, such as a limit.
TEST_F(used_endpoints_test, ScanFindsEndpointThatWasNotAdded) {
  const endpoint_ptr target = registry.Find("engine-7");
  target->limit.RecordAnswer(2.0);
  now += used_endpoints::kScanInterval;
  EXPECT_TRUE(IsCollected(target));
}

// Guards against adding the load of an ended incarnation to the one that has taken its id.
TEST_F(used_endpoints_test, LeavesOutReplacedIncarnation) {
  const endpoint_ptr ended = registry.Find("engine-7");
  used.Add(ended);
  Put("engine-7", 5);
  EXPECT_FALSE(IsCollected(ended));
}

}  // namespace
}  // namespace tarragon::routing
