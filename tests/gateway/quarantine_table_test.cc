#include "tarragon/gateway/quarantine_table.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "base64.h"
#include "gateway/gateway_fixture.h"
#include "gateway/scripted_channel.h"

namespace tarragon::gateway {
namespace {

class quarantine_table_test : public gateway_fixture {
 protected:
  static store_call_result Page(std::string_view value) {
    return store_response{
        200, fmt::format(R"({{"rows":[{{"table":"quarantine","part":"","key":"a","value":"{}",)"
                         R"("ver":4}}],"ver":9}})",
                         platform::EncodeBase64(value))};
  }
  std::string Row(std::chrono::milliseconds age) const {
    return fmt::format("00000000000000ab 1 {}\n",
                       (time.WallNow() - age).time_since_epoch().count());
  }
  bool IsQuarantined() const {
    return gateway.quarantine.FindQuarantined(std::vector<routing::request_trait>{{{0xab}, 1}})
        .has_value();
  }

  scripted_channel channel{loop};
  quarantine_table table{loop, gateway, channel, "127.0.0.1:1"};
};

// Guards against a daemon that starts during a short failure of the store and never learns what is
// quarantined.
TEST_F(quarantine_table_test, RestoresAfterAFailedRead) {
  channel.results = {store_response{503, {}}, Page(Row(std::chrono::seconds(60)))};
  table.Restore();
  EXPECT_TRUE(RunUntil([&] { return IsQuarantined(); }));
}

// Guards against refusing requests because of a quarantine that has ended or a damaged row.
TEST_F(quarantine_table_test, IgnoresExpiredAndDamagedRows) {
  channel.results = {Page(Row(std::chrono::minutes(11)) + "ab\nx y z")};
  table.Restore();
  RunFor(std::chrono::milliseconds(20), [] { return false; });
  EXPECT_EQ(gateway.quarantine.quarantined_count(), 0U);
}

// Guards against losing a quarantine whose write failed.
TEST_F(quarantine_table_test, RepeatsAFailedWrite) {
  channel.results = {store_response{503, {}}, store_response{200, "{}"}};
  gateway.quarantine.Restore(time.Now(), {{0xab}, 1}, std::chrono::seconds(5));
  table.Save();
  EXPECT_TRUE(RunUntil([&] { return channel.results.empty(); }));
  EXPECT_EQ(channel.targets.size(), 2U);
}

// Guards against a quarantine that daemons which start later do not know because the store has lost
// its row, and against rows of daemons that have written none.
TEST_F(quarantine_table_test, WritesItsRowAgainOnlyIfThereIsOne) {
  table.SaveAgain();
  EXPECT_TRUE(channel.targets.empty());
  channel.results = {store_response{200, "{}"}, store_response{200, "{}"}};
  table.Save();
  EXPECT_TRUE(RunUntil([&] { return channel.results.size() == 1; }));
  RunFor(std::chrono::milliseconds(5), [] { return false; });
  table.SaveAgain();
  EXPECT_TRUE(RunUntil([&] { return channel.results.empty(); }));
}

}  // namespace
}  // namespace tarragon::gateway
