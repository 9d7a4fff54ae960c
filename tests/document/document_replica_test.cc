#include "tarragon/document/document_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <thread>
#include <vector>

#include "document/sample_document.h"

namespace tarragon::document {
namespace {

document_ptr MakeDocument(std::uint64_t version) {
  return operating_document::MakeForTesting(version, {});
}

// Guards against a version decrease when copies arrive in any order.
RC_GTEST_PROP(DocumentReplica, NeverReverts, (const std::vector<std::uint8_t>& versions)) {
  document_replica replica;
  std::uint64_t newest = 0;
  std::uint64_t announced = 0;
  replica.AddListener([&announced](const document_ptr& document) {
    RC_ASSERT(document->version() > announced);
    announced = document->version();
  });
  for (const std::uint8_t version : versions) {
    const std::uint64_t offered = std::uint64_t{version} + 1;
    const bool adopted =
        replica.Offer(time_point(), MakeDocument(offered)) == offer_outcome::kAdopted;
    RC_ASSERT(adopted == (offered > newest));
    newest = std::max(newest, offered);
    RC_ASSERT(replica.Version() == newest);
  }
  RC_ASSERT(announced == newest);
}

// Guards against a reader that sees the version decrease while several threads offer documents.
TEST(DocumentReplica, ConcurrentOffersKeepOrder) {
  constexpr std::uint64_t kVersions = 500;
  document_replica replica;
  std::uint64_t last = 0;
  replica.AddListener([&last](const document_ptr& document) {
    EXPECT_GT(document->version(), last);
    last = document->version();
  });
  std::vector<std::jthread> writers;
  for (std::uint64_t start = 1; start <= 4; ++start) {
    writers.emplace_back([&replica, start] {
      for (std::uint64_t version = start; version <= kVersions; version += 3) {
        replica.Offer(time_point(), MakeDocument(version));
      }
    });
  }
  std::uint64_t seen = 0;
  while (seen < kVersions - 3) {
    const std::uint64_t now = replica.Version();
    ASSERT_GE(now, seen);
    seen = now;
  }
}

// Guards against adopting a document with a higher version but an older section.
TEST(DocumentReplica, RefusesRevertedSection) {
  std::vector<section> sections = SampleSections("lanhai");
  document_replica replica;
  sections[0].version = 5;
  ASSERT_EQ(replica.Offer(time_point(), operating_document::Make(5, sections, nullptr)),
            offer_outcome::kAdopted);
  sections[0].version = 4;
  EXPECT_EQ(replica.Offer(time_point(), operating_document::Make(6, sections, nullptr)),
            offer_outcome::kInconsistent);
  EXPECT_EQ(replica.Version(), 5U);
}

// Guards against applying the confirmation of another version to the document in force.
TEST(DocumentReplica, ConfirmationAppliesToVersionInForce) {
  document_replica replica;
  const time_point now{std::chrono::seconds(5)};
  replica.Offer(now, MakeDocument(3));
  replica.Confirm(now, 2);
  EXPECT_FALSE(replica.ConfirmedAt().has_value());
  replica.Confirm(now, 3);
  EXPECT_EQ(replica.ConfirmedAt(), now);
  replica.Offer(now, MakeDocument(4));
  EXPECT_FALSE(replica.ConfirmedAt().has_value());
}

}  // namespace
}  // namespace tarragon::document
