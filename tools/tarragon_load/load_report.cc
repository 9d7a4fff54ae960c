#include "load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tarragon::load {

namespace {

double Milliseconds(offset time) {
  return std::round(std::chrono::duration<double, std::milli>(time).count() * 100) / 100;
}

/** Exact quantiles by rank, since the targets are ratios close to one. */
nlohmann::json Quantiles(std::vector<offset> samples) {
  if (samples.empty()) {
    return nullptr;
  }
  std::ranges::sort(samples);
  const auto at = [&samples](double q) {
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(samples.size())));
    return Milliseconds(samples[std::max<std::size_t>(rank, 1) - 1]);
  };
  return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", at(1.0)}, {"samples", samples.size()}};
}

nlohmann::json Summarize(const std::vector<const call_result*>& results, offset deadline) {
  nlohmann::json ends = nlohmann::json::object();
  std::map<std::string, std::uint32_t> details;
  std::vector<offset> first;
  std::vector<offset> gaps;
  std::vector<offset> whole;
  std::vector<offset> refusal;
  std::uint32_t late = 0;
  std::uint32_t resumes = 0;
  std::uint32_t restarts = 0;
  for (const call_result* result : results) {
    const std::string end(ToString(result->end));
    ends[end] = ends.value(end, 0) + 1;
    resumes += result->resumes;
    restarts += result->restarts;
    if (result->end != outcome::kOk) {
      ++details[fmt::format("{} {}", result->status, result->detail)];
    }
    if (result->end == outcome::kNotRun) {
      refusal.push_back(result->whole);
    }
    if (result->end == outcome::kOk) {
      late += deadline.count() > 0 && result->whole > deadline ? 1 : 0;
      whole.push_back(result->whole);
      first.push_back(result->first_token.value_or(result->whole));
    }
    std::ranges::copy(result->gaps, std::back_inserter(gaps));
  }
  nlohmann::json summary = {{"sent", results.size()},
                            {"outcomes", ends},
                            {"late", late},
                            {"resumes", resumes},
                            {"restarts", restarts},
                            {"first_ms", Quantiles(std::move(first))},
                            {"whole_ms", Quantiles(std::move(whole))}};
  summary["gap_ms"] = Quantiles(std::move(gaps));
  summary["refusal_ms"] = Quantiles(std::move(refusal));
  if (!details.empty()) {
    summary["details"] = details;
  }
  return summary;
}

/** Tokens and calls of answers that were whole in time and ended in the phase. */
nlohmann::json Goodput(const std::vector<call_result>& results,
                       const report_options& options,
                       offset start,
                       offset end) {
  std::uint64_t tokens = 0;
  std::uint64_t answers = 0;
  for (const call_result& result : results) {
    const offset deadline = options.deadlines[static_cast<std::size_t>(result.request.kind)];
    const offset ended = result.request.due + result.whole;
    if (result.end == outcome::kOk && ended >= start && ended < end &&
        (deadline.count() == 0 || result.whole <= deadline)) {
      tokens += result.request.tokens;
      ++answers;
    }
  }
  const double seconds = std::chrono::duration<double>(end - start).count();
  return {{"tokens_per_s", std::round(static_cast<double>(tokens) / seconds)},
          {"answers_per_s", std::round(static_cast<double>(answers) / seconds * 10) / 10}};
}

nlohmann::json ReportPart(const std::vector<call_result>& results,
                          const report_options& options,
                          offset start,
                          offset end) {
  nlohmann::json part = {{"from_s", std::chrono::duration<double>(start).count()},
                         {"goodput", Goodput(results, options, start, end)}};
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    std::vector<const call_result*> own;
    for (const call_result& result : results) {
      if (result.request.kind == static_cast<work_kind>(kind) && result.request.due >= start &&
          result.request.due < end) {
        own.push_back(&result);
      }
    }
    if (!own.empty()) {
      part["kinds"][std::string(ToString(static_cast<work_kind>(kind)))] =
          Summarize(own, options.deadlines[kind]);
    }
  }
  return part;
}

std::string Pair(const nlohmann::json& quantiles) {
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
    report[phase.name] = ReportPart(results, options, phase.start, end);
  }
  if (options.phases.size() > 1) {
    report["all"] = ReportPart(results, options, options.phases.front().start, options.length);
  }
  return report;
}

std::string MakeTable(const nlohmann::json& report) {
  std::string table = fmt::format(
      "{:10} {:6} {:>6} {:>6} {:>7} {:>5} {:>5} {:>5} {:>5} {:>17} {:>15} {:>17} {:>13}\n", "phase",
      "kind", "sent", "ok", "not_run", "may", "lost", "wrong", "late", "first p50/p99",
      "gap p50/p99", "whole p50/p99", "refusal");
  for (const auto& [phase, part] : report.items()) {
    if (!part.contains("kinds")) {
      continue;
    }
    for (const auto& [kind, one] : part["kinds"].items()) {
      const auto& ends = one["outcomes"];
      table += fmt::format(
          "{:10} {:6} {:>6} {:>6} {:>7} {:>5} {:>5} {:>5} {:>5} {:>17} {:>15} {:>17} {:>13}\n",
          phase, kind, one["sent"].get<int>(), ends.value("ok", 0), ends.value("not_run", 0),
          ends.value("may_have_run", 0), ends.value("lost", 0), ends.value("wrong", 0),
          one["late"].get<int>(), Pair(one["first_ms"]), Pair(one["gap_ms"]), Pair(one["whole_ms"]),
          Pair(one["refusal_ms"]));
    }
    table += fmt::format("{:10} goodput {} tokens/s, {} answers/s\n", phase,
                         part["goodput"]["tokens_per_s"].get<double>(),
                         part["goodput"]["answers_per_s"].get<double>());
  }
  return table;
}

}  // namespace tarragon::load
