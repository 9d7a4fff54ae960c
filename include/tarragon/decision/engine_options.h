#ifndef TARRAGON_DECISION_ENGINE_OPTIONS_H_
#define TARRAGON_DECISION_ENGINE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tarragon::decision {

enum class selector_choice : std::uint8_t { kRoundRobin, kLeastReportedLoad, kTwoChoice };

/** Limits and policy choices of one request engine. */
struct engine_options {
  selector_choice selector = selector_choice::kTwoChoice;
  /** False serves the admission queue first in, first out. */
  bool fair_queue = true;
  /** False admits generations by the number of requests only, without KV cache reservations. */
  bool memory_admission = true;
  bool eject_outliers = true;
  /** False allows retries of several crash suspects at one endpoint at the same time. */
  bool isolate_suspects = true;
  bool hedge_reads = true;
  bool limit_concurrency = true;
  /** Urgent generations do not wait for slots or memory that non-urgent generations hold. */
  bool urgent_bypass = true;
  bool limit_accounts = true;
  bool demote_long_requests = true;

  /**
   * Name of this VM in the operating document. With more than 64 endpoints, the name selects the
   * subset of endpoints that this entry sends to.
   */
  std::string own_vm = {};
  /** Predicted length at which a generation may not use capacity reserved for short requests. */
  std::uint32_t min_long_request_tokens = 1024;

  /** Maximum number of requests that wait for an endpoint. */
  std::size_t max_queued = 2000;
  /** Maximum number of unfinished requests, including those that wait. */
  std::size_t max_open = 6000;
  /** Buffered text of all requests at which new requests with a buffered response are refused. */
  std::size_t max_buffered_bytes = std::size_t{64} << 20;

  /** Generations at an endpoint that refuses connections for this long count as lost. */
  std::chrono::milliseconds loss_timeout{3000};
  /** Time for a disconnected caller to reconnect before its generation is cancelled. */
  std::chrono::milliseconds return_window{15000};
  /** Delay between two attempts to reconnect to a generation at the same endpoint. */
  std::chrono::milliseconds reconnect_interval{200};
  /** Delay before a stream with missing tokens is read again. */
  std::chrono::milliseconds gap_reread_delay{20};
  /** New requests avoid an endpoint for this long after a failed connect. */
  std::chrono::milliseconds connect_backoff{500};
  /** Time for a lost or silent generation to make progress again, even past its deadline. */
  std::chrono::milliseconds recovery_timeout{60000};
  /** Bounds of the `Retry-After` of refusals. */
  std::chrono::milliseconds min_retry_after{100};
  std::chrono::milliseconds max_retry_after{30000};
  /** A generation attempt without any event for this long is treated as a lost connection. */
  std::chrono::milliseconds attempt_silence_timeout{10000};
  /**
   * Once an endpoint answers that it does not know a generation, it has this long to read a send
   * that may still be in its socket buffers. After that the generation counts as lost.
   */
  std::chrono::milliseconds unread_send_timeout{1000};
  /** Time after which the slot of a cancelled attempt counts as free without an outcome. */
  std::chrono::milliseconds cancel_timeout{5000};
  /** Time for which a resumed generation is announced to the other entries by gossip. */
  std::chrono::milliseconds adoption_announcement_period{20000};
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ENGINE_OPTIONS_H_
