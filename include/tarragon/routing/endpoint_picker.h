#ifndef TARRAGON_ROUTING_ENDPOINT_PICKER_H_
#define TARRAGON_ROUTING_ENDPOINT_PICKER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::routing {

/** What a request needs at an endpoint. Zeros for calls to plain services. */
struct work_size {
  std::uint32_t prompt_tokens = 0;
  /** Predicted length of the output. */
  std::uint32_t output_tokens = 0;
  /** Longest output that the caller allows; predictions are often far off. */
  std::uint32_t most_output_tokens = 0;

  std::uint32_t tokens() const { return prompt_tokens + output_tokens; }
};

/** Weights of the choice, in the time by which an endpoint is taken to be slower. */
struct picker_options {
  /** Prompt tokens that an engine reads in a millisecond between the steps of other streams: half
   * of what the sheets of both sites give for an idle one. */
  double prompt_tokens_per_ms = 7;
  /** Added for each generation that runs beside: every step gets longer by it. */
  double ms_per_generation = 3;
  /** A row of failures counts as this much for each of them. */
  double ms_per_failure = 50;
  /** Another failure domain: the round trip and the price of the bytes. */
  double ms_other_domain = 3;
  /** An endpoint that is still warming up. */
  double ms_warm_up = 30;
  /**
   * Added for a long stream where its longest pause is likely to pass the objective. A stream that
   * pauses too long is as late as one that begins too late, 1.5 to 1.8 s on both sites.
   */
  double ms_pause_missed = 1400;
  /** Added for a long stream where that is not known yet; a third of some fleets is slow. */
  double ms_pause_unknown = 600;
  /**
   * Added for each long stream at an engine that pauses too long while it reads a prompt. Reading
   * one takes 300 to 600 ms, and a slow moment falls into it about every second time.
   */
  double ms_disturbed_stream = 250;
  /**
   * Added for other work at engines that suit long streams: the time in which such an engine reads
   * half a short prompt, so that it is used once the others have a queue.
   */
  double ms_kept_for_long = 100;
  /** Outputs from this length on are long: the chance of a long pause grows with the events. */
  std::uint32_t long_output_tokens = 120;
  /** Usual time of a plain call; it scales what waits in front of a new one. */
  double ms_plain_call = 60;
  /** Weight of engines in the preferred failure domain. */
  std::uint64_t preferred_domain_weight = 4;
  /** Weight of engines that do not suit long streams as places of backups: as strong as the wish
   * for the same failure domain. */
  std::uint64_t backup_weight = 4;
  /** Divides the weight of an engine of unknown pauses as the place of a standby copy: a third of
   * some fleets is slow. */
  std::uint64_t unknown_pause_divisor = 4;
  /** Share of an engine's memory that predicted needs may fill before it counts as full. */
  double memory_share = 0.95;
};

struct pick_request {
  std::string service;
  work_size size;
  /** Empty for plain services. */
  const engine_limits* engine = nullptr;
  std::string own_failure_domain;
  /** Longest pause between events that the caller is promised; zero for none. */
  std::chrono::milliseconds pause_objective{0};
  /** Where `PickCopy` looks first; empty for no preference. */
  std::string preferred_failure_domain;
  /** Ids of endpoints that must not be used, such as those that have failed the request. */
  std::vector<std::string> excluded;
};

/** Answer of `endpoint_picker::Pick`. */
struct pick_result {
  /** Null if no endpoint takes work. */
  endpoint_ptr chosen;
  /** Whether it has a place and the memory, by the requests known to all daemons. */
  bool has_room = false;
  /** Predicted time until it begins to answer. */
  std::chrono::duration<double, std::milli> expected{0};
};

/** What a copy of a generation's memory is for. */
enum class copy_purpose : std::uint8_t {
  /** Kept in step by the engine, and used if that ends without notice. */
  kBackup,
  /** The generation will go on there soon. */
  kStandby,
};

/** Chooses the endpoint with the lowest expected time to the answer among those with room. */
class endpoint_picker final {
 public:
  explicit endpoint_picker(picker_options options = {}) : options_(options) {}

  pick_result Pick(time_point now,
                   const endpoint_registry& registry,
                   const pick_request& request) const;

  /**
   * Chooses at random among the engines with room, by their free memory. For copies of generations:
   * all daemons place those of a leaving engine at the same moment, and the best engine would get
   * all of them. Backups go to engines that do not suit long streams rather than to those whose
   * memory runs need.
   * @param entropy uniform random bits.
   */
  pick_result PickCopy(time_point now,
                       const endpoint_registry& registry,
                       const pick_request& request,
                       copy_purpose purpose,
                       std::uint64_t entropy) const;

  /**
   * @return whether a long stream is likely to pause there for longer than the request's objective;
   *     empty if that is not known.
   */
  static std::optional<bool> MissesPause(const endpoint_registry& registry,
                                         const endpoint& candidate,
                                         const pick_request& request);

  /** @return whether the request may have a long output and is promised short pauses. */
  bool IsLongStream(const pick_request& request) const;

 private:
  bool HasRoom(const endpoint& candidate, const pick_request& request) const;
  /** @return predicted time until the answer begins, with the weights of the options. */
  double ExpectedMs(time_point now,
                    const endpoint& candidate,
                    const pick_request& request,
                    std::optional<bool> misses_pause) const;
  /** @return weights of what speaks for or against an engine apart from its load. */
  double SuitabilityMs(const endpoint_load& load,
                       const pick_request& request,
                       std::optional<bool> misses_pause) const;
  std::uint64_t CopyWeight(const endpoint& candidate,
                           const pick_request& request,
                           copy_purpose purpose,
                           std::optional<bool> misses_pause) const;

  picker_options options_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENDPOINT_PICKER_H_
