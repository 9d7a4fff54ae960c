#include "fakes/fake_endpoint/load_reporter.h"

#include <gtest/gtest.h>

#include "tarragon/base/manual_clock.h"

namespace tarragon::fakes {
namespace {

using std::chrono::milliseconds;

// Guards against reports that show the current load despite the lag.
TEST(LoadReporter, ReportsTheNewestLoadThatIsOldEnough) {
  manual_clock time;
  load_reporter reporter(milliseconds(100));
  EXPECT_TRUE(reporter.Report(time.Now()).is_null());
  for (int i = 0; i < 10; ++i) {
    reporter.Record(time.Now(), {{"running", i}});
    time.Advance(milliseconds(30));
  }
  // Recorded at 0, 30, ..., 270 ms; at 300 ms the newest load that is at least
  // 100 ms old is that of 180 ms.
  const nlohmann::json report = reporter.Report(time.Now());
  EXPECT_EQ(report["running"], 6);
  EXPECT_EQ(report["age_ms"], 120);
  EXPECT_EQ(report["sequence"], 7);
}

}  // namespace
}  // namespace tarragon::fakes
