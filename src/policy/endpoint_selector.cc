#include "tarragon/policy/endpoint_selector.h"

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

std::optional<std::size_t> endpoint_selector::Choose(std::span<const endpoint_candidate> candidates,
                                                     std::mt19937_64& random) {
  const auto chosen =
      std::visit([&](auto& rule) { return rule.Choose(candidates, random); }, rule_);
  TARRAGON_INVARIANT(!chosen || candidates[*chosen].eligible, "selected endpoint is not eligible");
  return chosen;
}

}  // namespace tarragon::policy
