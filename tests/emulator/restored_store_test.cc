#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "emulator/fleet_emulator.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The platform's bound on the time in which a configuration takes effect. */
constexpr seconds kConfigTime{2};
/** Same for relayed rows. */
constexpr seconds kRelayedConfigTime{3};

/** A fleet whose store returns from a copy; its versions soon pass those of before. */
class restored_store_test : public testing::Test {
 protected:
  explicit restored_store_test(std::size_t gateways = 3) : fleet(MakeOptions(gateways)) {}

  static fleet_options MakeOptions(std::size_t gateways) {
    fleet_options options;
    options.gateways = gateways;
    return options;
  }

  /** Makes a copy of the store, which then gives out many versions. */
  void MakeCopy() {
    constexpr int kVersions = 30;
    fleet.store().MakeCopy();
    for (int i = 0; i < kVersions; ++i) {
      fleet.store().Put("other", "row", "");
    }
  }

  /** Makes the store refuse calls. */
  void LoseStore() {
    fleet.RunFor(milliseconds(500));
    last_version_ = fleet.store().version();
    fleet.store().SetState(store_state::kResetting);
    fleet.RunFor(milliseconds(500));
  }

  /** Raises the version above the last one before the return, so that no feed is rejected. */
  void ServeAgain() {
    while (fleet.store().version() <= last_version_) {
      fleet.store().Put("other", "row", "");
    }
    fleet.store().SetState(store_state::kServing);
  }

  /** @return whether the logs of all gateways have a line with the text in time. */
  bool AllLog(const std::string& text, milliseconds timeout) {
    return fleet.RunUntil([&] { return fleet.FindInLogs(text).size() == fleet.gateway_count(); },
                          timeout);
  }

  std::string ConfigInForce() const {
    return fmt::format("config_in_force version={} ", fleet.config_version());
  }

  fleet_emulator fleet;

 private:
  std::uint64_t last_version_ = 0;
};

class relayed_restored_store_test : public restored_store_test {
 protected:
  /** Above the size at which daemons follow one another. */
  relayed_restored_store_test() : restored_store_test(20) {}
};

// Guards against a configuration that is never seen because its row has a version that an earlier
// row had before the store returned from a copy.
TEST_F(restored_store_test, ChangeAfterTheReturnIsInForceInTime) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  MakeCopy();
  fleet.WriteConfig();
  LoseStore();
  fleet.store().RestoreCopy();
  fleet.WriteConfig();
  ServeAgain();
  EXPECT_TRUE(AllLog(ConfigInForce(), kConfigTime));
}

// Same, where daemons follow one another.
TEST_F(relayed_restored_store_test, ChangeAfterTheReturnIsInForceInTime) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  MakeCopy();
  fleet.WriteConfig();
  LoseStore();
  fleet.store().RestoreCopy();
  fleet.WriteConfig();
  ServeAgain();
  EXPECT_TRUE(AllLog(ConfigInForce(), kRelayedConfigTime));
}

// Guards against daemons that wait until the store's version has passed the last one they knew.
TEST_F(restored_store_test, StoreIsFollowedAtOnceAlthoughItsVersionsWentBack) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  MakeCopy();
  fleet.WriteConfig();
  LoseStore();
  fleet.store().RestoreCopy();
  fleet.store().SetState(store_state::kServing);
  fleet.RunFor(seconds(1));
  fleet.WriteConfig();
  EXPECT_TRUE(AllLog(ConfigInForce(), kConfigTime));
}

// Guards against a configuration that goes back to what the copy holds.
TEST_F(restored_store_test, ConfigurationInForceStays) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  MakeCopy();
  fleet.WriteConfig();
  const std::string newest = ConfigInForce();
  LoseStore();
  ASSERT_EQ(fleet.FindInLogs(newest).size(), fleet.gateway_count());
  fleet.store().RestoreCopy();
  ServeAgain();
  fleet.RunFor(seconds(3));
  EXPECT_TRUE(fleet.FindInLogs(fmt::format("before={} ", fleet.config_version())).empty());
}

// Guards against requests to an endpoint whose announcement that it leaves has a lower version than
// the row that the daemons knew before the store returned.
TEST_F(restored_store_test, LeavingEndpointIsSeen) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  MakeCopy();
  fleet.PublishPlain(0, /*leaving=*/false);
  LoseStore();
  fleet.store().RestoreCopy();
  fleet.PublishPlain(0, /*leaving=*/true);
  ServeAgain();
  EXPECT_TRUE(AllLog(fmt::format("endpoint_leaving endpoint={} ", fleet.plain_endpoint(0).id()),
                     kConfigTime));
}

// Guards against an endpoint that is given up because the copy does not list it.
TEST_F(restored_store_test, EndpointAddedSinceTheCopyStaysInUse) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  MakeCopy();
  const std::string added = fleet.AddEngine();
  LoseStore();
  fleet.store().RestoreCopy();
  ServeAgain();
  fleet.RunFor(seconds(4));
  EXPECT_TRUE(fleet.FindInLogs(fmt::format("endpoint_leaving endpoint={} ", added)).empty());
}

// Guards against daemons that nobody finds any more because their rows are lost with the copy.
TEST_F(restored_store_test, DaemonsRegisterAgain) {
  ASSERT_TRUE(fleet.WaitUntilServing());
  ASSERT_EQ(fleet.store().CountDaemons(), fleet.gateway_count());
  LoseStore();
  fleet.store().RestoreCopy();
  ASSERT_EQ(fleet.store().CountDaemons(), 0U);
  ServeAgain();
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.store().CountDaemons() == fleet.gateway_count(); },
                             seconds(5)));
}

}  // namespace
}  // namespace tarragon::emulator
