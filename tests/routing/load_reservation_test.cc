#include "tarragon/routing/load_reservation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "tarragon/routing/endpoint_picker.h"

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

// Guards against a sum that wraps, after which a release fails an invariant and ends the process:
// callers may state any number of tokens.
RC_GTEST_PROP(LoadReservationTest, SumsOfStatedSizesDoNotWrap, ()) {
  const auto target = std::make_shared<endpoint>();
  const auto sizes = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::element(0U, 1U, 1460U, 0x7fffffffU, 0xffffffffU));
  std::vector<load_reservation> reservations;
  std::uint64_t expected = 0;
  for (const std::uint32_t size : sizes) {
    const work_size work{size, size, size};
    reservations.emplace_back(
        target, endpoint_load{.requests = 1, .tokens = work.tokens(), .unread_tokens = size});
    expected += std::uint64_t{2} * size;
  }
  RC_ASSERT(target->own_load.tokens == expected);
  reservations.clear();
  RC_ASSERT(target->own_load == endpoint_load{});
}

}  // namespace
}  // namespace tarragon::routing
