#include "decision/claim_ledger.h"

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void claim_ledger::Add(request_id request, pending_claim claim) {
  const bool added = claims_.emplace(request, std::move(claim)).second;
  TARRAGON_INVARIANT(added, "two claims of one request");
}

std::optional<pending_claim> claim_ledger::Take(request_id request) {
  auto node = claims_.extract(request);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

void claim_ledger::Forget(time_point limit) {
  std::erase_if(claims_, [limit](const auto& item) { return item.second.asked_at < limit; });
}

}  // namespace tarragon::decision
