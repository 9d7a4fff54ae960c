#ifndef TARRAGON_DECISION_PENDING_CLAIM_TABLE_H_
#define TARRAGON_DECISION_PENDING_CLAIM_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::decision {

/** A claim that this entry requested from the claim table. */
struct pending_claim {
  std::string account;
  std::string key;
  std::string claim_token;
  time_point requested_at;
};

/**
 * Claims that the claim table has not answered yet. A claim is kept after its request has finished,
 * because a row that was written for a finished request must be released.
 */
class pending_claim_table final {
 public:
  void Add(request_id request, pending_claim claim);

  /** Removes and returns the claim; empty if it was answered or dropped before. */
  std::optional<pending_claim> Take(request_id request);

  /** Drops claims requested before `limit`, so that lost answers do not accumulate. */
  void DropOlderThan(time_point limit);

  bool Contains(request_id request) const { return claims_.contains(request); }
  std::size_t size() const { return claims_.size(); }

 private:
  std::map<request_id, pending_claim> claims_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_PENDING_CLAIM_TABLE_H_
