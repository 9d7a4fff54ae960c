#include "tarragon/routing/store_pace.h"

#include <gtest/gtest.h>

#include <chrono>

#include "tarragon/routing/relay_plan.h"

namespace tarragon::routing {
namespace {

// Guards against a feed call that waits on a connection which has gone silent for longer than the
// users excuse: 3 s where daemons are few, and 4 s where they are many.
TEST(store_pace_test, SilentConnectionIsReplacedInTime) {
  const auto replaced_after = [](bool is_relayed) {
    constexpr std::chrono::milliseconds kRoundTrips{50};
    relay_plan plan;
    plan.reads_store = true;
    plan.is_relayed = is_relayed;
    return PaceOf(plan, /*essential=*/true).wait + kStoreResponseTimeout + kInitialStoreBackoff +
           kRoundTrips;
  };
  EXPECT_LE(replaced_after(false), std::chrono::seconds(3));
  EXPECT_LE(replaced_after(true), std::chrono::seconds(4));
}

}  // namespace
}  // namespace tarragon::routing
