#ifndef TARRAGON_POLICY_MEMORY_LEDGER_H_
#define TARRAGON_POLICY_MEMORY_LEDGER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "tarragon/base/ids.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::policy {

/** Memory that one stream is predicted to need, in tokens. */
struct stream_memory {
  /** Tokens held now: prompt and generated. */
  std::uint32_t held = 0;
  /** Tokens still to come. */
  std::uint32_t remaining = 0;
};

/**
 * Predicts the peak of memory in use per endpoint. All streams of an endpoint grow by one token per
 * step and free their memory at their end, so the peak over the time profile is lower than the sum
 * of the streams' own peaks. Admission is by this peak, not by the memory in use now.
 */
class memory_ledger final {
 public:
  /**
   * Sets what the endpoint reported of itself.
   * @param total memory in tokens; 0 means no limit.
   * @param others_used part of the used memory that belongs to other entries' streams.
   * @param others_streams number of other entries' streams by gossip. If they are more than
   *     `others_used` accounts for, each counts with the mean that own streams hold now. Their
   * growth is not added: it is offset by the streams that end, and reserving it twice left a sixth
   * of the memory unused.
   */
  void SetEndpoint(endpoint_index endpoint,
                   std::uint64_t total,
                   std::uint64_t others_used,
                   std::uint32_t others_streams);

  /** @return whether the stream can be added without the predicted peak passing the total. */
  bool Fits(endpoint_index endpoint, stream_memory stream) const;

  /** Books the stream, whether it fits or not; `attempt` must not be booked. */
  void Reserve(attempt_id attempt, endpoint_index endpoint, stream_memory stream);

  /** Takes a newer state of a booked stream; unknown attempts are ignored. */
  void Adjust(attempt_id attempt, stream_memory stream);

  /** Unknown attempts are ignored, so a release may be repeated. */
  void Release(attempt_id attempt);

  /** @return predicted peak including other entries' streams. */
  std::uint64_t Peak(endpoint_index endpoint) const;

  /** @return memory that own streams hold now. */
  std::uint64_t OwnHeld(endpoint_index endpoint) const;

  std::uint64_t Total(endpoint_index endpoint) const;

  /** Checks that the bookings and the cached sums agree. */
  void Validate() const;

 private:
  struct booked_stream {
    attempt_id attempt;
    stream_memory memory;
  };

  struct account_book {
    std::uint64_t total = 0;
    std::uint64_t others_used = 0;
    std::uint32_t others_streams = 0;
    std::uint64_t own_held = 0;
    std::uint64_t own_peak = 0;
    /** Longest remaining first. */
    std::vector<booked_stream> streams;
  };

  account_book& Book(endpoint_index endpoint);
  const account_book* FindBook(endpoint_index endpoint) const;
  std::uint64_t OthersPeak(const account_book& book) const;
  void Insert(account_book& book, booked_stream stream);
  void Take(account_book& book, attempt_id attempt);
  static void UpdatePeak(account_book& book);

  std::vector<account_book> books_;
  std::unordered_map<attempt_id, endpoint_index> attempts_;
  /** Sum of held memory over all own streams. */
  std::uint64_t held_sum_ = 0;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_MEMORY_LEDGER_H_
