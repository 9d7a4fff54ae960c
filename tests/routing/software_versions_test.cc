#include "tarragon/routing/software_versions.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace tarragon::routing {
namespace {

using std::chrono::seconds;

const software_version kOld{"s", "v1"};
const software_version kNew{"s", "v2"};

class software_versions_test : public testing::Test {
 protected:
  software_versions_test() {
    versions.SetServices({"s"});
    List("a", "v1");
  }

  void List(const std::string& id, const std::string& version, const std::string& service = "s") {
    endpoint_entry entry;
    entry.id = id;
    entry.service = service;
    entry.software_version = version;
    registry.Put(now, ++row_version, entry);
    versions.Apply(now, registry);
    versions.Validate();
  }
  void Announce(const software_version& version) {
    versions.OnAnnounced(now, version);
    versions.Apply(now, registry);
  }
  bool Awaits(const std::string& id) const { return registry.Find(id)->awaits_announcement; }

  time_point now{seconds(50)};
  std::uint64_t row_version = 0;
  endpoint_registry registry;
  software_versions versions;
};

// Guards against streams that begin at a version of which a daemon that takes them up cannot know.
TEST_F(software_versions_test, VersionIsUsedOnceItIsAnnounced) {
  EXPECT_TRUE(Awaits("a"));
  EXPECT_EQ(versions.Unannounced(), std::vector{kOld});
  Announce(kOld);
  EXPECT_FALSE(Awaits("a"));
  EXPECT_FALSE(versions.IsMixed("s"));
  List("b", "v2");
  EXPECT_TRUE(Awaits("b"));
  EXPECT_TRUE(versions.IsMixed("s"));
  Announce(kNew);
  EXPECT_FALSE(Awaits("b"));
  versions.OnWithdrawn(kNew);
  versions.Apply(now, registry);
  EXPECT_TRUE(Awaits("b"));
}

// Guards against waiting for announcements where no stream can be taken up.
TEST_F(software_versions_test, OtherServicesNeedNoAnnouncement) {
  List("p", "v1", "plain");
  EXPECT_FALSE(Awaits("p"));
  EXPECT_EQ(versions.Unannounced(), std::vector{kOld});
}

// Guards against withdrawing a version whose streams may still be taken up, also by a daemon that
// has not seen the list for a while.
TEST_F(software_versions_test, VersionIsWithdrawnLongAfterItsLastEndpoint) {
  Announce(kOld);
  Announce(kNew);
  now += software_versions::kRetention;
  versions.Apply(now, registry);
  EXPECT_EQ(versions.Expired(now), std::vector{kNew});
  registry.OnStoreUnavailable(now);
  versions.Apply(now, registry);
  EXPECT_TRUE(versions.Expired(now).empty());
}

}  // namespace
}  // namespace tarragon::routing
