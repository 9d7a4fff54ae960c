#include "decision/world/run_oracle.h"

#include <fmt/format.h>

namespace tarragon::decision {

void run_oracle::RecordGeneration(std::uint64_t caller,
                                  const generation_id& generation,
                                  std::uint32_t total) {
  generations_[generation] = {caller, total};
  ++runs_by_caller_[caller];
  if (reported_not_run_.contains(caller)) {
    AddViolation(
        fmt::format("caller {} received verdict not-run, but its generation ran later", caller));
  }
}

void run_oracle::RecordCall(std::uint64_t caller, const std::string& key, bool repeatable) {
  ++runs_by_caller_[caller];
  if (reported_not_run_.contains(caller)) {
    AddViolation(fmt::format("caller {} received verdict not-run, but its call ran later", caller));
  }
  if (!repeatable && ++runs_by_key_[key] > 1) {
    AddViolation(fmt::format("unrepeatable call {} ran {} times", key, runs_by_key_[key]));
  }
}

void run_oracle::RecordVerdict(std::uint64_t caller, const std::string& key, run_verdict verdict) {
  const auto runs = runs_by_caller_.find(caller);
  const auto key_runs = runs_by_key_.find(key);
  const bool ran = (runs != runs_by_caller_.end() && runs->second > 0) ||
                   (key_runs != runs_by_key_.end() && key_runs->second > 0);
  if (verdict == run_verdict::kNotRun) {
    reported_not_run_.insert(caller);
    if (runs != runs_by_caller_.end() && runs->second > 0) {
      AddViolation(fmt::format("caller {} received verdict not-run after its request ran", caller));
    }
  }
  if (verdict == run_verdict::kRan && !ran) {
    AddViolation(
        fmt::format("caller {} received verdict ran, but no endpoint ran its request", caller));
  }
}

void run_oracle::RecordClaimRelease(const std::string& key, const std::string& claim_token) {
  if (claims_that_ran_.contains(claim_token)) {
    AddViolation(fmt::format("claim on {} was released after its call ran", key));
  }
}

bool run_oracle::IsComplete(std::uint64_t caller,
                            const generation_id& generation,
                            std::uint32_t tokens) const {
  const auto found = generations_.find(generation);
  return found != generations_.end() && found->second.caller == caller &&
         found->second.total == tokens;
}

}  // namespace tarragon::decision
