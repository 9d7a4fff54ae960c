#ifndef TARRAGON_POLICY_RETRY_DECIDER_H_
#define TARRAGON_POLICY_RETRY_DECIDER_H_

#include <cstdint>
#include <variant>

#include "tarragon/base/clock.h"
#include "tarragon/base/run_verdict.h"
#include "tarragon/document/operating_document.h"

namespace tarragon::policy {

class retry_budget;

/** Why an attempt ended without a complete response. */
enum class attempt_end : std::uint8_t {
  /** The endpoint rejected the request because it is full. */
  kDeclined,
  /** The endpoint rejected the request permanently. */
  kRefused,
  /** The connection could not be established, so no byte was sent. */
  kConnectFailed,
  /** The connection was closed, or no byte arrived within the keep-alive timeout. */
  kConnectionLost,
  /** The endpoint no longer has the generation. */
  kGenerationLost,
  /** The endpoint violated the protocol. */
  kBadAnswer,
};

/** Inputs of a retry decision. */
struct retry_context {
  attempt_end end = attempt_end::kConnectionLost;
  /** Verdict of the attempt that ended. */
  run_verdict attempt_verdict = run_verdict::kMayHaveRun;
  /** Combined verdict of all earlier attempts. */
  run_verdict earlier_verdict = run_verdict::kNotRun;
  /** The request is a generation, which the engine keeps running after a disconnect. */
  bool is_generation = true;
  /** The request may be executed more than once. */
  bool repeatable = true;
  /** Policy for a generation that was lost. */
  document::loss_policy on_loss = document::loss_policy::kRestart;
  /** Tokens of the current generation that were forwarded to the caller. */
  std::uint32_t tokens_delivered = 0;
  /** Number of attempts so far that may have reached an endpoint. */
  std::uint32_t attempts = 1;
  /** Time for which connects to the endpoint have failed; zero if it was reached. */
  duration unreachable_for{0};
  /** Endpoint crashes during requests with this fingerprint, summed over all entries. */
  std::uint32_t suspect_crashes = 0;
  /** Another attempt of the same request is still in flight. */
  bool other_attempt_in_flight = false;
  time_point deadline = time_point::max();
};

/** Reconnect to the same generation at the same endpoint. */
struct resume_generation {
  duration delay{0};
};

/** Send the request in a new attempt. */
struct resend_request {
  duration delay{0};
  /** The caller must be told to discard the tokens received so far. */
  bool restart_stream = false;
  /** Send only to an endpoint that runs no other crash suspect. */
  bool isolated = false;
  /** Prefer any endpoint other than the one that failed. */
  bool avoid_failed_endpoint = true;
};

/** Wait for the attempt that is still in flight. */
struct await_other_attempt {};

enum class give_up_cause : std::uint8_t {
  kRefused,
  kDeadline,
  kLost,
  kSuspect,
  kTooManyAttempts,
  kBudgetExhausted,
};

/** Finish the request without a response. */
struct give_up {
  run_verdict verdict = run_verdict::kMayHaveRun;
  give_up_cause cause = give_up_cause::kLost;
};

using retry_decision =
    std::variant<resume_generation, resend_request, await_other_attempt, give_up>;

struct retry_options {
  /** An endpoint to which connects have failed for this long is considered dead. */
  duration loss_timeout = std::chrono::seconds(3);
  /**
   * Limit of attempts that may have run, for plain calls and for generations that ended with
   * `kBadAnswer`. Lost generations are not limited by it.
   */
  std::uint32_t max_attempts = 4;
  /** A request with this many endpoint crashes is not sent again. */
  std::uint32_t max_suspect_crashes = 3;
  duration resume_delay = std::chrono::milliseconds(50);
  duration decline_delay = std::chrono::milliseconds(20);
};

/** Decides whether and how a request is retried; no other class makes this decision. */
class retry_decider final {
 public:
  explicit retry_decider(retry_options options = {});

  /** Takes from `budget` if the decision is a `resend_request` that adds work for endpoints. */
  retry_decision Decide(time_point now, const retry_context& context, retry_budget& budget) const;

 private:
  retry_decision DecideLost(const retry_context& context,
                            run_verdict verdict,
                            retry_budget& budget) const;

  retry_options options_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_RETRY_DECIDER_H_
