#ifndef TARRAGON_POLICY_RETRY_BUDGET_H_
#define TARRAGON_POLICY_RETRY_BUDGET_H_

#include <cstdint>

namespace tarragon::policy {

struct retry_budget_options {
  /** Extra attempts that each request adds to the balance. */
  double extra_attempts_per_request = 0.05;
  /** Balance before the first request, so that a service with little traffic can retry. */
  double initial_balance = 3;
  /** Limit of the balance. A debt is limited to the same amount. */
  double max_balance = 100;
};

/** Limits hedges and retries of one service to a fraction of its requests. */
class retry_budget final {
 public:
  explicit retry_budget(retry_budget_options options = {});

  /** Call once per request, at its first attempt. */
  void RecordRequest();

  /** Takes one extra attempt. @return false if the balance is below one. */
  bool TryTake();

  /**
   * Takes one extra attempt even if the balance becomes negative, for a retry that must happen,
   * such as that of a lost generation. The debt delays later hedges and retries.
   */
  void TakeUnconditionally();

  /** @return extra attempts available; negative if `TakeUnconditionally` left a debt. */
  double Balance() const { return balance_; }
  void Validate() const;

 private:
  retry_budget_options options_;
  double balance_;
  std::uint64_t requests_ = 0;
  std::uint64_t taken_ = 0;
  std::uint64_t taken_unconditionally_ = 0;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_RETRY_BUDGET_H_
