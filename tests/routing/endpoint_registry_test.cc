#include "tarragon/routing/endpoint_registry.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tarragon/base/hash.h"

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

endpoint_entry Entry(std::string id, bool leaving = false, std::int64_t started = 1) {
  endpoint_entry entry;
  entry.id = std::move(id);
  entry.service = "s";
  entry.address = "10.0.0.1:80";
  entry.slots = 4;
  entry.leaving = leaving;
  entry.started_unix_ms = started;
  return entry;
}

class endpoint_registry_test : public testing::Test {
 protected:
  std::uint64_t version = 0;
  endpoint_registry_test() {
    registry.SetLeavingListener([this](const endpoint_ptr& target, leaving_source) {
      left_ids.push_back(target->entry.id);
    });
  }

  bool AcceptsWork(const std::string& id) const {
    const endpoint_ptr known = registry.Find(id);
    return known && known->accepts_work();
  }

  time_point now{};
  endpoint_registry registry;
  std::vector<std::string> left_ids;
};

// Guards against new requests to an endpoint that has announced that it leaves.
TEST_F(endpoint_registry_test, LeavingEndpointAcceptsNoWork) {
  registry.Put(now, 1, Entry("a"));
  EXPECT_TRUE(AcceptsWork("a"));
  registry.Put(now, 2, Entry("a", /*leaving=*/true));
  EXPECT_FALSE(AcceptsWork("a"));
  EXPECT_EQ(left_ids, std::vector<std::string>{"a"});
}

// Guards against a stale read that restores an endpoint after a newer update or deletion.
TEST_F(endpoint_registry_test, IgnoresOlderRow) {
  registry.Put(now, 5, Entry("a", /*leaving=*/true));
  registry.Put(now, 4, Entry("a"));
  EXPECT_FALSE(AcceptsWork("a"));
  registry.Remove(now, 6, "a");
  registry.Put(now, 5, Entry("a"));
  EXPECT_EQ(registry.Find("a"), nullptr);
  registry.Put(now, 7, Entry("a"));
  EXPECT_TRUE(AcceptsWork("a"));
}

// Guards against dropping endpoints whose entries expired only because the store was unavailable.
TEST_F(endpoint_registry_test, KeepsEntryThatExpiredInOutage) {
  registry.Put(now, 1, Entry("a"));
  registry.OnStoreUnavailable(now);
  now += milliseconds(5000);
  registry.OnStoreRecovered(now);
  registry.Remove(now, 2, "a");
  EXPECT_TRUE(AcceptsWork("a"));
  now += milliseconds(1900);
  registry.Put(now, 3, Entry("a"));
  now += milliseconds(2000);
  registry.RemoveMissing(now);
  EXPECT_TRUE(AcceptsWork("a"));
}

// Guards against using an endpoint that the store does not list again after an outage.
TEST_F(endpoint_registry_test, RemovesEntryThatStaysMissingAfterOutage) {
  registry.Put(now, 1, Entry("a"));
  registry.OnStoreUnavailable(now);
  registry.OnStoreRecovered(now);
  registry.Remove(now, 2, "a");
  now += milliseconds(2600);
  registry.RemoveMissing(now);
  EXPECT_EQ(registry.Find("a"), nullptr);
  EXPECT_EQ(left_ids, std::vector<std::string>{"a"});
}

