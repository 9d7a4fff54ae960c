#ifndef TARRAGON_DECISION_STREAM_HANDLER_H_
#define TARRAGON_DECISION_STREAM_HANDLER_H_

#include "decision/dispatcher.h"
#include "decision/engine_core.h"

namespace tarragon::decision {

/** Handles attempts at generations: delivery in order, resumption, and the loss rule. */
class stream_handler final {
 public:
  stream_handler(engine_core& core, dispatcher& queue) : core_(core), queue_(queue) {}

  void OnAccepted(request_record& record, attempt_record& attempt);
  void OnToken(request_record& record, attempt_record& attempt, const token_received& event);
  void OnFinished(request_record& record, attempt_record& attempt, const attempt_finished& event);
  void OnFailed(request_record& record, attempt_record& attempt, const attempt_failed& event);

  /** Attaches a returning caller's request to its generation. */
  void Attach(request_record& record, const endpoint_name& endpoint);

  /** Reconnects what is due and watches for attempts of which nothing is heard. */
  void Tick(request_record& record);

  /** Connects again at the next index to the same generation at the same endpoint. */
  void Reconnect(request_record& record, attempt_id attempt, bool at_once);

 private:
  void Announce(request_record& record, const attempt_record& attempt);
  void Resume(request_record& record, attempt_record& attempt);
  void DeliverHeld(request_record& record);
  void OnConnectFailed(request_record& record, attempt_record& attempt);
  void OnLost(request_record& record, attempt_record& attempt, bool endpoint_died);

  engine_core& core_;
  dispatcher& queue_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_STREAM_HANDLER_H_
