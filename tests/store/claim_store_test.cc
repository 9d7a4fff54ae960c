#include "tarragon/store/claim_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "store/fake_platform_store.h"
#include "tarragon/base/manual_clock.h"

namespace tarragon::store {
namespace {

constexpr fingerprint kContent{42};

claim_key MakeKey(const std::string& token) {
  return {.account = "a", .key = "k/1 ?", .token = token};
}

// Guards against a call that runs twice. Whichever requests and responses are lost, at most one
// entry wins a key, and an entry that was told it holds no claim never holds one later.
RC_GTEST_PROP(ClaimStore, AtMostOneWinnerUnderFaults, ()) {
  fake_platform_store store;
  const manual_clock time;
  claim_store claims(store, time);
  const auto faults = *rc::gen::container<std::vector<int>>(24, rc::gen::inRange(0, 9));
  std::size_t next = 0;
  store.SetFaultScript([&](store_call /*call*/) {
    const int fault = next < faults.size() ? faults[next++] : 0;
    return fault < 5 ? static_cast<store_fault>(fault) : store_fault::kNone;
  });
  std::vector<claim_outcome> outcomes;
  for (const char* token : {"t0", "t1", "t2"}) {
    outcomes.push_back(claims.Write(MakeKey(token), kContent).outcome);
  }
  store.SetFaultScript(nullptr);
  store.ApplyDelayedWrites();
  int winners = 0;
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    const claim_outcome held =
        claims.Complete(MakeKey("t" + std::to_string(i)), 200, "r" + std::to_string(i));
    if (outcomes[i] == claim_outcome::kWon) {
      ++winners;
      RC_ASSERT(held == claim_outcome::kWon);
    } else if (outcomes[i] != claim_outcome::kUnknown) {
      RC_ASSERT(held == claim_outcome::kHeldByOther);
    }
  }
  RC_ASSERT(winners <= 1);
}

// Guards against a retried call that runs again instead of receiving the recorded result.
TEST(ClaimStore, CompletedResultIsReplayed) {
  fake_platform_store store;
  const manual_clock time;
  claim_store claims(store, time);
  const std::string body("\xff\x00 bytes", 8);
  ASSERT_EQ(claims.Write(MakeKey("t0"), kContent).outcome, claim_outcome::kWon);
  EXPECT_EQ(claims.Write(MakeKey("t1"), kContent).outcome, claim_outcome::kHeldByOther);
  ASSERT_EQ(claims.Complete(MakeKey("t0"), 201, body), claim_outcome::kWon);
  const claim_result replay = claims.Write(MakeKey("t1"), kContent);
  EXPECT_EQ(replay.outcome, claim_outcome::kCompleted);
  EXPECT_EQ(replay.recorded_status, 201);
  EXPECT_EQ(replay.recorded_body, body);
  EXPECT_EQ(claims.Write(MakeKey("t1"), fingerprint{43}).outcome, claim_outcome::kHeldByOther);
}

// Guards against a key that stays claimed after a call that did not run, and against a release that
// deletes the claim of another request.
TEST(ClaimStore, ReleaseFreesOnlyOwnClaim) {
  fake_platform_store store;
  const manual_clock time;
  claim_store claims(store, time);
  ASSERT_EQ(claims.Write(MakeKey("t0"), kContent).outcome, claim_outcome::kWon);
  EXPECT_EQ(claims.Release(MakeKey("t1")), claim_outcome::kHeldByOther);
  EXPECT_EQ(claims.Release(MakeKey("t0")), claim_outcome::kWon);
  EXPECT_EQ(claims.Write(MakeKey("t1"), kContent).outcome, claim_outcome::kWon);
}

// Guards against claim rows that are never deleted, and against deleting a claim within its
// retention.
TEST(ClaimStore, OldClaimsExpire) {
  fake_platform_store store;
  manual_clock time;
  claim_store claims(store, time);
  ASSERT_EQ(claims.Write(MakeKey("t0"), kContent).outcome, claim_outcome::kWon);
  time.Advance(claim_store::kRetention - std::chrono::hours(1));
  EXPECT_EQ(claims.ExpireOld().value(), 0);
  EXPECT_EQ(store.row_count(), 2U);
  time.Advance(std::chrono::hours(3));
  EXPECT_EQ(claims.ExpireOld().value(), 1);
  EXPECT_EQ(store.row_count(), 0U);
}

}  // namespace
}  // namespace tarragon::store
