#include "tarragon/base/bounded_ring.h"

#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace tarragon {
namespace {

// Guards against unbounded memory use when a consumer stops reading.
TEST(BoundedRing, RefusesBeyondCapacityAndKeepsTheItem) {
  bounded_ring<std::unique_ptr<int>> ring(1);
  EXPECT_TRUE(ring.TryPush(std::make_unique<int>(1)));
  auto second = std::make_unique<int>(2);
  EXPECT_FALSE(ring.TryPush(std::move(second)));
  ASSERT_NE(second, nullptr);
  EXPECT_EQ(**ring.Pop(duration::zero()), 1);
}

// Guards against a shutdown that loses queued items or leaves a producer blocked.
TEST(BoundedRing, CloseWakesProducersAndLeavesItemsReadable) {
  bounded_ring<int> ring(1);
  EXPECT_TRUE(ring.TryPush(1));
  std::thread producer([&ring] { EXPECT_FALSE(ring.Push(2)); });
  ring.Close();
  producer.join();
  EXPECT_EQ(ring.Pop(duration::zero()), 1);
  EXPECT_EQ(ring.Pop(duration::zero()), std::nullopt);
}

// Guards against items that arrive out of order with one producer and one consumer.
TEST(BoundedRing, KeepsOrderBetweenThreads) {
  constexpr int kItems = 10000;
  bounded_ring<int> ring(16);
  std::thread producer([&ring] {
    for (int i = 0; i < kItems; ++i) {
      EXPECT_TRUE(ring.Push(int(i)));
    }
  });
  for (int i = 0; i < kItems; ++i) {
    ASSERT_EQ(ring.Pop(std::chrono::seconds(10)), i);
  }
  producer.join();
}

}  // namespace
}  // namespace tarragon
