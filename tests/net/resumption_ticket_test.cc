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

resumption_ticket Sample() {
  return resumption_ticket({.request = {7},
                            .account = "taoyuan-blast",
                            .endpoint = "drafter-01",
                            .generation = "457fb5fa260253399de6817847ca9864",
                            .request_class = "report",
                            .content = {~std::uint64_t{0}},
                            .issued = At(10'000'000)});
}

// Guards against a field that is lost between two entries.
TEST(ResumptionTicket, IsReadBack) {
  const auto read = resumption_ticket::Make(Sample().Sign(kKey), kKey, At(10'000'001), kMaxAge);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->contents(), Sample().contents());
}

// Guards against a ticket that stays valid for ever, or one issued by a clock far ahead.
TEST(ResumptionTicket, HasAMaximumAge) {
  const std::string text = Sample().Sign(kKey);
  EXPECT_TRUE(resumption_ticket::Make(text, kKey, At(10'000'000) + kMaxAge, kMaxAge));
  EXPECT_FALSE(resumption_ticket::Make(
      text, kKey, At(10'000'000) + kMaxAge + std::chrono::milliseconds(1), kMaxAge));
  EXPECT_FALSE(resumption_ticket::Make(text, kKey, At(10'000'000) - kMaxAge, kMaxAge));
}

// Guards against a ticket of another fleet.
TEST(ResumptionTicket, NeedsTheFleetKey) {
  EXPECT_FALSE(resumption_ticket::Make(Sample().Sign("another key of thirty-two bytes."), kKey,
                                       At(10'000'000), kMaxAge));
}

// Guards against forgery: no change of a ticket's text gives a ticket.
RC_GTEST_PROP(ResumptionTicket, RefusesEveryChange, ()) {
  std::string text = Sample().Sign(kKey);
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  const char other = *rc::gen::arbitrary<char>();
  RC_PRE(text[place] != other);
  text[place] = other;
  RC_ASSERT(!resumption_ticket::Make(text, kKey, At(10'000'000), kMaxAge));
}

// Guards against a fault on text that is no ticket.
RC_GTEST_PROP(ResumptionTicket, RefusesAnyText, (const std::string& text)) {
  RC_ASSERT(!resumption_ticket::Make(text, kKey, At(10'000'000), kMaxAge));
}

}  // namespace
}  // namespace tarragon::net
