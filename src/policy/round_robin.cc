#include "tarragon/policy/round_robin.h"

namespace tarragon::policy {

std::optional<std::size_t> round_robin::Choose(std::span<const endpoint_candidate> candidates,
                                               std::mt19937_64& /*random*/) {
  for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
    const std::size_t position = (next_ + offset) % candidates.size();
    if (candidates[position].eligible) {
      next_ = position + 1;
      return position;
    }
  }
  return std::nullopt;
}

}  // namespace tarragon::policy