// Guards against requests to an endpoint that left while this daemon was cut off, later than 3 s
// after the end of the cut. The daemon may have found the store again long after that end.
TEST_F(endpoint_registry_test, RemovesEntryInTimeIfTheStoreWasFoundLate) {
  constexpr milliseconds kContactTime(3000);
  for (const milliseconds time_back : {milliseconds(0), milliseconds(400), milliseconds(850)}) {
    registry.Put(now, ++version, Entry("a"));
    registry.OnStoreUnavailable(now);
    const time_point reached_at = now += milliseconds(6000);
    registry.OnStoreRecovered(now, time_back);
    registry.Remove(now, ++version, "a");
    // The platform restores within two seconds of the end what lapsed in an outage of the store.
    now = reached_at + milliseconds(1900);
    registry.RemoveMissing(now);
    EXPECT_TRUE(AcceptsWork("a")) << time_back.count();
    ASSERT_TRUE(registry.NextRemoval().has_value());
    EXPECT_LT(*registry.NextRemoval(), reached_at - time_back + kContactTime);
    now = *registry.NextRemoval();
    registry.RemoveMissing(now);
    EXPECT_EQ(registry.Find("a"), nullptr) << time_back.count();
    EXPECT_FALSE(registry.NextRemoval().has_value());
  }
}

// Guards against the same at a daemon that does not know when the store may have been back: another
// daemon relays its rows, or the store has returned from a copy.
TEST_F(endpoint_registry_test, RemovesEntryInTimeIfTheReturnIsNotKnown) {
  constexpr milliseconds kUsualDelay(700);
  constexpr milliseconds kContactTime(3000);
  registry.Put(now, 1, Entry("a"));
  registry.OnStoreUnavailable(now);
  const time_point returned_at = now += milliseconds(6000);
  now += kUsualDelay;
  registry.OnStoreRecovered(now);
  registry.Remove(now, 2, "a");
  now = returned_at + milliseconds(2000);
  registry.RemoveMissing(now);
  EXPECT_TRUE(AcceptsWork("a"));
  ASSERT_TRUE(registry.NextRemoval().has_value());
  EXPECT_LT(*registry.NextRemoval(), returned_at + kContactTime);
}

// Guards against dropping all endpoints at a daemon that has found the store late.
TEST_F(endpoint_registry_test, KeepsMissingEntriesForAWhileIfTheStoreWasFoundVeryLate) {
  registry.Put(now, 1, Entry("a"));
  registry.OnStoreUnavailable(now);
  registry.OnStoreRecovered(now, milliseconds(2600));
  registry.Remove(now, 2, "a");
  now += milliseconds(1100);
  registry.RemoveMissing(now);
  EXPECT_TRUE(AcceptsWork("a"));
}

// Guards against keeping an endpoint that had announced before the outage that it leaves.
TEST_F(endpoint_registry_test, RemovesLeavingEntryEvenAfterOutage) {
  registry.Put(now, 1, Entry("a", /*leaving=*/true));
  registry.OnStoreUnavailable(now);
  registry.OnStoreRecovered(now);
  registry.Remove(now, 2, "a");
  EXPECT_EQ(registry.Find("a"), nullptr);
}

// Guards against counting the requests of an ended incarnation at a new one with the same id.
TEST_F(endpoint_registry_test, SameIdWithLaterStartIsNewIncarnation) {
  registry.Put(now, 1, Entry("a", false, 100));
  const endpoint_ptr first = registry.Find("a");
  first->own_load.requests = 3;
  registry.Put(now, 2, Entry("a", false, 200));
  EXPECT_NE(registry.Find("a"), first);
  EXPECT_EQ(registry.Find("a")->own_load.requests, 0U);
  EXPECT_TRUE(first->leaving);
  EXPECT_TRUE(AcceptsWork("a"));
}

// Guards against a daemon that cannot reach the store and sends requests to endpoints that other
// daemons know to be leaving (lanhai-blast, inc-70f1: a report was sent to an engine 0.5 s after
// its removal).
TEST_F(endpoint_registry_test, MarksLeavingByReportOfOtherDaemon) {
  registry.Put(now, 4, Entry("a"));
  registry.MarkLeaving(now, Hash64("a"), 3);
  EXPECT_TRUE(AcceptsWork("a"));
  registry.MarkLeaving(now, Hash64("b"), 9);
  registry.MarkLeaving(now, Hash64("a"), 5);
  EXPECT_FALSE(AcceptsWork("a"));
  EXPECT_EQ(left_ids, std::vector<std::string>{"a"});
}

