#include "tarragon/gateway/relay_message.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragon/gateway/compression.h"

namespace tarragon::gateway {
namespace {

relay_update MakeUpdate() {
  return {.table = 1,
          .store_lost = true,
          .update = {.base_version = 7,
                     .position = {9, std::chrono::milliseconds(1234)},
                     .rows = {{"id", std::string("a\0b", 3), 8, false}, {"gone", "", 9, true}}}};
}

// Guards against a field that is lost or swapped, and against frames that are joined or split.
RC_GTEST_PROP(RelayMessageTest, FramesSurviveAnySplit, ()) {
  const std::string bytes =
      EncodeFrame(relay_subscription{"vm-1", subscription_kind::kRows, {3, 0, {2, 5}}}) +
      EncodeFrame(MakeUpdate());
  const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
  relay_frame_reader reader;
  std::vector<relay_message> messages;
  RC_ASSERT(reader.Feed(bytes.substr(0, cut), messages));
  RC_ASSERT(reader.Feed(bytes.substr(cut), messages));
  RC_ASSERT(messages.size() == 2U);
  const auto& subscription = std::get<relay_subscription>(messages[0]);
  RC_ASSERT(subscription.vm == "vm-1");
  RC_ASSERT(subscription.versions == std::vector<routing::store_version>({3, 0, {2, 5}}));
  const auto& update = std::get<relay_update>(messages[1]);
  RC_ASSERT(update.table == 1 && update.store_lost && update.update.base_version == 7U);
  RC_ASSERT(update.update.position.version == 9U);
  RC_ASSERT(update.update.position.store_time == std::chrono::milliseconds(1234));
  RC_ASSERT(update.update.rows.size() == 2U);
  RC_ASSERT(update.update.rows[0].value == std::string("a\0b", 3));
  RC_ASSERT(update.update.rows[1].deleted && update.update.rows[1].version == 9U);
}

// Guards against large rows that load slow links for longer than a change may take.
TEST(RelayMessageTest, LargeConfigurationsAreCompressed) {
  std::string value;
  for (int route = 0; route < 1500; ++route) {
    value += fmt::format(
        R"({{"host":"h{}.example","prefix":"/p{}/","kind":"safe","timeout-ms":1200,"services":[{{"name":"s","weight":1}}]}},)",
        route % 37, route);
  }
  relay_update update = MakeUpdate();
  update.update.rows = {{"config", value, 8, false}};
  const std::string frame = EncodeFrame(update);
  EXPECT_LT(frame.size(), value.size() / 8);
  relay_frame_reader reader;
  std::vector<relay_message> messages;
  ASSERT_TRUE(reader.Feed(std::string_view(frame).substr(0, frame.size() - 1), messages));
  EXPECT_TRUE(reader.has_partial_message());
  ASSERT_TRUE(reader.Feed(std::string_view(frame).substr(frame.size() - 1), messages));
  EXPECT_FALSE(reader.has_partial_message());
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(std::get<relay_update>(messages[0]).update.rows[0].value, value);
}

// Guards against a small message that stands for more bytes than the memory holds.
TEST(RelayMessageTest, CompressedBytesBeyondTheLimitAreRejected) {
  const std::string text(kMaxFramePayload + 1, 'a');
  EXPECT_FALSE(Decompress(Compress(text), kMaxFramePayload));
  EXPECT_EQ(Decompress(Compress(text), text.size()), text);
  EXPECT_FALSE(Decompress(Compress(text).substr(1), text.size()));
  EXPECT_FALSE(Decompress(Compress(text) + "more", text.size()));
}

// Guards against a damaged or foreign message that changes rows, exhausts the memory or ends the
// process.
TEST(RelayMessageTest, DamagedFramesAreRejected) {
  const std::string frame = EncodeFrame(MakeUpdate());
  for (std::size_t i = 0; i < frame.size(); ++i) {
    std::string damaged = frame;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x40);
    relay_frame_reader reader;
    std::vector<relay_message> messages;
    // A damaged length may also leave the frame incomplete.
    reader.Feed(damaged, messages);
    EXPECT_TRUE(messages.empty()) << i;
  }
}

// Guards against bytes without end that are no message and fill the memory.
RC_GTEST_PROP(RelayMessageTest, ForeignBytesAreRejected, (const std::string& bytes)) {
  relay_frame_reader reader;
  std::vector<relay_message> messages;
  const std::string prefix(kFrameHeaderBytes, '\xff');
  RC_ASSERT(!reader.Feed(prefix + bytes, messages));
  RC_ASSERT(messages.empty());
}

}  // namespace
}  // namespace tarragon::gateway
