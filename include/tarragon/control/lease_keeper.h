#ifndef TARRAGON_CONTROL_LEASE_KEEPER_H_
#define TARRAGON_CONTROL_LEASE_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "tarragon/base/clock.h"
#include "tarragon/control/lease_record.h"
#include "tarragon/store/platform_store.h"

namespace tarragon::control {

struct lease_options {
  /** Lease duration: a holder may act for this time after it sent its last successful write. */
  std::chrono::milliseconds term{6000};
  std::chrono::milliseconds renew_interval{2000};
  /**
   * A successor waits this much longer than the term before it writes, because the clocks of two
   * machines run at different rates.
   */
  std::chrono::milliseconds successor_margin{2000};
  /** Interval between reads while another process holds the lease. */
  std::chrono::milliseconds poll_interval{1000};
};

/** Asks the owner to read the lease row. */
struct read_lease {};

/** Asks the owner to write the lease row if it still has `expected_version` (0: no row exists). */
struct write_lease {
  std::uint64_t expected_version = 0;
  lease_record record;
};

using lease_call = std::variant<read_lease, write_lease>;

/**
 * State machine that acquires and renews the lease. Only the lease holder may send orders to
 * engines. Performs no I/O: the owner performs the call that `NextCall` returns and reports the
 * answer. Never compares clocks of different processes.
 */
class lease_keeper final {
 public:
  /** @param holder name of this process; each start of the process uses a new name. */
  lease_keeper(std::string holder, lease_options options);

  /** @return the call that is due, or empty. At most one call is in flight at a time. */
  std::optional<lease_call> NextCall(time_point now);

  /** @param answer the row, or kNotFound if no row exists. */
  void OnRead(time_point now, const store::store_result<store::row>& answer);

  /** @param answer new version of the row. */
  void OnWritten(time_point now, const store::store_result<std::uint64_t>& answer);

  /** Gives up the lease for good: stops holding it at once and releases it with the next write. */
  void Resign();

  /** @return whether this process still holds the lease at `now + work`. */
  bool IsHeldFor(time_point now, duration work) const;

  /** @return fencing number under which this process last held the lease; 0 if it never did. */
  std::uint64_t fencing_number() const { return fencing_number_; }

  /** @return whether `Resign` has released the lease, or this process did not hold it. */
  bool HasResigned() const;

  /** Checks the invariants between the fields; aborts the process if one is broken. */
  void Validate() const;

 private:
  struct observed_row {
    std::uint64_t version = 0;
    lease_record record;
    /** When this process first read this version. */
    time_point first_seen;
  };

  void RecordObservedRow(time_point now, std::uint64_t version, const lease_record& record);
  void ExtendValidity(time_point until);
  lease_call StartWrite(time_point now, lease_record record);
  bool CanAcquire(time_point now) const;
  bool IsRowHeldBySelf() const;

  const std::string holder_;
  const lease_options options_;
  std::optional<observed_row> observed_row_;
  /** Last write, until its outcome is known. */
  std::optional<write_lease> unresolved_write_;
  time_point write_sent_at_;
  /** This process holds the lease until this time, by its last successful write. */
  time_point valid_until_;
  time_point next_call_at_;
  std::uint64_t fencing_number_ = 0;
  std::uint64_t write_number_ = 0;
  bool call_in_flight_ = false;
  bool resigning_ = false;
};

}  // namespace tarragon::control

#endif  // TARRAGON_CONTROL_LEASE_KEEPER_H_
