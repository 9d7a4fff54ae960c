#ifndef TARRAGON_POLICY_LENGTH_ESTIMATOR_H_
#define TARRAGON_POLICY_LENGTH_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "tarragon/base/ids.h"
#include "tarragon/policy/decaying_histogram.h"

namespace tarragon::policy {

struct length_estimator_options {
  /** Prediction for a class without finished generations. */
  std::uint32_t initial_tokens = 256;
  /**
   * An account's own distribution is used if its samples longer than `generated_so_far` have at
   * least this weight; otherwise that of the class is used.
   */
  double min_account_weight = 20;
  /** Further accounts use the distribution of the class, which bounds memory use. */
  std::size_t max_accounts_per_class = 4096;
};

/** Predicts output lengths in tokens from the lengths of finished generations. */
class length_estimator final {
 public:
  explicit length_estimator(length_estimator_options options = {});

  /** Records a finished generation. @param tokens total output length. */
  void Record(std::string_view request_class, account_id account, std::uint32_t tokens);

  /**
   * @param generated_so_far tokens that the generation has produced so far.
   * @param quantile in [0, 1].
   * @return that quantile of the total output length (generated tokens included) among generations
   *     longer than `generated_so_far`; always more than `generated_so_far`.
   */
  std::uint32_t Predict(std::string_view request_class,
                        account_id account,
                        std::uint32_t generated_so_far,
                        double quantile) const;

 private:
  struct class_lengths {
    class_lengths();
    decaying_histogram all;
    std::unordered_map<account_id, decaying_histogram> accounts;
  };

  length_estimator_options options_;
  std::map<std::string, class_lengths, std::less<>> classes_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_LENGTH_ESTIMATOR_H_
