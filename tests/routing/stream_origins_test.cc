#include "tarragon/routing/stream_origins.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace tarragon::routing {
namespace {

using std::chrono::seconds;

const software_version kOld{"s", "v1"};
const software_version kNew{"s", "v2"};
const stream_key kKey = MakeStreamKey("account", "request");

class stream_origins_test : public testing::Test {
 protected:
  void Record(const software_version& version, bool for_store) {
    origins.Record({kKey, version}, now + seconds(5), for_store);
  }
  bool MaySend(const software_version& version) const {
    return origins.MaySend({kKey, version}, true);
  }
  /** Writes all records to the store. */
  void Write() { origins.OnWritten(origins.Unwritten(100)); }

  time_point now{seconds(50)};
  stream_origins origins;
};

// Guards against a take-up that goes on although its origin is unknown or ambiguous.
TEST(take_up_test, OnlyOneVersionCanGoOn) {
  struct test_case {
    std::vector<software_version> recorded;
    std::vector<software_version> announced;
    std::string version;  // Empty if nobody knows.
  };
  const std::vector<test_case> cases = {{{kOld}, {}, "v1"},        {{kOld}, {kOld, kNew}, "v1"},
                                        {{kOld, kNew}, {}, ""},    {{}, {kNew}, "v2"},
                                        {{}, {kOld, kNew}, ""},    {{}, {}, ""},
                                        {{kOld, kNew}, {kNew}, ""}};
  for (const test_case& known : cases) {
    const take_up_decision decision = DecideTakeUp(known.recorded, known.announced);
    const auto* const origin = std::get_if<continue_at>(&decision);
    EXPECT_EQ(origin != nullptr ? origin->version.version : "", known.version);
  }
}

// Guards against accounts that take up each other's streams.
TEST(take_up_test, KeysBelongToAnAccount) {
  EXPECT_NE(MakeStreamKey("a", "request"), MakeStreamKey("b", "request"));
}

// Guards against a stream that begins at a second version while the store has only the first one.
TEST_F(stream_origins_test, SecondVersionWaitsForItsRecord) {
  EXPECT_TRUE(MaySend(kOld));
  Record(kOld, true);
  EXPECT_TRUE(MaySend(kOld));
  EXPECT_FALSE(MaySend(kNew));
  Record(kNew, true);
  EXPECT_FALSE(MaySend(kNew));
  Write();
  EXPECT_TRUE(MaySend(kNew));
  EXPECT_EQ(origins.Find(kKey).size(), 2U);
}

// Guards against a record of a version that did not run the stream, after which it cannot be taken
// up, and against forgetting that the store may still have it.
TEST_F(stream_origins_test, RetractedVersionIsErased) {
  Record(kOld, true);
  Write();
  origins.Retract({kKey, kOld});
  EXPECT_FALSE(MaySend(kNew));
  Record(kNew, true);
  Write();
  EXPECT_EQ(origins.Find(kKey), std::vector{kNew});
  EXPECT_EQ(origins.Obsolete(10), std::vector({stream_origin{kKey, kOld}}));
  Record(kOld, true);
  EXPECT_EQ(origins.obsolete_count(), 0U);
  EXPECT_EQ(origins.unwritten_count(), 1U);
}

// Guards against records that nobody needs while a service has one version, and against streams in
// progress that nobody records when it gets a second one.
TEST_F(stream_origins_test, StreamsAreSharedOnceTheServiceIsMixed) {
  Record(kOld, false);
  EXPECT_EQ(origins.unwritten_count(), 0U);
  origins.ShareAll("other");
  EXPECT_EQ(origins.unwritten_count(), 0U);
  origins.ShareAll("s");
  origins.ShareAll("s");
  EXPECT_EQ(origins.unwritten_count(), 1U);
  Write();
  EXPECT_EQ(origins.unwritten_count(), 0U);
  origins.ShareAgain();
  EXPECT_EQ(origins.unwritten_count(), 1U);
}

// Guards against records that stay for ever, here and in the store.
TEST_F(stream_origins_test, ForgetsStreamsThatCannotBeTakenUp) {
  Record(kOld, true);
  origins.Record({MakeStreamKey("account", "other"), kOld}, now + seconds(5), true);
  origins.OnWritten(std::vector{stream_origin{kKey, kOld}});
  origins.Expire(now + seconds(4));
  EXPECT_EQ(origins.size(), 2U);
  origins.Expire(now + seconds(5));
  origins.Validate();
  EXPECT_EQ(origins.size(), 0U);
  EXPECT_EQ(origins.unwritten_count(), 0U);
  EXPECT_EQ(origins.Obsolete(10), std::vector({stream_origin{kKey, kOld}}));
  origins.OnErased(origins.Obsolete(10));
  EXPECT_EQ(origins.obsolete_count(), 0U);
}

}  // namespace
}  // namespace tarragon::routing
