#include "tarragon/store/platform_store.h"

namespace tarragon::store {

std::string_view ToString(store_error error) {
  switch (error) {
    case store_error::kUnavailable:
      return "unavailable";
    case store_error::kUnknownOutcome:
      return "unknown-outcome";
    case store_error::kConflict:
      return "conflict";
    case store_error::kNotFound:
      return "not-found";
    case store_error::kRateLimited:
      return "rate-limited";
    case store_error::kBadAnswer:
      return "bad-answer";
  }
  return "unknown";
}

}  // namespace tarragon::store
