#include "tarragon/routing/generation_pace.h"

#include <gtest/gtest.h>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(100)};

// Guards against a slow phase that is forgotten at once or remembered for ever.
TEST(GenerationPaceTest, RemembersTheSlowestOfTheLastWindows) {
  generation_pace pace;
  EXPECT_FALSE(pace.SlowestInterval(kStart));
  pace.RecordInterval(kStart, milliseconds(30));
  pace.RecordInterval(kStart + seconds(1), milliseconds(8));
  EXPECT_EQ(pace.SlowestInterval(kStart + seconds(2)), milliseconds(30));
  pace.RecordInterval(kStart + seconds(11), milliseconds(9));
  EXPECT_EQ(pace.SlowestInterval(kStart + seconds(12)), milliseconds(30));
  pace.RecordInterval(kStart + seconds(22), milliseconds(7));
  EXPECT_EQ(pace.SlowestInterval(kStart + seconds(23)), milliseconds(9));
  EXPECT_FALSE(pace.SlowestInterval(kStart + seconds(60)));
  EXPECT_FALSE(pace.SlowestFirstEvent(kStart));
}

}  // namespace
}  // namespace tarragon::routing
