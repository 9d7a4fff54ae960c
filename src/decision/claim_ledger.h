#ifndef TARRAGON_DECISION_CLAIM_LEDGER_H_
#define TARRAGON_DECISION_CLAIM_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::decision {

/** A claim that this entry asked the table for. */
struct pending_claim {
  std::string account;
  std::string key;
  std::string claim_token;
  time_point asked_at;
};

/**
 * Claims of which the answer is outstanding. A claim outlives its request, because a row that was
 * written for a request that has ended must be released.
 */
class claim_ledger final {
 public:
  void Add(request_id request, pending_claim claim);

  /** Removes and returns the claim; empty if its answer came before. */
  std::optional<pending_claim> Take(request_id request);

  /** Forgets claims asked for before `limit`, so that lost answers do not add up. */
  void Forget(time_point limit);

  bool Contains(request_id request) const { return claims_.contains(request); }
  std::size_t size() const { return claims_.size(); }

 private:
  std::map<request_id, pending_claim> claims_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_CLAIM_LEDGER_H_
