#include "tarragon/net/caller_mailbox.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace tarragon::net {
namespace {

decision::deliver_token MakeToken(std::uint32_t index, std::size_t bytes) {
  return {.request = {1}, .generation = "g", .index = index, .text = std::string(bytes, 'x')};
}

// Guards against unbounded memory use when a caller does not read.
TEST(CallerMailbox, ClosesWhenTheCallerDoesNotRead) {
  caller_mailbox mailbox(10'000);
  int pushed = 0;
  while (mailbox.TryPush(MakeToken(0, 1000))) {
    ASSERT_LT(++pushed, 11);
  }
  EXPECT_GT(pushed, 1);
  EXPECT_TRUE(mailbox.IsClosed());
  EXPECT_FALSE(mailbox.Pop({}));
}

// Guards against a large response that exceeds the limit by itself and is never delivered.
TEST(CallerMailbox, AcceptsOneMessageOfAnySize) {
  caller_mailbox mailbox(10);
  EXPECT_TRUE(mailbox.TryPush(MakeToken(0, 1000)));
  EXPECT_TRUE(mailbox.Pop({}));
  EXPECT_TRUE(mailbox.TryPush(MakeToken(1, 1000)));
}

// Guards against lost or reordered tokens between the core thread and the thread of a caller.
TEST(CallerMailbox, PreservesOrderBetweenThreads) {
  constexpr std::uint32_t kTokens = 20'000;
  caller_mailbox mailbox(std::size_t{64} << 20);
  std::thread producer([&] {
    for (std::uint32_t i = 0; i < kTokens; ++i) {
      mailbox.TryPush(MakeToken(i, 1));
    }
  });
  for (std::uint32_t i = 0; i < kTokens; ++i) {
    const auto message = mailbox.Pop(std::chrono::seconds(60));
    ASSERT_TRUE(message);
    ASSERT_EQ(std::get<decision::deliver_token>(*message).index, i);
  }
  producer.join();
}

// Guards against a thread that blocks on a mailbox after it was closed.
TEST(CallerMailbox, CloseUnblocksPop) {
  caller_mailbox mailbox(10);
  std::thread closer([&] { mailbox.Close(); });
  EXPECT_FALSE(mailbox.Pop(std::chrono::hours(1)));
  closer.join();
}

}  // namespace
}  // namespace tarragon::net
