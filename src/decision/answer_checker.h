#ifndef TARRAGON_DECISION_ANSWER_CHECKER_H_
#define TARRAGON_DECISION_ANSWER_CHECKER_H_

#include <cstdint>
#include <unordered_map>

#include "tarragon/base/ids.h"
#include "tarragon/decision/action.h"

namespace tarragon::decision {

/**
 * Checks the answer that each request's actions give its caller, and aborts on a violation: one
 * generation since the last restart, tokens in order without a gap, one finish and nothing after
 * it. Tracks positions independently of `stream_cursor`, so that it also detects faults there.
 */
class answer_checker final {
 public:
  void Open(request_id request);
  /** Records that the caller already has the tokens of `generation` before `next_index`. */
  void SetResumed(request_id request, generation_id generation, std::uint32_t next_index);
  void Check(const action& emitted);
  bool IsOpen(request_id request) const { return answers_.contains(request); }
  std::size_t size() const { return answers_.size(); }

 private:
  struct answer {
    generation_id generation;
    std::uint32_t next_index = 0;
    bool responded = false;
  };

  answer& GetAnswer(request_id request);
  void CheckAction(const start_stream& start);
  void CheckAction(const restart_stream& restart);
  void CheckAction(const deliver_token& token);
  void CheckAction(const deliver_response& response);
  void CheckAction(const finish_request& finish);
  void CheckAction(const send_attempt& attempt) { GetAnswer(attempt.request); }
  void CheckAction(const resume_attempt& attempt) { GetAnswer(attempt.request); }
  void CheckAction(const write_claim& claim) { GetAnswer(claim.request); }
  template <typename Other>
  void CheckAction(const Other&) {}

  std::unordered_map<request_id, answer> answers_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ANSWER_CHECKER_H_
