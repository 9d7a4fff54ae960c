#include "emulator/execution_record.h"

#include <gtest/gtest.h>

#include "tarragon/base/manual_clock.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using testing::Test;

class execution_record_test : public Test {
 protected:
  manual_clock time;
  execution_record record{time};
};

// Guards against a check that does not detect a request that runs at two endpoints at once.
TEST_F(execution_record_test, FindsRunsAtTwoEndpoints) {
  record.RecordStart("r", "a", /*continued=*/false);
  record.RecordStart("r", "b", /*continued=*/true);
  time.Advance(milliseconds(500));
  record.RecordEnd("r", "a");
  EXPECT_EQ(record.ConcurrentRuns(), std::vector<std::string>{"r"});
  EXPECT_EQ(record.RunCount("r"), 1);
}

// Guards against a violation reported for a handover, whose two runs may overlap briefly.
TEST_F(execution_record_test, AllowsHandoverOverlap) {
  record.RecordStart("r", "a", /*continued=*/false);
  record.RecordStart("r", "b", /*continued=*/true);
  time.Advance(milliseconds(100));
  record.RecordEnd("r", "a");
  time.Advance(milliseconds(900));
  record.RecordEnd("r", "b");
  EXPECT_TRUE(record.ConcurrentRuns().empty());
}

// Guards against a check that overlooks a second run of a request after the first has ended.
TEST_F(execution_record_test, CountsRunsThatContinueNoOther) {
  record.RecordStart("r", "a", /*continued=*/false);
  record.RecordEnd("r", "a");
  record.RecordStart("r", "b", /*continued=*/false);
  EXPECT_EQ(record.RunCount("r"), 2);
  EXPECT_EQ(record.RunCount("other"), 0);
}

}  // namespace
}  // namespace tarragon::emulator
