#include "tarragon/gateway/tunnel_chunks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::gateway {
namespace {

std::string Chunk(std::string_view payload) {
  const tunnel_chunk_header header = MakeTunnelChunkHeader(payload.size());
  return std::string(header.data(), header.size()).append(payload);
}

// Guards against bytes of a response that are lost, or an end that is seen too early, where the
// network splits a chunk.
RC_GTEST_PROP(TunnelChunksTest, AnySplitGivesTheSameBytes, (std::vector<std::string> payloads)) {
  std::erase(payloads, "");
  const std::string expected = std::accumulate(payloads.begin(), payloads.end(), std::string());
  std::string bytes;
  for (const std::string& payload : payloads) {
    bytes += Chunk(payload);
  }
  const std::string ended = bytes + Chunk("") + "ignored";
  const auto cut = *rc::gen::inRange<std::size_t>(0, ended.size());
  tunnel_chunk_reader reader;
  std::string received;
  const auto append = [&received](std::string_view payload) { received += payload; };
  reader.Feed(std::string_view(ended).substr(0, cut), append);
  RC_ASSERT(reader.has_ended() == (cut >= bytes.size() + kTunnelChunkHeaderBytes));
  RC_ASSERT(expected.starts_with(received));
  reader.Feed(std::string_view(ended).substr(cut), append);
  RC_ASSERT(received == expected);
  RC_ASSERT(reader.has_ended());
}

// Guards against a length of more than one byte that is read in the wrong order.
TEST(TunnelChunksTest, LongestChunkIsRead) {
  const std::string payload(kMaxTunnelChunkPayload, 'x');
  tunnel_chunk_reader reader;
  std::string received;
  reader.Feed(Chunk(payload), [&](std::string_view bytes) { received += bytes; });
  EXPECT_EQ(received, payload);
  EXPECT_FALSE(reader.has_ended());
}

}  // namespace
}  // namespace tarragon::gateway
