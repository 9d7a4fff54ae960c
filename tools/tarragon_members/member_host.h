#ifndef TARRAGON_TOOLS_TARRAGON_MEMBERS_MEMBER_HOST_H_
#define TARRAGON_TOOLS_TARRAGON_MEMBERS_MEMBER_HOST_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/document_server.h"
#include "tarragon/net/gossip_node.h"

namespace tarragon::members {

struct host_options {
  std::string name;
  wire::peer_address gossip;
  wire::peer_address documents;
  std::vector<wire::peer_address> seeds;
  std::string key;
  double loss = 0;
  std::uint64_t seed = 0;
};

/** One member with the parts of a real process: document replica, gossip and document server. */
class member_host final {
 public:
  using newer_document_callback =
      std::function<void(member_host&, const membership::newer_document&)>;

  /** @param on_newer_document called on the I/O thread if a peer has a newer document version. */
  static std::unique_ptr<member_host> Make(net::io_thread& io,
                                           const clock& time,
                                           const host_options& options,
                                           const newer_document_callback& on_newer_document);

  document::document_replica& Replica() { return replica_; }
  net::gossip_node& Gossip() { return *gossip_; }

 private:
  member_host() = default;

  document::document_replica replica_;
  // The server and the gossip node use the replica, so they are declared after it and destroyed
  // before it.
  std::unique_ptr<net::document_server> server_;
  std::unique_ptr<net::gossip_node> gossip_;
};

}  // namespace tarragon::members

#endif  // TARRAGON_TOOLS_TARRAGON_MEMBERS_MEMBER_HOST_H_
