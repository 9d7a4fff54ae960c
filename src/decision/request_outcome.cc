#include "tarragon/decision/request_outcome.h"

#include <fmt/format.h>

namespace tarragon::decision {

std::string_view ClassifyOutcome(finish_reason reason, run_verdict verdict, bool in_time) {
  switch (reason) {
    case finish_reason::kCompleted:
      return in_time ? "whole" : "late";
    case finish_reason::kCancelled:
      return "cancelled";
    // The verdict of a held claim reports on the call that holds it, so it is not used here.
    case finish_reason::kClaimHeld:
      return "rejected";
    default:
      break;
  }
  if (verdict != run_verdict::kNotRun) {
    return "failed";
  }
  const bool caused_by_caller =
      reason == finish_reason::kInvalid || reason == finish_reason::kOverRateLimit ||
      reason == finish_reason::kRefusedByEndpoint || reason == finish_reason::kSuspectRefused;
  return caused_by_caller ? "rejected" : "refused";
}

std::string ClassLabel(std::string_view request_class) {
  std::string label = "class=\"";
  for (const char c : request_class.empty() ? std::string_view("unknown") : request_class) {
    if (c == '\n') {
      label += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      label += '\\';
    }
    label += c;
  }
  return label + '"';
}

std::string OutcomeLabels(std::string_view request_class, std::string_view outcome) {
  return fmt::format("{},outcome=\"{}\"", ClassLabel(request_class), outcome);
}

}  // namespace tarragon::decision
