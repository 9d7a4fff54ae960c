#include "tarragon/routing/load_reservation.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>

namespace tarragon::routing {
namespace {

// Guards against load that stays counted or is subtracted twice after a request ends or moves.
TEST(LoadReservationTest, CountsLoadUntilDestroyed) {
  const auto target = std::make_shared<endpoint>();
  {
    load_reservation first(target, {1, 100, 60});
    load_reservation second = std::move(first);
    EXPECT_EQ(target->own_load, (endpoint_load{1, 100, 60}));
    second.OnPrefillDone();
    second.OnPrefillDone();
    EXPECT_EQ(target->own_load, (endpoint_load{1, 100, 0}));
    second = load_reservation(target, {2, 5, 0});
    EXPECT_EQ(target->own_load, (endpoint_load{2, 5, 0}));
  }
  EXPECT_EQ(target->own_load, endpoint_load{});
}

}  // namespace
}  // namespace tarragon::routing
