#include "decision/pending_claim_table.h"

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void pending_claim_table::Add(request_id request, pending_claim claim) {
  const bool inserted = claims_.emplace(request, std::move(claim)).second;
  TARRAGON_INVARIANT(inserted, "two claims of one request");
}

std::optional<pending_claim> pending_claim_table::Take(request_id request) {
  auto node = claims_.extract(request);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

void pending_claim_table::DropOlderThan(time_point limit) {
  std::erase_if(claims_, [limit](const auto& item) { return item.second.requested_at < limit; });
}

}  // namespace tarragon::decision
