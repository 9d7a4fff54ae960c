#ifndef TARRAGON_ROUTING_COPY_PLANNER_H_
#define TARRAGON_ROUTING_COPY_PLANNER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/** Why an engine did not copy a generation to another one. */
enum class copy_failure : std::uint8_t {
  /** The source refuses connections: it finishes its streams at most. */
  kSourceRefused,
  /** The source does not run the generation. */
  kNoSuchRun,
  /** The connection to the source failed or ended without a valid response. */
  kNoResponse,
  /** The source is still making another copy of the generation. */
  kBusy,
  /** The target has no room or cannot be reached. */
  kNoRoom,
};

/** State of a generation and its copies. */
struct copy_situation {
  /** Time since this daemon knows that the source leaves. */
  duration leaving_for{0};
  bool has_backup = false;
  /** The generation would probably miss its pause objective at the backup's engine. */
  bool backup_misses_objective = false;
};

struct no_copy {};
struct copy_now {};
struct copy_after {
  duration delay{0};
};
using copy_step = std::variant<no_copy, copy_now, copy_after>;

/**
 * Decides when a generation at a leaving engine is copied to another one, and when attempts end.
 *
 * Load: all generations of an engine that ends within two seconds share its link, most other
 * engines are full, and the engine stops accepting calls before it ends its streams.
 */
class copy_planner final {
 public:
  /** Forgets the failures at earlier sources. */
  void BeginRun() { *this = {}; }

  /** A copy is complete: the source responds. */
  void OnCompleted();
  void OnFailure(copy_failure failure);

  /** @return what to do while no copy is in progress. */
  copy_step Plan(const copy_situation& situation) const;

  /** @return whether the source can make no further copies. */
  bool is_source_lost() const { return is_source_lost_; }

  /** Called when the delay of `copy_after` has passed. */
  void OnDelayPassed() { is_waiting_ = false; }

  /** @return whether targets that failed before may be tried again. */
  bool is_new_round() const { return failed_targets_ == 0; }

 private:
  /** Attempts at different targets before a delay; the notice has time for about this many. */
  static constexpr std::size_t kAttemptsPerRound = 4;
  /** Delay after the first round. Generations end every few hundred ms, which frees memory. */
  static constexpr std::chrono::milliseconds kRoundDelay{400};
  /** Largest factor on `kRoundDelay`; it doubles with each round. */
  static constexpr int kMaxDelayFactor = 4;
  /** Responses lost in a row after which the source counts as lost; a single one may be a reset. */
  static constexpr std::size_t kMaxLostResponses = 2;
  /**
   * Time after an engine starts to leave in which only generations without a backup are copied. All
   * copies share the engine's link: eight copies take 1.5 s, most of the notice period.
   */
  static constexpr std::chrono::milliseconds kUnprotectedPriorityPeriod{400};

  std::size_t lost_responses_ = 0;
  std::size_t failed_targets_ = 0;
  int delay_factor_ = 0;
  /** A round of attempts has failed. */
  bool is_waiting_ = false;
  bool is_source_lost_ = false;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_COPY_PLANNER_H_
