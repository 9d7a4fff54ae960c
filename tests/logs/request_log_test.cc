#include "tarragon/logs/request_log.h"

#include <gtest/gtest.h>

namespace tarragon::logs {
namespace {

const std::vector<std::string> kLines = {
    "time=3 event=request_sent request=a endpoint=e1 config=4",
    "time=1 event=start vm=x",
    "time=2 event=endpoint_listed endpoint=e1 leaving=false",
    "time=2 event=endpoint_listed endpoint=e2 leaving=false",
    "time=4 event=request_sent request=b endpoint=e1",
    "time=5 event=dependency_lost dependency=config_table reason=\"status 503\"",
    "time=6 event=request_finished request=a outcome=completed",
    "time=7 event=dependency_regained dependency=config_table"};

// Guards against an explanation without the endpoint and process events behind the decisions.
TEST(RequestLogTest, SelectsOwnLinesAndRelatedEvents) {
  EXPECT_EQ(SelectRequestLines(kLines, "a"),
            (std::vector<std::string>{kLines[1], kLines[2], kLines[0], kLines[5], kLines[6]}));
  EXPECT_TRUE(SelectRequestLines(kLines, "c").empty());
}

// Guards against a value that is cut at a space between quotes or belongs to another key with the
// same ending.
TEST(RequestLogTest, ReadsFields) {
  EXPECT_EQ(LogFieldValue(kLines[5], "reason"), "status 503");
  EXPECT_EQ(LogFieldValue("front-1 time=5 event=x sent=2", "sent"), "2");
  EXPECT_EQ(LogFieldValue("resent=1 sent=2", "sent"), "2");
  EXPECT_EQ(LogFieldValue("time=5", "event"), "");
}

}  // namespace
}  // namespace tarragon::logs
