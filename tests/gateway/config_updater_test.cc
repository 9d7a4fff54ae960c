#include "tarragon/gateway/config_updater.h"

#include <gtest/gtest.h>

#include <cstdint>

#include "gateway/gateway_fixture.h"

namespace tarragon::gateway {
namespace {

class config_updater_test : public gateway_fixture {
 protected:
  config_updater_test() {
    row_version = 10;
    ListEndpoint("e1", "calls", "127.0.0.1:1");
  }

  static table_row Evacuation(std::uint64_t version, bool deleted = false) {
    return {"evacuate/d", "{}", version, deleted};
  }

  bool IsInUse() const { return gateway.endpoints.Find("e1")->accepts_work(); }

  config_updater updater{gateway};
};

// Guards against orders that are not read, or are undone by rows and reads that are older.
TEST_F(config_updater_test, AppliesTheNewestOrder) {
  updater.OnChanges({Evacuation(20)}, {20, {}});
  EXPECT_FALSE(IsInUse());
  updater.OnChanges({Evacuation(19, /*deleted=*/true)}, {20, {}});
  updater.OnTable({}, {15, {}});
  EXPECT_FALSE(IsInUse());
  updater.OnChanges({Evacuation(21, /*deleted=*/true)}, {21, {}});
  updater.OnChanges({Evacuation(20)}, {21, {}});
  EXPECT_TRUE(IsInUse());
}

// Guards against an evacuation that never ends because the store has dropped the deletion from its
// history, and the daemon reads the whole table instead.
TEST_F(config_updater_test, CompleteTableReplacesTheOrders) {
  updater.OnTable({Evacuation(20)}, {20, {}});
  EXPECT_FALSE(IsInUse());
  updater.OnTable({}, {30, {}});
  EXPECT_TRUE(IsInUse());
}

// Guards against a domain that is used again because the store is away, and against a configuration
// that is dropped or replaced by another row of the same table.
TEST_F(config_updater_test, OrdersStayWhileTheStoreIsAway) {
  updater.OnChanges({Evacuation(20), {"evacuate/", "{}", 21, false}, {"other", "{}", 22, false}},
                    {22, {}});
  updater.OnStoreLost("reset");
  EXPECT_FALSE(IsInUse());
  EXPECT_EQ(gateway.config->version(), 1U);
}

}  // namespace
}  // namespace tarragon::gateway
