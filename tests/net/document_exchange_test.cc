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

/** Calls `make` with one port of the range after another until one can be bound. */
template <typename Make>
auto BindNextFreePort(Make make) {
  static int next_port = kFirstPort;
  while (next_port < kLastPort) {
    const auto address = *MakePeerAddress("127.0.0.1", static_cast<std::uint16_t>(next_port++));
    auto bound = make(address);
    if (bound != nullptr) {
      return std::pair(std::move(bound), address);
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
  void ServeVersion(std::uint64_t version) {
    server_replica_.Offer(time_.Now(),
                          operating_document::Make(version, SampleSections("lanhai"), nullptr));
    auto [server, address] = BindNextFreePort([this](const wire::peer_address& candidate) {
      return document_server::Make(io_, candidate, kKey, server_replica_);
    });
    server_ = std::move(server);
    address_ = address;
    ASSERT_NE(server_, nullptr);
  }

  real_clock time_;
  document::document_replica server_replica_;
  io_thread io_;
  std::unique_ptr<document_server> server_;
  wire::peer_address address_;
};

// Guards against a document that is altered during the transfer to a peer.
TEST_F(document_exchange_test, PeerGetsSameSections) {
  ServeVersion(7);
  const auto fetched = FetchDocument(address_, kKey, nullptr, kTimeout);
  ASSERT_NE(fetched, nullptr);
  EXPECT_EQ(fetched->version(), 7U);
  for (const document::section& section : SampleSections("lanhai")) {
    ASSERT_NE(fetched->FindSection(section.name), nullptr);
    EXPECT_EQ(fetched->FindSection(section.name)->text, section.text);
    EXPECT_EQ(fetched->FindSection(section.name)->edit_id, section.edit_id);
  }
}

// Guards against serving the document to a process without the fleet key, and against replacing a
// document by one that is not newer.
TEST_F(document_exchange_test, WrongKeyAndOldVersionGetNothing) {
  ServeVersion(7);
  EXPECT_EQ(FetchDocument(address_, "other", nullptr, kTimeout), nullptr);
  EXPECT_EQ(FetchDocument(address_, kKey, server_replica_.Current(), kTimeout), nullptr);
}

// Guards against sending the whole document, most of which is the fleet, after each small edit.
TEST_F(document_exchange_test, SectionsKnownToThePeerAreNotSentAgain) {
  std::vector<document::section> sections = SampleSections("lanhai");
  for (document::section& section : sections) {
    section.author = "kept";
  }
  const auto known = operating_document::Make(6, sections, nullptr);
  ASSERT_NE(known, nullptr);
  sections.front().version += 1;
  for (document::section& section : sections) {
    section.author = "sent";
  }
  server_replica_.Offer(time_.Now(), operating_document::Make(7, sections, nullptr));
  ServeVersion(7);
  const auto fetched = FetchDocument(address_, kKey, known, kTimeout);
  ASSERT_NE(fetched, nullptr);
  EXPECT_EQ(fetched->version(), 7U);
  for (const document::section& section : sections) {
    const bool changed = section.name == sections.front().name;
    EXPECT_EQ(fetched->FindSection(section.name)->author, changed ? "sent" : "kept");
  }
}

// Guards against a failed start during a platform outage although a peer has the document.
TEST_F(document_exchange_test, StartDuringOutageTakesDocumentFromPeer) {
  ServeVersion(7);
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
  syncer.LoadInitialDocument();
  EXPECT_FALSE(syncer.IsReady());
  peers.push_back(peer);
  syncer.LoadInitialDocument();
  EXPECT_TRUE(syncer.IsReady());
  EXPECT_EQ(replica.Version(), 7U);
  syncer.PollPlatformHead();
  EXPECT_FALSE(replica.ConfirmedAt().has_value());
}

// Guards against missing a newer version when the peer that announced it is unreachable, and
// against reverting to an older version from the platform.
TEST_F(document_exchange_test, AnnouncementFallsBackToPlatformAndNeverReverts) {
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
  membership::newer_document announcement;
  announcement.version = 1;
  announcement.document_address = *MakePeerAddress("127.0.0.1", 1);
  syncer.FetchAnnouncedVersion(announcement);
  EXPECT_EQ(replica.Version(), 1U);
  syncer.PollPlatformHead();
  EXPECT_TRUE(replica.ConfirmedAt().has_value());
  replica.Offer(time_.Now(), operating_document::Make(9, SampleSections("lanhai"), nullptr));
  syncer.PollPlatformHead();
  EXPECT_EQ(replica.Version(), 9U);
  EXPECT_EQ(counters.Counter("tarragon_document_head_behind_total").Value(), 1);
}

// Guards against members that do not discover each other over real sockets, or do not receive the
// announced document version and the state of a peer.
TEST_F(document_exchange_test, GossipNodesExchangeVersionAndState) {
  std::atomic<std::uint64_t> announced_version = 0;
  std::atomic<int> received_states = 0;
  std::vector<std::unique_ptr<gossip_node>> nodes;
  std::vector<wire::peer_address> seeds;
  for (int i = 0; i < 3; ++i) {
    auto [node, address] = BindNextFreePort([&](const wire::peer_address& candidate) {
      gossip_options options;
      options.swim.name = "vm-" + std::to_string(i);
      options.swim.gossip = candidate;
      options.swim.document_port = 1;
      options.swim.incarnation = 1000;
      options.swim.seeds = seeds;
      options.swim.key = kKey;
      options.swim.period = std::chrono::milliseconds(200);
      options.swim.ack_timeout = std::chrono::milliseconds(100);
      return gossip_node::Make(
          io_, time_, options, static_cast<std::uint64_t>(i) + 1,
          {.on_state =
               [&received_states](const decision::peer_state_received& received) {
                 received_states += received.state.endpoints.size() == 1 ? 1 : 0;
               },
           .on_change = nullptr,
           .on_newer_document =
               [&announced_version](const membership::newer_document& newer) {
                 announced_version = newer.version;
               }});
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
  EXPECT_TRUE(Eventually([&announced_version] { return announced_version == 5; }));
  EXPECT_TRUE(Eventually([&received_states] { return received_states > 0; }));
  io_.Stop();
}

}  // namespace
}  // namespace tarragon::net
