#ifndef TARRAGON_POLICY_MEMORY_LEDGER_H_
#define TARRAGON_POLICY_MEMORY_LEDGER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "tarragon/base/ids.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::policy {

/** KV cache memory that one stream is predicted to need, in tokens. */
struct stream_memory {
  /** Tokens in memory now: prompt and generated tokens. */
  std::uint32_t held = 0;
  /** Tokens that are predicted to be generated from now on. */
  std::uint32_t remaining = 0;
};

/**
 * Predicts the peak memory use of each endpoint. Every stream of an endpoint grows by one token per
 * decode step and frees its memory when it ends, so the peak over time is at most the sum of the
 * streams' own peaks. Admission uses this peak, not the present memory use.
 */
class memory_ledger final {
 public:
  /**
   * Sets the memory of the endpoint and its use by streams of other entries.
   * @param total memory in tokens; 0 means no limit.
   * @param peer_used part of the reported used memory that belongs to other entries' streams.
   * @param peer_streams number of other entries' streams, by gossip. Each counts at least with
   *     the mean memory that this entry's streams hold now. Their growth is not reserved: streams
   *     that end offset it, and reserving it as well left a sixth of the memory unused.
   */
  void SetEndpointMemory(endpoint_index endpoint,
                         std::uint64_t total,
                         std::uint64_t peer_used,
                         std::uint32_t peer_streams);

  /** @return whether the predicted peak stays within the total if the stream is added. */
  bool Fits(endpoint_index endpoint, stream_memory stream) const;

  /** Reserves memory, whether the stream fits or not; `attempt` must not have a reservation. */
  void Reserve(attempt_id attempt, endpoint_index endpoint, stream_memory stream);

  /** Updates the reservation of a stream; unknown attempts are ignored. */
  void Adjust(attempt_id attempt, stream_memory stream);

  /** Frees a reservation. Unknown attempts are ignored, so a release may be repeated. */
  void Release(attempt_id attempt);

  /** @return predicted peak, including other entries' streams. */
  std::uint64_t Peak(endpoint_index endpoint) const;

  /** @return memory that streams of this entry hold now. */
  std::uint64_t OwnHeldMemory(endpoint_index endpoint) const;

  std::uint64_t Total(endpoint_index endpoint) const;

  /** Checks that the reservations and the cached sums agree. */
  void Validate() const;

 private:
  struct reserved_stream {
    attempt_id attempt;
    stream_memory memory;
  };

  struct endpoint_memory {
    std::uint64_t total = 0;
    std::uint64_t peer_used = 0;
    std::uint32_t peer_streams = 0;
    std::uint64_t own_held = 0;
    std::uint64_t own_peak = 0;
    /** Ordered by `remaining`, largest first. */
    std::vector<reserved_stream> streams;
  };

  endpoint_memory& GetOrAddEndpoint(endpoint_index endpoint);
  const endpoint_memory* FindEndpoint(endpoint_index endpoint) const;
  std::uint64_t EstimatePeerMemory(const endpoint_memory& memory) const;
  void Insert(endpoint_memory& memory, reserved_stream stream);
  void Remove(endpoint_memory& memory, attempt_id attempt);
  static void UpdatePeak(endpoint_memory& memory);

  std::vector<endpoint_memory> endpoints_;
  std::unordered_map<attempt_id, endpoint_index> attempts_;
  /** Memory held by all own streams of all endpoints. */
  std::uint64_t own_held_total_ = 0;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_MEMORY_LEDGER_H_
