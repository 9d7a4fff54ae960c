#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "document/sample_document.h"
#include "store/fake_platform_store.h"
#include "tarragon/base/metrics.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/net/document_client.h"
#include "tarragon/net/document_server.h"
#include "tarragon/net/document_syncer.h"
#include "tarragon/net/gossip_node.h"
#include "tarragon/net/io_thread.h"
#include "tarragon/net/peer_address.h"

namespace tarragon::net {
namespace {

using document::operating_document;
using document::SampleSections;

constexpr const char* kKey = "fleet-key";
constexpr std::chrono::seconds kTimeout{5};
constexpr int kFirstPort = 24700;
constexpr int kLastPort = 24990;

/** Gives the next port of the range to a factory until one can be bound. */
template <typename Make>
auto BindAny(Make make) {
  static int next = kFirstPort;
  while (next < kLastPort) {
    const auto address = *MakePeerAddress("127.0.0.1", static_cast<std::uint16_t>(next++));
    auto made = make(address);
    if (made != nullptr) {
      return std::pair(std::move(made), address);
    }
  }
  return std::pair(decltype(make(wire::peer_address{})){}, wire::peer_address{});
}

template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 2000 && !condition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

class document_exchange_test : public testing::Test {
 protected:
  void Serve(std::uint64_t version) {
    source_.Offer(time_.Now(),
                  operating_document::Make(version, SampleSections("lanhai"), nullptr));
    auto [server, address] = BindAny([this](const wire::peer_address& at) {
      return document_server::Make(io_, at, kKey, source_);
    });
    server_ = std::move(server);
    address_ = address;
    ASSERT_NE(server_, nullptr);
  }

