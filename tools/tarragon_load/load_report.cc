#include "load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tarragon::load {

namespace {

double ToMilliseconds(offset time) {
  return std::round(std::chrono::duration<double, std::milli>(time).count() * 100) / 100;
}

/** Computes exact quantiles by rank, because the targets are ratios close to one. */
nlohmann::json Quantiles(std::vector<offset> samples) {
  if (samples.empty()) {
    return nullptr;
  }
  std::ranges::sort(samples);
  const auto at = [&samples](double q) {
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(samples.size())));
    return ToMilliseconds(samples[std::max<std::size_t>(rank, 1) - 1]);
  };
  return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", at(1.0)}, {"samples", samples.size()}};
}

nlohmann::json Summarize(const std::vector<const call_result*>& results, offset deadline) {
  nlohmann::json outcomes = nlohmann::json::object();
  std::map<std::string, std::uint32_t> details;
  std::vector<offset> first_token_times;
  std::vector<offset> inter_token_gaps;
  std::vector<offset> total_times;
  std::vector<offset> refusal_times;
  std::uint32_t late = 0;
  std::uint32_t resumes = 0;
  std::uint32_t restarts = 0;
  for (const call_result* result : results) {
    const std::string outcome(ToString(result->outcome));
    outcomes[outcome] = outcomes.value(outcome, 0) + 1;
    resumes += result->resumes;
    restarts += result->restarts;
    if (result->outcome != call_outcome::kOk) {
      ++details[fmt::format("{} {}", result->status, result->detail)];
    }
    if (result->outcome == call_outcome::kNotRun) {
      refusal_times.push_back(result->total_time);
    }
    if (result->outcome == call_outcome::kOk) {
      late += deadline.count() > 0 && result->total_time > deadline ? 1 : 0;
      total_times.push_back(result->total_time);
      first_token_times.push_back(result->time_to_first_token.value_or(result->total_time));
    }
    std::ranges::copy(result->inter_token_gaps, std::back_inserter(inter_token_gaps));
  }
  nlohmann::json summary = {{"sent", results.size()},
                            {"outcomes", outcomes},
                            {"late", late},
                            {"resumes", resumes},
                            {"restarts", restarts},
                            {"first_ms", Quantiles(std::move(first_token_times))},
                            {"whole_ms", Quantiles(std::move(total_times))}};
  summary["gap_ms"] = Quantiles(std::move(inter_token_gaps));
  summary["refusal_ms"] = Quantiles(std::move(refusal_times));
  if (!details.empty()) {
    summary["details"] = details;
  }
  return summary;
}

/** Counts the tokens and answers completed in the phase and within their deadline. */
nlohmann::json Goodput(const std::vector<call_result>& results,
                       const report_options& options,
                       offset start,
                       offset end) {
  std::uint64_t tokens = 0;
  std::uint64_t answers = 0;
  for (const call_result& result : results) {
    const offset deadline = options.deadlines[static_cast<std::size_t>(result.request.kind)];
    const offset ended = result.request.due + result.total_time;
    if (result.outcome == call_outcome::kOk && ended >= start && ended < end &&
        (deadline.count() == 0 || result.total_time <= deadline)) {
      tokens += result.request.tokens;
      ++answers;
    }
  }
  const double seconds = std::chrono::duration<double>(end - start).count();
  return {{"tokens_per_s", std::round(static_cast<double>(tokens) / seconds)},
          {"answers_per_s", std::round(static_cast<double>(answers) / seconds * 10) / 10}};
}

nlohmann::json MakePhaseReport(const std::vector<call_result>& results,
                               const report_options& options,
                               offset start,
                               offset end) {
  nlohmann::json part = {{"from_s", std::chrono::duration<double>(start).count()},
                         {"goodput", Goodput(results, options, start, end)}};
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind) {
    std::vector<const call_result*> phase_results;
    for (const call_result& result : results) {
      if (result.request.kind == static_cast<request_kind>(kind) && result.request.due >= start &&
          result.request.due < end) {
        phase_results.push_back(&result);
      }
    }
    if (!phase_results.empty()) {
      part["kinds"][std::string(ToString(static_cast<request_kind>(kind)))] =
          Summarize(phase_results, options.deadlines[kind]);
    }
  }
  return part;
}

std::string FormatP50AndP99(const nlohmann::json& quantiles) {
  return quantiles.is_null() ? "-"
                             : fmt::format("{:.1f}/{:.1f}", quantiles["p50"].get<double>(),
                                           quantiles["p99"].get<double>());
}

}  // namespace

nlohmann::json MakeReport(const std::vector<call_result>& results, const report_options& options) {
  nlohmann::json report = nlohmann::json::object();
  for (std::size_t i = 0; i < options.phases.size(); ++i) {
    const run_phase& phase = options.phases[i];
    const offset end = i + 1 < options.phases.size() ? options.phases[i + 1].start : options.length;
    report[phase.name] = MakePhaseReport(results, options, phase.start, end);
  }
  if (options.phases.size() > 1) {
    report["all"] = MakePhaseReport(results, options, options.phases.front().start, options.length);
  }
  return report;
}

std::string MakeTable(const nlohmann::json& report) {
  std::string table = fmt::format(
      "{:10} {:6} {:>6} {:>6} {:>7} {:>5} {:>5} {:>5} {:>5} {:>5} {:>17} {:>15} {:>17} {:>13}\n",
      "phase", "kind", "sent", "ok", "not_run", "may", "lost", "wrong", "left", "late",
      "first p50/p99", "gap p50/p99", "whole p50/p99", "refusal");
  for (const auto& [phase, part] : report.items()) {
    if (!part.contains("kinds")) {
      continue;
    }
    for (const auto& [kind, summary] : part["kinds"].items()) {
      const auto& outcomes = summary["outcomes"];
      table += fmt::format(
          "{:10} {:6} {:>6} {:>6} {:>7} {:>5} {:>5} {:>5} {:>5} {:>5} {:>17} {:>15} {:>17} "
          "{:>13}\n",
          phase, kind, summary["sent"].get<int>(), outcomes.value("ok", 0),
          outcomes.value("not_run", 0), outcomes.value("may_have_run", 0),
          outcomes.value("lost", 0), outcomes.value("wrong", 0), outcomes.value("abandoned", 0),
          summary["late"].get<int>(), FormatP50AndP99(summary["first_ms"]),
          FormatP50AndP99(summary["gap_ms"]), FormatP50AndP99(summary["whole_ms"]),
          FormatP50AndP99(summary["refusal_ms"]));
    }
    table += fmt::format("{:10} goodput {} tokens/s, {} answers/s\n", phase,
                         part["goodput"]["tokens_per_s"].get<double>(),
                         part["goodput"]["answers_per_s"].get<double>());
  }
  return table;
}

}  // namespace tarragon::load
