#include "decision/world/run_truth.h"

#include <fmt/format.h>

namespace tarragon::decision {

void run_truth::Generated(std::uint64_t caller,
                          const generation_id& generation,
                          std::uint32_t total) {
  generations_[generation] = {caller, total};
  ++runs_[caller];
  if (told_not_run_.contains(caller)) {
    Violate(fmt::format("caller {} was told not-run and ran later", caller));
  }
}

void run_truth::Called(std::uint64_t caller, const std::string& key, bool repeatable) {
  ++runs_[caller];
  if (told_not_run_.contains(caller)) {
    Violate(fmt::format("caller {} was told not-run and its call ran later", caller));
  }
  if (!repeatable && ++runs_of_key_[key] > 1) {
    Violate(fmt::format("unrepeatable call {} ran {} times", key, runs_of_key_[key]));
  }
}

void run_truth::Told(std::uint64_t caller, const std::string& key, run_verdict verdict) {
  const auto runs = runs_.find(caller);
  const auto key_runs = runs_of_key_.find(key);
  const bool ran = (runs != runs_.end() && runs->second > 0) ||
                   (key_runs != runs_of_key_.end() && key_runs->second > 0);
  if (verdict == run_verdict::kNotRun) {
    told_not_run_.insert(caller);
    if (runs != runs_.end() && runs->second > 0) {
      Violate(fmt::format("caller {} was told not-run after it ran", caller));
    }
  }
  if (verdict == run_verdict::kRan && !ran) {
    Violate(fmt::format("caller {} was told ran although nothing ran", caller));
  }
}

void run_truth::Released(const std::string& key, const std::string& claim_token) {
  if (claims_that_ran_.contains(claim_token)) {
    Violate(fmt::format("claim of {} was released after its call ran", key));
  }
}

bool run_truth::IsWhole(std::uint64_t caller,
                        const generation_id& generation,
                        std::uint32_t tokens) const {
  const auto place = generations_.find(generation);
  return place != generations_.end() && place->second.caller == caller &&
         place->second.total == tokens;
}

}  // namespace tarragon::decision
