#ifndef TARRAGON_DECISION_STREAM_HANDLER_H_
#define TARRAGON_DECISION_STREAM_HANDLER_H_

#include "decision/engine_core.h"
#include "decision/retry_handler.h"

namespace tarragon::decision {

/** Handles the attempts of generations: delivery in order, resumption and loss. */
class stream_handler final {
 public:
  stream_handler(engine_core& core, retry_handler& retries) : core_(core), retries_(retries) {}

  void OnAccepted(request_record& record, attempt_record& attempt);
  void OnToken(request_record& record, attempt_record& attempt, const token_received& event);
  void OnFinished(request_record& record, attempt_record& attempt, const attempt_finished& event);
  void OnFailed(request_record& record, attempt_record& attempt, const attempt_failed& event);

  /** Resumes the generation of a caller that reconnected. */
  void ResumeGeneration(request_record& record, const endpoint_name& endpoint);

  /** Resumes the attempt after its backoff, or ends it if it was silent for too long. */
  void Tick(request_record& record);

 private:
  /**
   * @return whether the send of a generation that the endpoint does not know may still be in the
   *     endpoint's socket buffers. An endpoint that was frozen may answer a later resume before it
   *     reads the send.
   */
  bool MayHaveUnreadSend(attempt_record& attempt) const;

  /** Tells the caller which generation its tokens come from, once per generation. */
  void AnnounceGeneration(request_record& record, const attempt_record& attempt);
  void DeliverBuffered(request_record& record);

  engine_core& core_;
  retry_handler& retries_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_STREAM_HANDLER_H_
