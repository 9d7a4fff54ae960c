#include "tarragon/policy/length_estimator.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

length_estimator::class_lengths::class_lengths() : all(decaying_histogram::options{}) {}

length_estimator::length_estimator(length_estimator_options options) : options_(options) {}

void length_estimator::Record(std::string_view request_class,
                              account_id account,
                              std::uint32_t tokens) {
  auto found = classes_.find(request_class);
  if (found == classes_.end()) {
    found = classes_.try_emplace(std::string(request_class)).first;
  }
  class_lengths& lengths = found->second;
  lengths.all.Record(tokens);
  auto account_lengths = lengths.accounts.find(account);
  if (account_lengths == lengths.accounts.end()) {
    if (lengths.accounts.size() >= options_.max_accounts_per_class) {
      return;
    }
    account_lengths = lengths.accounts.try_emplace(account, decaying_histogram::options{}).first;
  }
  account_lengths->second.Record(tokens);
}

std::uint32_t length_estimator::Predict(std::string_view request_class,
                                        account_id account,
                                        std::uint32_t generated_so_far,
                                        double quantile) const {
  // If no longer generation is known, the current one is assumed to be half done.
  double predicted = std::max<double>(options_.initial_tokens, 2.0 * generated_so_far);
  if (const auto found = classes_.find(request_class); found != classes_.end()) {
    const class_lengths& lengths = found->second;
    const auto account_lengths = lengths.accounts.find(account);
    if (account_lengths != lengths.accounts.end() &&
        account_lengths->second.WeightAbove(generated_so_far) >= options_.min_account_weight) {
      predicted = account_lengths->second.QuantileAbove(generated_so_far, quantile);
    } else if (lengths.all.WeightAbove(generated_so_far) >= 1) {
      predicted = lengths.all.QuantileAbove(generated_so_far, quantile);
    } else if (lengths.all.Weight() > 0) {
      predicted = 2.0 * generated_so_far;
    }
  }
  const auto tokens = static_cast<std::uint32_t>(std::min(std::ceil(predicted), 1e9));
  const std::uint32_t result = std::max(tokens, generated_so_far + 1);
  TARRAGON_INVARIANT(result > generated_so_far,
                     "predicted length does not exceed the generated tokens");
  return result;
}

}  // namespace tarragon::policy