  real_clock time_;
  document::document_replica source_;
  io_thread io_;
  std::unique_ptr<document_server> server_;
  wire::peer_address address_;
};

// Guards against a document that changes on the way to a peer.
TEST_F(document_exchange_test, PeerGetsSameSections) {
  Serve(7);
  const auto fetched = FetchDocument(address_, kKey, nullptr, kTimeout);
  ASSERT_NE(fetched, nullptr);
  EXPECT_EQ(fetched->version(), 7U);
  for (const document::section& entry : SampleSections("lanhai")) {
    ASSERT_NE(fetched->FindSection(entry.name), nullptr);
    EXPECT_EQ(fetched->FindSection(entry.name)->text, entry.text);
    EXPECT_EQ(fetched->FindSection(entry.name)->edit_id, entry.edit_id);
  }
}

// Guards against sending the document to a process that does not hold the fleet key, and against
// replacing a copy by one that is not newer.
TEST_F(document_exchange_test, WrongKeyAndOldVersionGetNothing) {
  Serve(7);
  EXPECT_EQ(FetchDocument(address_, "other", nullptr, kTimeout), nullptr);
  EXPECT_EQ(FetchDocument(address_, kKey, source_.Current(), kTimeout), nullptr);
}

// Guards against sending the whole document, most of which is the fleet, for each small edit.
TEST_F(document_exchange_test, SectionsThatThePeerHasAreNotSentAgain) {
  std::vector<document::section> sections = SampleSections("lanhai");
  for (document::section& entry : sections) {
    entry.author = "kept";
  }
  const auto known = operating_document::Make(6, sections, nullptr);
  ASSERT_NE(known, nullptr);
  sections.front().version += 1;
  for (document::section& entry : sections) {
    entry.author = "sent";
  }
  source_.Offer(time_.Now(), operating_document::Make(7, sections, nullptr));
  Serve(7);
  const auto fetched = FetchDocument(address_, kKey, known, kTimeout);
  ASSERT_NE(fetched, nullptr);
  EXPECT_EQ(fetched->version(), 7U);
  for (const document::section& entry : sections) {
    const bool changed = entry.name == sections.front().name;
    EXPECT_EQ(fetched->FindSection(entry.name)->author, changed ? "sent" : "kept");
  }
}

// Guards against a start that fails while the platform is down although a peer has the document.
TEST_F(document_exchange_test, StartDuringOutageTakesDocumentFromPeer) {
  Serve(7);
  store::fake_platform_store store;
  store.SetFaultScript([](store::store_call) { return store::store_fault::kOutage; });
  store::document_service service(store, {}, [](std::chrono::milliseconds) {});
  document::document_replica replica;
  metrics counters;
  membership::member_view peer;
  peer.gossip = address_;
  peer.document_port = address_.port;
  std::vector<membership::member_view> peers;
  syncer_options options;
  options.key = kKey;
  document_syncer syncer(
      options, replica, service, [&peers] { return peers; }, time_, counters, 1);
  syncer.FindFirst();
  EXPECT_FALSE(syncer.IsReady());
  peers.push_back(peer);
  syncer.FindFirst();
  EXPECT_TRUE(syncer.IsReady());
  EXPECT_EQ(replica.Version(), 7U);
  syncer.CheckPlatform();
  EXPECT_FALSE(replica.ConfirmedAt().has_value());
}

// Guards against a newer version that is missed when the peer that announced it is gone, and
// against going back to an older table.
TEST_F(document_exchange_test, HintFallsBackToPlatformAndNeverReverts) {
  store::fake_platform_store store;
  store::document_service service(store, {}, [](std::chrono::milliseconds) {});
  ASSERT_EQ(service.Initialize(SampleSections("lanhai")).status, store::edit_status::kAccepted);
  document::document_replica replica;
  metrics counters;
  syncer_options options;
  options.key = kKey;
  document_syncer syncer(
      options, replica, service, [] { return std::vector<membership::member_view>(); }, time_,
      counters, 1);
  membership::newer_document hint;
  hint.version = 1;
  hint.document_address = *MakePeerAddress("127.0.0.1", 1);
  syncer.FollowHint(hint);
  EXPECT_EQ(replica.Version(), 1U);
  syncer.CheckPlatform();
  EXPECT_TRUE(replica.ConfirmedAt().has_value());
  replica.Offer(time_.Now(), operating_document::Make(9, SampleSections("lanhai"), nullptr));
  syncer.CheckPlatform();
  EXPECT_EQ(replica.Version(), 9U);
  EXPECT_EQ(counters.Counter("tarragon_document_head_behind_total").Value(), 1);
}

// Guards against members that do not find each other, or do not learn of a version, over real
// sockets.
TEST_F(document_exchange_test, GossipNodesExchangeVersionAndState) {
  std::atomic<std::uint64_t> heard = 0;
  std::atomic<int> states = 0;
  std::vector<std::unique_ptr<gossip_node>> nodes;
  std::vector<wire::peer_address> seeds;
  for (int i = 0; i < 3; ++i) {
    auto [node, address] = BindAny([&](const wire::peer_address& at) {
      gossip_options options;
      options.swim.name = "vm-" + std::to_string(i);
      options.swim.gossip = at;
      options.swim.document_port = 1;
      options.swim.incarnation = 1000;
      options.swim.seeds = seeds;
      options.swim.key = kKey;
      options.swim.period = std::chrono::milliseconds(200);
      options.swim.ack_timeout = std::chrono::milliseconds(100);
      return gossip_node::Make(
          io_, time_, options, static_cast<std::uint64_t>(i) + 1,
          {.on_state =
               [&states](const decision::peer_state_received& received) {
                 states += received.state.endpoints.size() == 1 ? 1 : 0;
               },
           .on_change = nullptr,
           .on_newer_document =
               [&heard](const membership::newer_document& newer) { heard = newer.version; }});
    });
    ASSERT_NE(node, nullptr);
    seeds.push_back(address);
    nodes.push_back(std::move(node));
  }
  EXPECT_TRUE(Eventually([&nodes] {
    return std::ranges::all_of(nodes, [](const auto& node) { return node->AliveCount() == 2; });
  }));
  nodes[0]->SetState({.endpoints = {{.endpoint_hash = 1, .in_flight = 2}},
                      .accounts = {},
                      .suspects = {},
                      .adopted = {}});
  nodes[0]->SetDocumentVersion(5);
  EXPECT_TRUE(Eventually([&heard] { return heard == 5; }));
  EXPECT_TRUE(Eventually([&states] { return states > 0; }));
  io_.Stop();
}

}  // namespace
}  // namespace tarragon::net
