#ifndef TARRAGON_GATEWAY_REQUEST_HANDLER_H_
#define TARRAGON_GATEWAY_REQUEST_HANDLER_H_

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
#include "tarragon/gateway/caller_request.h"
#include "tarragon/gateway/crash_tracker.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/generation_copies.h"
#include "tarragon/gateway/http_exchange.h"
#include "tarragon/gateway/request_admission.h"
#include "tarragon/gateway/response_writer.h"
#include "tarragon/gateway/stream_progress.h"
#include "tarragon/http/message_reader.h"
#include "tarragon/routing/load_reservation.h"
#include "tarragon/routing/overload_policy.h"
#include "tarragon/routing/recovery_planner.h"
#include "tarragon/routing/room_contention.h"

namespace tarragon::gateway {

/**
 * Handles one request from its arrival to its final response. `request_handler.cc` chooses
 * endpoints and sends, `request_handler_responses.cc` reads and passes on responses, and
 * `request_handler_recovery.cc` decides what follows a failed send.
 */
class request_handler final : public exchange_listener,
                              public std::enable_shared_from_this<request_handler> {
 public:
  /** @param writer must stay valid until the response is complete or `OnCallerGone`. */
  request_handler(gateway_state& gateway, caller_request request, response_writer& writer);
  ~request_handler() override;

  void Start();

  /** Called when the caller has closed its connection; cancels the work at the endpoint. */
  void OnCallerGone();

  /** Called when an endpoint starts to leave; copies an affected generation if necessary. */
  void OnEndpointLeaving(const routing::endpoint& endpoint);

  /** Ends the request because the process exits; the response tells whether it may have run. */
  void EndForProcessExit();

 private:
  /** Retry-After value of refusals for which there is no better estimate. */
  static constexpr std::chrono::milliseconds kDefaultRetryAfter{400};
  /** Silence after which a stream's engine counts as failed; healthy events are tens of ms apart.
   */
  static constexpr std::chrono::milliseconds kStreamSilence{1200};

  // exchange_listener:
  void OnResponseHead(http::message_head head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeError(exchange_error error) override;

  /** Finds out at which software version the stream began that the caller takes up. */
  void FindOrigin();
  void OnOriginFound(const std::optional<routing::take_up_decision>& found);
  /** @return whether other daemons may have to find out at which version this stream began. */
  bool IsResumable() const;
  /** @return what is recorded if the stream is sent to the endpoint. */
  routing::stream_origin OriginAt(const routing::endpoint& target) const;
  /** @return whether the record of the stream's origin allows to send it to the endpoint now. */
  bool MayBeginAt(const routing::endpoint& target);
  void Dispatch();
  /** Waits for an endpoint that accepts work, or refuses the request. */
  void WaitForEndpoint(routing::pick_result pick);
  /** @return whether a version that the list lacks is gone, and not only unknown to this daemon. */
  bool IsListCurrent() const;
  /** Waits for an engine with capacity, or refuses the request. */
  void WaitForCapacity();
  /** Waits for an endpoint that takes one more request by its limit, or refuses the request. */
  void WaitForRoom(duration time_to_room);
  /** @param waits_counter name of the counter of requests that wait. */
  void ExecuteWait(const routing::overload_decision& decision,
                   std::string_view reason,
                   const char* waits_counter);
  void SetWaiting(bool is_waiting);
  /** @return estimated number of requests of all daemons that want the same room as this one. */
  double CountContenders() const;
  /** @return a uniform value in [0, 1). */
  double RandomPoint() const;
  void DispatchAfter(std::chrono::milliseconds delay);
  routing::waiting_request DescribeWait() const;
  /** @param copy KV cache copy to resume from, if any. */
  void SendTo(const routing::endpoint_ptr& target, const std::optional<copy_location>& copy);
  routing::pick_request MakePickRequest() const;

  bool IsResponseToThisRequest(const http::message_head& head) const;
  void HandleStreamBytes(std::string_view bytes);
  /** Sends the head of a streamed response unless it has been sent. */
  void BeginResponse();
  /** Records the time since the previous events. */
  void RecordArrival(const event_batch& batch);
  /** Logs the first event of a stream that was resumed at another engine. */
  void LogStreamResumed(duration pause);
  void FinishBufferedResponse();
  void DropResponseBody();
  void HandleSendFailure(routing::send_failure failure, run_verdict verdict);
  void ExecuteStep(const routing::next_step& step, routing::send_failure failure);
  void ResumeFromCopy();
  void RecordEndpointFailure(routing::send_failure failure);

  void RelayResponse();
  void Refuse(std::string_view reason, std::chrono::milliseconds retry_after);
  void SendError(int status,
                 std::string_view reason,
                 std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
  /**
   * Ends a request that cannot be served: refuses it if it has certainly not run, aborts a started
   * response, and otherwise sends `unknown_status`.
   */
  void FailRequest(std::string_view reason,
                   int unknown_status,
                   std::chrono::milliseconds retry_after = kDefaultRetryAfter);
  void AbortResponse(std::string_view reason);
  void Finish(std::string_view outcome);
  /** The writer may have found while it wrote the response that the caller is gone. */
  void FinishUnlessGone(std::string_view outcome);

  void CloseExchange();
  void ArmTimer();
  void OnTimer();
  std::chrono::milliseconds RemainingTime() const;
  std::chrono::milliseconds Age() const;
  std::optional<time_point> SilenceDeadline() const;
  /** @return whether the rest of a stream ends before a stopping process if it is sent anew now. */
  bool MoveEndsBeforeExit() const;
  /** @return time until which the current endpoint may send nothing and still be sound. */
  time_point SoundUntil() const;
  /** @return whether the request can go on at another endpoint if its current send is ended. */
  bool CanMoveElsewhere() const;
  routing::request_progress Progress() const;

  gateway_state& gateway_;
  caller_request request_;
  response_writer* writer_;
  std::string id_;
  admitted_request admitted_;
  asio::steady_timer timer_;

  // State of the current send.
  std::shared_ptr<http_exchange> exchange_;
  routing::endpoint_ptr target_;
  routing::load_reservation reservation_;
  time_point sent_at_;
  /** Head of the response, or its last event. */
  time_point last_progress_at_;
  /** Counted as a running stream in the silence of `target_`. */
  bool has_begun_at_target_ = false;
  bool skipping_response_ = false;
  bool streaming_ = false;
  http::message_head response_head_;
  std::string response_body_;

  // State over all sends.
  int sends_ = 0;
  /**
   * Connected sends that failed since the last event; not limited over the whole request, because a
   * long stream may outlive any number of engines.
   */
  int sends_without_progress_ = 0;
  /** Failed connects since the last event. */
  int failed_connects_ = 0;
  /** The request has waited for an endpoint with capacity or room. */
  bool waited_ = false;
  bool is_waiting_ = false;
  /** The engine with the copy to resume from has reached its limit. */
  bool awaits_copy_ = false;
  routing::room_contention contention_;
  int runs_ = 0;
  run_verdict verdict_ = run_verdict::kNotRun;
  std::vector<std::string> excluded_endpoints_;
  bool response_started_ = false;
  crash_tracker crashes_;
  stream_progress stream_;
  /** Version of the endpoint software that began the stream; empty before its first event. */
  std::optional<std::string> software_version_;
  std::chrono::milliseconds first_event_delay_{0};
  /** Null until the request has been admitted. */
  std::unique_ptr<generation_copies> copies_;
  bool finished_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_REQUEST_HANDLER_H_
