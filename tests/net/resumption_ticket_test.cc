#include "tarragon/net/resumption_ticket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace tarragon::net {
namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";
constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(1);

wall_time_point At(std::int64_t ms) {
  return wall_time_point(std::chrono::milliseconds(ms));
}

resumption_ticket MakeTicket() {
  return resumption_ticket({.request = {7},
                            .account = "taoyuan-blast",
                            .endpoint = "drafter-01",
                            .generation = "457fb5fa260253399de6817847ca9864",
                            .request_class = "report",
                            .request_fingerprint = {~std::uint64_t{0}},
                            .issued = At(10'000'000)});
}

// Guards against a ticket field that is lost between the signing and the verifying entry.
TEST(ResumptionTicket, RoundTrips) {
  const auto read =
      resumption_ticket::ParseAndVerify(MakeTicket().Sign(kKey), kKey, At(10'000'001), kMaxAge);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->contents(), MakeTicket().contents());
}

// Guards against a ticket that never expires, and one issued by a clock that is far ahead.
TEST(ResumptionTicket, HasAMaximumAge) {
  const std::string text = MakeTicket().Sign(kKey);
  EXPECT_TRUE(resumption_ticket::ParseAndVerify(text, kKey, At(10'000'000) + kMaxAge, kMaxAge));
  EXPECT_FALSE(resumption_ticket::ParseAndVerify(
      text, kKey, At(10'000'000) + kMaxAge + std::chrono::milliseconds(1), kMaxAge));
  EXPECT_FALSE(resumption_ticket::ParseAndVerify(text, kKey, At(10'000'000) - kMaxAge, kMaxAge));
}

// Guards against accepting a ticket signed with the key of another fleet.
TEST(ResumptionTicket, RejectsAnotherFleetKey) {
  EXPECT_FALSE(resumption_ticket::ParseAndVerify(
      MakeTicket().Sign("another key of thirty-two bytes."), kKey, At(10'000'000), kMaxAge));
}

// Guards against forgery: a ticket with any one byte changed is rejected.
RC_GTEST_PROP(ResumptionTicket, RejectsAnyChangedByte, ()) {
  std::string text = MakeTicket().Sign(kKey);
  const auto offset = *rc::gen::inRange<std::size_t>(0, text.size());
  const char other = *rc::gen::arbitrary<char>();
  RC_PRE(text[offset] != other);
  text[offset] = other;
  RC_ASSERT(!resumption_ticket::ParseAndVerify(text, kKey, At(10'000'000), kMaxAge));
}

// Guards against crashes on, or acceptance of, arbitrary text.
RC_GTEST_PROP(ResumptionTicket, RejectsArbitraryText, (const std::string& text)) {
  RC_ASSERT(!resumption_ticket::ParseAndVerify(text, kKey, At(10'000'000), kMaxAge));
}

}  // namespace
}  // namespace tarragon::net
