#include "tarragon/routing/evacuation_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "tarragon/routing/endpoint_picker.h"

namespace tarragon::routing {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

// Guards against daemons that disagree about an evacuation because rows reached them late, twice or
// in another order.
RC_GTEST_PROP(EvacuationListTest, TheNewestRowDecidesInAnyOrder, ()) {
  struct change {
    std::uint64_t version = 0;
    bool is_evacuated = false;
  };
  const auto states = *rc::gen::nonEmpty<std::vector<bool>>();
  std::vector<change> rows;
  rows.reserve(states.size());
  for (const bool is_evacuated : states) {
    rows.push_back({rows.size() + 1, is_evacuated});
  }
  std::vector<change> received = rows;
  const auto repeated = *rc::gen::container<std::vector<change>>(rc::gen::elementOf(rows));
  received.insert(received.end(), repeated.begin(), repeated.end());
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  std::ranges::shuffle(received, random);
  evacuation_list list;
  for (const change& row : received) {
    if (row.is_evacuated) {
      list.Begin("d", row.version);
    } else {
      list.End("d", row.version);
    }
    list.Validate();
  }
  RC_ASSERT(list.IsEvacuated("d") == rows.back().is_evacuated);
}

// Guards against an evacuation that stays for good because its deletion fell into a dropped
// history, and against one that a read from before the order ends.
TEST(EvacuationListTest, CompleteReadEndsWhatItLacksUnlessItIsOlder) {
  evacuation_list list;
  EXPECT_TRUE(list.Begin("a", 5));
  EXPECT_TRUE(list.Begin("b", 9));
  EXPECT_EQ(list.EndUnlisted(7, {}), std::vector<std::string>{"a"});
  EXPECT_TRUE(list.IsEvacuated("b"));
  EXPECT_EQ(list.EndUnlisted(12, {"b"}), std::vector<std::string>{});
  EXPECT_FALSE(list.Begin("a", 6));
  EXPECT_FALSE(list.IsEvacuated("a"));
}

// Guards against an order, or its deletion, that is ignored because the store has returned from a
// copy and given out its version before.
TEST(EvacuationListTest, RowsOfANewEraAreNewer) {
  evacuation_list list;
  EXPECT_TRUE(list.Begin("a", {1, 50}));
  EXPECT_TRUE(list.End("a", {2, 9}));
  EXPECT_FALSE(list.Begin("a", {1, 60}));
  EXPECT_TRUE(list.Begin("a", {2, 10}));
  EXPECT_EQ(list.EndUnlisted({3, 4}, {}), std::vector<std::string>{"a"});
}

class evacuated_endpoints_test : public testing::Test {
 protected:
  evacuated_endpoints_test() { request.service = "s"; }

  void List(const std::string& id, const std::string& failure_domain) {
    endpoint_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.failure_domain = failure_domain;
    entry.slots = 24;
    registry.Put(kStart, ++version, entry);
  }

  std::string Pick() const {
    const pick_result pick = picker.Pick(kStart, registry, request);
    return pick.chosen ? pick.chosen->entry.id : std::string();
  }

  endpoint_registry registry;
  endpoint_picker picker;
  pick_request request;
  std::uint64_t version = 0;
};

// Guards against work for endpoints of an evacuated domain, whether they were listed before the
// order or after it, and against a domain that stays out after it was taken back.
TEST_F(evacuated_endpoints_test, GetNothingUntilTheDomainIsTakenBack) {
  List("a1", "a");
  List("b1", "b");
  registry.BeginEvacuation(++version, "a");
  List("a2", "a");
  registry.Find("b1")->own_load.requests = 24;
  EXPECT_EQ(Pick(), "b1");
  registry.EndEvacuation(kStart, ++version, "a");
  EXPECT_EQ(Pick().front(), 'a');
}

// Guards against copies of KV caches on engines from which nothing may be resumed.
TEST_F(evacuated_endpoints_test, AreNoTargetsOfCopies) {
  constexpr engine_limits kEngine{24, 34000, true, true};
  request.engine = &kEngine;
  List("a1", "a");
  List("b1", "b");
  registry.BeginEvacuation(++version, "a");
  for (std::uint64_t draw = 1; draw < 100; ++draw) {
    EXPECT_EQ(picker.PickCopyTarget(kStart, registry, request, copy_purpose::kStandby, draw * 997)
                  .chosen->entry.id,
              "b1");
  }
}

// Guards against callers that wait until their deadline for a service that is evacuated as a whole.
TEST_F(evacuated_endpoints_test, AllOfAServiceCountAsLeaving) {
  List("a1", "a");
  List("b1", "b");
  registry.BeginEvacuation(++version, "a");
  registry.BeginEvacuation(++version, "b");
  EXPECT_TRUE(picker.Pick(kStart, registry, request).all_leave);
}

}  // namespace
}  // namespace tarragon::routing
