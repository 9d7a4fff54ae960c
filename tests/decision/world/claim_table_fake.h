#ifndef TARRAGON_DECISION_WORLD_CLAIM_TABLE_FAKE_H_
#define TARRAGON_DECISION_WORLD_CLAIM_TABLE_FAKE_H_

#include <map>
#include <string>

#include "tarragon/decision/action.h"
#include "tarragon/decision/event.h"

namespace tarragon::decision {

/** Rows `claims/<account>/<key>`, stored as in the platform's table. */
class claim_table_fake final {
 public:
  /** Writes the row unless it exists, then reads it, as the claim store of an entry does. */
  claim_answered Write(const write_claim& claim) {
    const auto [position, added] =
        rows_.try_emplace(claim.account + "/" + claim.key, row{claim.claim_token, false, 0, {}});
    const row& found = position->second;
    claim_answered answer;
    answer.request = claim.request;
    if (added || found.claim_token == claim.claim_token) {
      answer.state = claim_state::kWon;
    } else if (found.completed) {
      answer = {claim.request, claim_state::kCompleted, found.status, found.body};
    } else {
      answer.state = claim_state::kHeldByOther;
    }
    return answer;
  }

  void Complete(const complete_claim& claim) {
    const auto position = rows_.find(claim.account + "/" + claim.key);
    if (position != rows_.end() && position->second.claim_token == claim.claim_token) {
      position->second = {claim.claim_token, true, claim.status, claim.body};
    }
  }

  void Release(const release_claim& claim) {
    const auto position = rows_.find(claim.account + "/" + claim.key);
    if (position != rows_.end() && position->second.claim_token == claim.claim_token &&
        !position->second.completed) {
      rows_.erase(position);
    }
  }

 private:
  struct row {
    std::string claim_token;
    bool completed = false;
    int status = 0;
    std::string body;
  };

  std::map<std::string, row> rows_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_CLAIM_TABLE_FAKE_H_
