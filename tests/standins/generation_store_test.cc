#include "fakes/fake_endpoint/generation_store.h"

#include <gtest/gtest.h>

#include "tarragon/base/manual_clock.h"

namespace tarragon::fakes {
namespace {

using std::chrono::seconds;

// Guards against a resume that repeats or skips tokens.
TEST(GenerationStore, ResumeStartsAtTheRequestedIndex) {
  manual_clock time;
  generation_store store(seconds(60));
  const generation_ptr item = store.Add("abcd", 1, 0, time.Now());
  for (int i = 0; i < 4; ++i) {
    item->Append(time.Now(), "");
  }
  item->Append(time.Now(), "stop");
  EXPECT_EQ(item->WaitFor(0, duration::zero()).produced_at.size(), 5U);
  EXPECT_EQ(item->WaitFor(3, duration::zero()).produced_at.size(), 2U);
  const generation_progress end = item->WaitFor(5, duration::zero());
  EXPECT_TRUE(end.produced_at.empty());
  EXPECT_EQ(end.state, generation_state::kFinished);
  EXPECT_EQ(end.finish_reason, "stop");
  EXPECT_EQ(TokenText("abcdef", 3), " w3.abcd");
}

// Guards against a generation that runs twice because its id is sent again after it has expired.
TEST(GenerationStore, IdIsNeverReusedAndReadableUntilItExpires) {
  manual_clock time;
  generation_store store(seconds(60));
  store.Add("abcd", 1, 0, time.Now())->Append(time.Now(), "stop");
  EXPECT_EQ(store.Add("abcd", 1, 0, time.Now()), nullptr);
  time.Advance(seconds(60));
  EXPECT_NE(store.Find("abcd", time.Now()), nullptr);
  time.Advance(seconds(1));
  EXPECT_EQ(store.Find("abcd", time.Now()), nullptr);
  EXPECT_TRUE(store.Sweep(time.Now(), seconds(30)).empty());
  EXPECT_EQ(store.Add("abcd", 1, 0, time.Now()), nullptr);
  EXPECT_EQ(store.Summaries().at(0).tokens, 1U);
}

// Guards against tokens that are added after a cancel was confirmed.
TEST(GenerationStore, CancelledGenerationAcceptsNoToken) {
  manual_clock time;
  generation_store store(seconds(60));
  const generation_ptr item = store.Add("abcd", 1, 0, time.Now());
  item->End(generation_state::kCancelled, "cancelled", time.Now());
  item->Append(time.Now(), "stop");
  EXPECT_EQ(item->Summary().tokens, 0U);
  EXPECT_EQ(item->Summary().state, generation_state::kCancelled);
}

// Guards against generations without readers that keep running, and against the cancellation of a
// generation that has a reader.
TEST(GenerationStore, SweepFindsGenerationsWithoutReader) {
  manual_clock time;
  generation_store store(seconds(60));
  const generation_ptr read = store.Add("a", 1, 0, time.Now());
  const generation_ptr abandoned = store.Add("b", 1, 0, time.Now());
  read->Attach();
  abandoned->Attach();
  abandoned->Attach();
  abandoned->Detach(time.Now());
  time.Advance(seconds(40));
  EXPECT_TRUE(store.Sweep(time.Now(), seconds(30)).empty());
  abandoned->Detach(time.Now());
  time.Advance(seconds(30));
  const std::vector<generation_ptr> orphans = store.Sweep(time.Now(), seconds(30));
  ASSERT_EQ(orphans.size(), 1U);
  EXPECT_EQ(orphans[0]->id(), "b");
}

}  // namespace
}  // namespace tarragon::fakes
