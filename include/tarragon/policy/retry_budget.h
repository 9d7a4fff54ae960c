#ifndef TARRAGON_POLICY_RETRY_BUDGET_H_
#define TARRAGON_POLICY_RETRY_BUDGET_H_

#include <cstdint>

namespace tarragon::policy {

struct retry_budget_options {
  /** Extra attempts allowed per first attempt. */
  double extra_share = 0.05;
  /** Extra attempts allowed before any request was seen, so that a quiet service can retry. */
  double initial = 3;
  /** Most extra attempts saved up. */
  double max_saved = 100;
};

/** Limits hedges and retries of one service to a share of its requests. */
class retry_budget final {
 public:
  explicit retry_budget(retry_budget_options options = {});

  /** Counts one request at its first attempt. */
  void RecordRequest();

  /** @return false if the budget is spent. */
  bool TryTake();

  /**
   * Takes even from a spent budget, for a repeat that a guarantee demands. The debt holds back
   * later hedges and retries.
   */
  void TakeForced();

  double Balance() const { return balance_; }
  void Validate() const;

 private:
  retry_budget_options options_;
  double balance_;
  std::uint64_t requests_ = 0;
  std::uint64_t taken_ = 0;
  std::uint64_t forced_ = 0;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_RETRY_BUDGET_H_
