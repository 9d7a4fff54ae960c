#ifndef TARRAGON_STORE_CLAIM_STORE_H_
#define TARRAGON_STORE_CLAIM_STORE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/store/platform_store.h"

namespace tarragon::store {

/** Identifies one unrepeatable call and the request that claims it. */
struct claim_key {
  std::string account;
  /** Idempotency key chosen by the caller. */
  std::string key;
  /** Unique per request; identifies the owner of a row when the response to its write was lost. */
  std::string token;
};

enum class claim_outcome : std::uint8_t {
  /** The row carries this token. */
  kWon,
  /** Another token holds the key without a result, or the key was used with other contents. */
  kHeldByOther,
  /** Another request with this key has completed; its result is recorded. */
  kCompleted,
  /** The table holds no claim with this token. */
  kUnavailable,
  /** The claim may have been written. */
  kUnknown,
};

struct claim_result {
  claim_outcome outcome = claim_outcome::kUnknown;
  int recorded_status = 0;
  std::string recorded_body;
};

/**
 * Claims of unrepeatable calls, in rows `claims/<account>/<key>`. A second row indexes each claim
 * by the hour of its write, so that expired claims are found without a full scan. Thread-safe.
 */
class claim_store final {
 public:
  /** Time after which a key may be reused; longer than any caller retries a call. */
  static constexpr std::chrono::hours kRetention{24};

  /** @param store, time must outlive this object. */
  claim_store(platform_store& store, const clock& time) : store_(store), time_(time) {}

  /** Writes the claim if the key is free. Reads the row back if the response is lost. */
  claim_result Write(const claim_key& claim, fingerprint content);

  /**
   * Records the result. @return kWon if the result is recorded; kHeldByOther if another token holds
   * the claim or the claim has expired; kUnavailable or kUnknown if the call should be retried.
   */
  claim_outcome Complete(const claim_key& claim, int status, const std::string& body);

  /**
   * Deletes a claim whose call has not run. @return kWon if the claim is absent; kHeldByOther if it
   * is completed or another token holds it; kUnavailable or kUnknown as for `Complete`.
   */
  claim_outcome Release(const claim_key& claim);

  /**
   * Deletes claims older than `kRetention`. Any number of processes call it about once an hour.
   * @return the number of deleted claims, or the first error.
   */
  store_result<int> ExpireOld();

 private:
  struct claim_row;

  store_result<claim_row> ReadClaim(const claim_key& claim);
  std::optional<claim_result> ReadBackClaim(const claim_key& claim, fingerprint content);
  claim_outcome ReplaceOrDelete(const claim_key& claim,
                                const std::optional<claim_row>& replacement);
  store_result<int> ExpireHour(std::int64_t hour);
  std::int64_t CurrentHour() const;

  platform_store& store_;
  const clock& time_;
};

}  // namespace tarragon::store

#endif  // TARRAGON_STORE_CLAIM_STORE_H_
