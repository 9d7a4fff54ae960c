#include "member_host.h"

#include <utility>

namespace tarragon::members {

std::unique_ptr<member_host> member_host::Make(net::io_thread& io,
                                               const clock& time,
                                               const host_options& options,
                                               const newer_document_callback& on_newer_document) {
  std::unique_ptr<member_host> host(new member_host());
  host->server_ = net::document_server::Make(io, options.documents, options.key, host->replica_);
  net::gossip_options gossip;
  gossip.swim.name = options.name;
  gossip.swim.gossip = options.gossip;
  gossip.swim.document_port = options.documents.port;
  gossip.swim.incarnation = static_cast<std::uint64_t>(time.WallNow().time_since_epoch().count());
  gossip.swim.seeds = options.seeds;
  gossip.swim.key = options.key;
  gossip.injected_loss = options.loss;
  host->gossip_ =
      net::gossip_node::Make(io, time, gossip, options.seed,
                             {.on_state = nullptr,
                              .on_change = nullptr,
                              .on_newer_document = [raw = host.get(), on_newer_document](
                                                       const membership::newer_document& newer) {
                                if (newer.version > raw->replica_.Version()) {
                                  on_newer_document(*raw, newer);
                                }
                              }});
  if (host->server_ == nullptr || host->gossip_ == nullptr) {
    return nullptr;
  }
  host->replica_.AddListener([raw = host.get()](const document::document_ptr& adopted) {
    raw->gossip_->SetDocumentVersion(adopted->version());
  });
  return host;
}

}  // namespace tarragon::members
