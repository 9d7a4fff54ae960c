#ifndef TARRAGON_POLICY_RETRY_DECIDER_H_
#define TARRAGON_POLICY_RETRY_DECIDER_H_

#include <cstdint>
#include <variant>

#include "tarragon/base/clock.h"
#include "tarragon/base/run_verdict.h"
#include "tarragon/document/operating_document.h"

namespace tarragon::policy {

class retry_budget;

/** How an attempt ended without a whole answer. */
enum class attempt_end : std::uint8_t {
  /** The endpoint said that it is full; it did not take the request. */
  kDeclined,
  /** The endpoint said that it will never take this request. */
  kRefused,
  /** No connection was made, so no byte was sent. */
  kConnectFailed,
  /** The connection ended, or no byte came within the keep-alive time-out. */
  kConnectionLost,
  /** The endpoint does not know the generation any more. */
  kGenerationLost,
  /** The endpoint answered with something other than the protocol. */
  kBadAnswer,
};

/** Everything that the decision depends on. */
struct retry_facts {
  attempt_end end = attempt_end::kConnectionLost;
  /** Verdict of the attempt that ended. */
  run_verdict attempt_verdict = run_verdict::kMayHaveRun;
  /** Combined verdict of all earlier attempts. */
  run_verdict earlier_verdict = run_verdict::kNotRun;
  /** The request is a generation, which an engine keeps running without a connection. */
  bool generation = true;
  /** The request may run any number of times. */
  bool repeatable = true;
  document::loss_policy on_loss = document::loss_policy::kRestart;
  /** Tokens of the current generation passed on to the caller. */
  std::uint32_t tokens_delivered = 0;
  /** Attempts so far that may have reached an endpoint. */
  std::uint32_t attempts = 1;
  /** How long the endpoint could not be reached; zero if it was reached. */
  duration unreachable_for{0};
  /** Deaths of endpoints that ran this fingerprint, over all entries. */
  std::uint32_t suspect_deaths = 0;
  /** Another attempt of the request is still in flight. */
  bool other_attempt_in_flight = false;
  time_point deadline = time_point::max();
};

/** Attach again to the same generation at the same endpoint. */
struct resume_same {
  duration delay{0};
};

/** Send the request again. */
struct send_again {
  duration delay{0};
  /** The caller must discard the tokens it has. */
  bool restart_stream = false;
  /** Only to an endpoint that runs no other suspect. */
  bool isolated = false;
  /** Prefer any other endpoint than the one that failed. */
  bool elsewhere = true;
};

/** Leave the request to its other attempt. */
struct await_other {};

enum class give_up_cause : std::uint8_t {
  kRefused,
  kDeadline,
  kLost,
  kSuspect,
  kTooManyAttempts,
  kOverBudget,
};

/** Finish the request without an answer. */
struct give_up {
  run_verdict verdict = run_verdict::kMayHaveRun;
  give_up_cause cause = give_up_cause::kLost;
};

using retry_decision = std::variant<resume_same, send_again, await_other, give_up>;

struct retry_options {
  /** Failed connects for this long mean that the endpoint is dead. */
  duration loss_timeout = std::chrono::seconds(3);
  /** Attempts that may have run, for requests that no guarantee covers. */
  std::uint32_t max_attempts = 4;
  std::uint32_t max_suspect_deaths = 3;
  duration resume_delay = std::chrono::milliseconds(50);
  duration decline_delay = std::chrono::milliseconds(20);
};

/** The only place that decides whether and how a request is sent again. */
class retry_decider final {
 public:
  explicit retry_decider(retry_options options = {});

  /** Takes from `budget` when the decision is a `send_again` that puts extra work on endpoints. */
  retry_decision Decide(time_point now, const retry_facts& facts, retry_budget& budget) const;

 private:
  retry_decision DecideLost(const retry_facts& facts,
                            run_verdict verdict,
                            retry_budget& budget) const;

  retry_options options_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_RETRY_DECIDER_H_