// Guards against requests to an endpoint whose row was deleted while the daemon received no
// changes: the next complete read shows the deletion only by the row's absence.
TEST_F(endpoint_registry_test, RemovesEndpointsThatACompleteListLacks) {
  registry.Put(now, 1, Entry("a"));
  registry.Put(now, 2, Entry("b"));
  registry.RemoveUnlisted(now, 3, {"b"});
  EXPECT_EQ(registry.Find("a"), nullptr);
  EXPECT_TRUE(AcceptsWork("b"));
  registry.Validate();
}

// Guards against a row that is read late, still says ready and undoes what the endpoint itself
// said.
TEST_F(endpoint_registry_test, LaterRowDoesNotUndoWhatTheEndpointSaid) {
  registry.Put(now, 1, Entry("a"));
  registry.MarkLeavingByResponse(now, registry.Find("a"));
  EXPECT_FALSE(AcceptsWork("a"));
  registry.Put(now, 2, Entry("a"));
  EXPECT_FALSE(AcceptsWork("a"));
  EXPECT_EQ(left_ids, std::vector<std::string>{"a"});
  registry.Validate();
}

// Guards against a new incarnation that gets no requests because an earlier one said that it
// leaves.
TEST_F(endpoint_registry_test, NewIncarnationIsNotLeaving) {
  registry.Put(now, 1, Entry("a"));
  const endpoint_ptr first = registry.Find("a");
  registry.MarkLeavingByResponse(now, first);
  registry.Put(now, 2, Entry("a", /*leaving=*/false, /*started=*/2));
  EXPECT_TRUE(AcceptsWork("a"));
  registry.MarkLeavingByResponse(now, first);
  EXPECT_TRUE(AcceptsWork("a"));
  registry.MarkLeavingByResponse(now, registry.Find("a"));
  registry.Remove(now, 3, "a");
  registry.Put(now, 4, Entry("a", /*leaving=*/false, /*started=*/2));
  EXPECT_TRUE(AcceptsWork("a"));
}

// Guards against blaming the endpoint that was meant for what another one at its address says.
TEST_F(endpoint_registry_test, SuccessorAtTheSameAddressLeaves) {
  registry.Put(now, 1, Entry("old"));
  registry.Put(now, 2, Entry("new"));
  endpoint_entry elsewhere = Entry("elsewhere");
  elsewhere.address = "10.0.0.2:80";
  registry.Put(now, 3, elsewhere);
  registry.MarkSuccessorsLeaving(now, *registry.Find("old"));
  EXPECT_EQ(left_ids, std::vector<std::string>{"new"});
}

// Guards against rows, removals and reports of a new era that are ignored because the store has
// given out their versions before.
TEST_F(endpoint_registry_test, RowsOfANewEraAreNewer) {
  registry.Put(now, {1, 40}, Entry("a"));
  registry.Put(now, {1, 41}, Entry("b"));
  registry.Put(now, {1, 42}, Entry("c"));
  registry.Put(now, {2, 20}, Entry("a", /*leaving=*/true));
  EXPECT_FALSE(AcceptsWork("a"));
  registry.Remove(now, {2, 21}, "b");
  EXPECT_EQ(registry.Find("b"), nullptr);
  registry.MarkLeaving(now, Hash64("c"), {2, 22});
  EXPECT_FALSE(AcceptsWork("c"));
}

// Guards against an endpoint that is used again although it leaves, because the copy from which the
// store has returned does not know that yet.
TEST_F(endpoint_registry_test, EndpointThatLeavesStaysOutOfUseInANewEra) {
  registry.Put(now, {1, 30}, Entry("a"));
  registry.Put(now, {1, 40}, Entry("a", /*leaving=*/true));
  registry.Put(now, {2, 30}, Entry("a"));
  EXPECT_FALSE(AcceptsWork("a"));
}

}  // namespace
}  // namespace tarragon::routing
