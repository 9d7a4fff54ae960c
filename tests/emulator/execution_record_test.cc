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

// Guards against a check that never finds what it is there for.
TEST_F(execution_record_test, FindsRunsAtTwoEndpoints) {
  record.Began("r", "a", /*continued=*/false);
  record.Began("r", "b", /*continued=*/true);
  time.Advance(milliseconds(500));
  record.Ended("r", "a");
  EXPECT_EQ(record.RunningTwice(), std::vector<std::string>{"r"});
  EXPECT_EQ(record.Runs("r"), 1);
}

// The platform allows a hand-over to overlap for a moment.
TEST_F(execution_record_test, AllowsAHandOver) {
  record.Began("r", "a", /*continued=*/false);
  record.Began("r", "b", /*continued=*/true);
  time.Advance(milliseconds(100));
  record.Ended("r", "a");
  time.Advance(milliseconds(900));
  record.Ended("r", "b");
  EXPECT_TRUE(record.RunningTwice().empty());
}

TEST_F(execution_record_test, CountsRunsThatBeginAnew) {
  record.Began("r", "a", /*continued=*/false);
  record.Ended("r", "a");
  record.Began("r", "b", /*continued=*/false);
  EXPECT_EQ(record.Runs("r"), 2);
  EXPECT_EQ(record.Runs("other"), 0);
}

}  // namespace
}  // namespace tarragon::emulator
