#include "tarragon/routing/load_booking.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>

namespace tarragon::routing {
namespace {

// Guards against load that stays counted or is subtracted twice after a request ends or moves.
TEST(LoadBookingTest, CountsLoadUntilDestroyed) {
  const auto target = std::make_shared<endpoint>();
  {
    load_booking first(target, {1, 100, 60});
    load_booking second = std::move(first);
    EXPECT_EQ(target->own, (endpoint_load{1, 100, 60}));
    second.PromptRead();
    second.PromptRead();
    EXPECT_EQ(target->own, (endpoint_load{1, 100, 0}));
    second = load_booking(target, {2, 5, 0});
    EXPECT_EQ(target->own, (endpoint_load{2, 5, 0}));
  }
  EXPECT_EQ(target->own, endpoint_load{});
}

}  // namespace
}  // namespace tarragon::routing
