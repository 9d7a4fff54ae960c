#ifndef TARRAGON_DECISION_WORLD_CLAIM_TABLE_FAKE_H_
#define TARRAGON_DECISION_WORLD_CLAIM_TABLE_FAKE_H_

#include <map>
#include <string>

#include "tarragon/decision/action.h"
#include "tarragon/decision/event.h"

namespace tarragon::decision {

/** Rows `claims/<account>/<key>` as the platform's table would keep them. */
class claim_table_fake final {
 public:
  /** Writes conditionally and reads back, as the claim store of an entry does. */
  claim_answered Write(const write_claim& what) {
    const auto [place, added] =
        rows_.try_emplace(what.account + "/" + what.key, row{what.claim_token, false, 0, {}});
    const row& found = place->second;
    claim_answered answer;
    answer.request = what.request;
    if (added || found.claim_token == what.claim_token) {
      answer.state = claim_state::kWon;
    } else if (found.completed) {
      answer = {what.request, claim_state::kCompleted, found.status, found.body};
    } else {
      answer.state = claim_state::kHeldByOther;
    }
    return answer;
  }

  void Complete(const complete_claim& what) {
    const auto place = rows_.find(what.account + "/" + what.key);
    if (place != rows_.end() && place->second.claim_token == what.claim_token) {
      place->second = {what.claim_token, true, what.status, what.body};
    }
  }

  void Release(const release_claim& what) {
    const auto place = rows_.find(what.account + "/" + what.key);
    if (place != rows_.end() && place->second.claim_token == what.claim_token &&
        !place->second.completed) {
      rows_.erase(place);
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
