#ifndef TARRAGON_GATEWAY_RELAY_MESSAGE_H_
#define TARRAGON_GATEWAY_RELAY_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragon/gateway/table_replica.h"
#include "tarragon/routing/peer_loads.h"

namespace tarragon::gateway {

/** What the daemon that has opened a connection wants. */
enum class subscription_kind : std::uint8_t {
  kRows,
  /** Loads, from the daemon above it in the tree of the failure domain. */
  kTreeLoads,
  /** Loads, from the root of another failure domain. */
  kRootLoads,
};

/** First message of the daemon that has opened the connection. */
struct relay_subscription {
  std::string vm;
  subscription_kind kind = subscription_kind::kRows;
  /** Version of each table that the follower has; empty if none. */
  std::vector<routing::store_version> versions;
};

/** Message of a source: an update of one table. */
struct relay_update {
  std::uint8_t table = 0;
  /** The source's last call to the store failed, or its own source said so. */
  bool store_lost = false;
  table_update update;
};

/** Loads of the sender's side of the connection that have changed. */
struct relay_loads {
  std::vector<routing::endpoint_load_report> changes;
};

/** Only message of a daemon that wants the connection to become one to an endpoint. */
struct tunnel_request {
  std::string endpoint_id;
  /**
   * The daemon reads the endpoint's bytes in chunks. Sent after all other fields, where daemons of
   * earlier versions ignore it.
   */
  bool accepts_chunks = false;
};

using relay_message = std::variant<relay_subscription, relay_update, relay_loads, tunnel_request>;

/** Bytes of a frame before its payload: length and checksum. */
inline constexpr std::size_t kFrameHeaderBytes = 12;
/** Longer frames are rejected; a table of 5,000 endpoints has about 2 MB. */
inline constexpr std::size_t kMaxFramePayload = std::size_t{8} << 20;

/** @return the message as one frame. */
std::string EncodeFrame(const relay_message& message);

/** Splits the bytes of a connection into messages. */
class relay_frame_reader final {
 public:
  /**
   * Appends the complete messages in `bytes` and earlier bytes to `messages`.
   * @return false if the bytes are not frames; the connection is then useless.
   */
  bool Feed(std::string_view bytes, std::vector<relay_message>& messages);

  /** A message has been received in part. */
  bool has_partial_message() const { return !buffer_.empty(); }

 private:
  std::string buffer_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_RELAY_MESSAGE_H_
