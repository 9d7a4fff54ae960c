#ifndef TARRAGON_DECISION_ANSWER_CHECKER_H_
#define TARRAGON_DECISION_ANSWER_CHECKER_H_

#include <cstdint>
#include <unordered_map>

#include "tarragon/base/ids.h"
#include "tarragon/decision/action.h"

namespace tarragon::decision {

/**
 * Follows the actions as a caller sees them and aborts on a broken promise: one generation since
 * the last restart, tokens in order without a gap, one finish and nothing after it. Keeps its own
 * positions, so that a fault in the stream cursor does not hide from it.
 */
class answer_checker final {
 public:
  void Open(request_id request);
  /** The caller already has the tokens of `generation` before `next_index`. */
  void SetResumed(request_id request, generation_id generation, std::uint32_t next_index);
  void Check(const action& what);
  bool IsOpen(request_id request) const { return answers_.contains(request); }
  std::size_t size() const { return answers_.size(); }

 private:
  struct answer {
    generation_id generation;
    std::uint32_t next_index = 0;
    bool responded = false;
  };

  answer& At(request_id request);
  void CheckOne(const start_stream& what);
  void CheckOne(const restart_stream& what);
  void CheckOne(const deliver_token& what);
  void CheckOne(const deliver_response& what);
  void CheckOne(const finish_request& what);
  void CheckOne(const send_attempt& what) { At(what.request); }
  void CheckOne(const resume_attempt& what) { At(what.request); }
  void CheckOne(const write_claim& what) { At(what.request); }
  template <typename Other>
  void CheckOne(const Other&) {}

  std::unordered_map<request_id, answer> answers_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ANSWER_CHECKER_H_
