#ifndef TARRAGON_GATEWAY_REQUEST_FLOW_H_
#define TARRAGON_GATEWAY_REQUEST_FLOW_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"
#include "tarragon/gateway/answer_sink.h"
#include "tarragon/gateway/caller_request.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/generation_copies.h"
#include "tarragon/gateway/http_exchange.h"
#include "tarragon/gateway/request_admission.h"
#include "tarragon/gateway/stream_progress.h"
#include "tarragon/http/message_reader.h"
#include "tarragon/routing/load_reservation.h"
#include "tarragon/routing/recovery_planner.h"

namespace tarragon::gateway {

/** Carries one request from its arrival to its final answer. */
class request_flow final : public exchange_listener,
                           public std::enable_shared_from_this<request_flow> {
 public:
  /** @param sink must stay valid until the answer is complete or `CallerGone`. */
  request_flow(gateway_state& gateway, caller_request request, answer_sink& sink);
  ~request_flow() override;

  void Start();

  /** The caller closed its connection: ends the work at the endpoint. */
  void CallerGone();

  /** An endpoint begins to leave: makes sure that a generation it concerns has a copy. */
  void EndpointLeaving(const routing::endpoint& which);

  /** The process ends: gives the answer that is true now. */
  void Abandon();

 private:
  // Answers of the endpoint.
  void OnAnswerHead(http::message_head head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerEnd() override;
  void OnExchangeError(exchange_error error) override;

  void Dispatch();
  /** @param copy to go on from; empty sends the request as it came. */
  void SendTo(const routing::endpoint_ptr& target, const std::optional<copy_place>& copy);
  routing::pick_request PickRequest() const;

  bool IsAnswerToThis(const http::message_head& head) const;
  void TakeStreamBytes(std::string_view bytes);
  /** Sends the head of a streamed answer unless the caller has it. */
  void BeginAnswer();
  /** Learns from the time since the events before. */
  void NoteArrival(const event_batch& batch);
  /** The first event of a stream that goes on at another engine. */
  void NoteResumed(duration pause);
  void FinishBuffered();
  void SendFailed(routing::send_failure failure, run_verdict verdict);
  void Carry(const routing::next_step& step, routing::send_failure failure);
  void ResumeFromCopy();
  void NoteEndpointFailure(routing::send_failure failure);
  bool EndedByCrash(routing::send_failure failure) const;

  void Relay();
  void Refuse(std::string_view reason, std::chrono::milliseconds retry_after);
  void AnswerOwn(int status,
                 std::string_view reason,
                 std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
  /** Ends a request that is not served with what is true of it: not run, unknown, or cut off. */
  void EndUnserved(std::string_view reason, int unknown_status);
  void BreakOff(std::string_view reason);
  void Finish(std::string_view outcome);

  void CloseExchange();
  void ArmTimer();
  void OnTimer();
  std::chrono::milliseconds Left() const;
  std::chrono::milliseconds Age() const;
  std::optional<time_point> SilenceLimit() const;
  routing::request_progress Progress() const;

  gateway_state& gateway_;
  caller_request request_;
  answer_sink* sink_;
  std::string id_;
  admitted_request admitted_;
  asio::steady_timer timer_;

  // The present send.
  std::shared_ptr<http_exchange> exchange_;
  routing::endpoint_ptr target_;
  routing::load_reservation booking_;
  time_point sent_at_;
  time_point last_bytes_;
  bool skipping_answer_ = false;
  bool streaming_ = false;
  http::message_head answer_;
  std::string answer_body_;

  // Over all sends.
  int sends_ = 0;
  /** Sends that arrived since the last event; a long stream may outlive any number of engines. */
  int fruitless_sends_ = 0;
  /** Connects that failed since the last event. */
  int failed_connects_ = 0;
  int runs_ = 0;
  run_verdict verdict_ = run_verdict::kNotRun;
  std::vector<std::string> excluded_;
  bool answer_started_ = false;
  stream_progress stream_;
  std::chrono::milliseconds first_event_after_{0};
  /** Set once the request has been accepted. */
  std::unique_ptr<generation_copies> copies_;
  bool finished_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_REQUEST_FLOW_H_
