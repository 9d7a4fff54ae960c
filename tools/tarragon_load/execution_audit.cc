#include "execution_audit.h"

#include <fmt/format.h>

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "tarragon/base/hash.h"

// The packaged library is built with OpenSSL support, which changes the layout of its classes.
#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#endif
#include <httplib.h>

namespace tarragon::load {

namespace {

constexpr std::size_t kMaxExamples = 10;

using run_counts = std::map<std::string, std::uint32_t>;

/** Adds the executions of one endpoint: generations by prompt hash, calls by path. */
void AddStats(const nlohmann::json& stats, run_counts& counts, audit_result& audit) {
  for (const auto& hash : stats.value("prompts", nlohmann::json::object())) {
    counts[hash.get<std::string>()] += 1;
  }
  for (const auto& item : stats.value("executions", nlohmann::json::array())) {
    counts[item.value("path", "")] += item.value("count", 0U);
  }
  audit.preemptions += stats.value("preemptions", std::uint64_t{0});
  audit.stall_ms += stats.value("stall_ms", std::uint64_t{0});
}

}  // namespace

audit_result AuditExecutions(const load_caller& caller,
                             const std::vector<call_result>& results,
                             const std::vector<std::string>& stand_ins,
                             const std::vector<std::string>& saved_stats) {
  audit_result audit;
  run_counts counts;
  for (const std::string& address : stand_ins) {
    httplib::Client client("http://" + address);
    const httplib::Result answer = client.Get("/stats");
    const auto stats = answer ? nlohmann::json::parse(answer->body, nullptr, false)
                              : nlohmann::json(nlohmann::json::value_t::discarded);
    if (stats.is_object()) {
      ++audit.stand_ins_read;
      AddStats(stats, counts, audit);
    } else {
      ++audit.stand_ins_missing;
    }
  }
  for (const std::string& name : saved_stats) {
    std::ifstream file(name);
    const auto stats = nlohmann::json::parse(file, nullptr, false);
    if (stats.is_object()) {
      AddStats(stats, counts, audit);
    }
  }
  for (const call_result& result : results) {
    const planned_request& request = result.request;
    const std::string key = request.tokens > 0
                                ? fmt::format("{:016x}", Hash64(caller.Prompt(request)))
                                : caller.ServicePath(request);
    const auto found = counts.find(key);
    const std::uint32_t runs = found == counts.end() ? 0 : found->second;
    audit.ran += runs > 0 ? 1 : 0;
    audit.extra_runs += runs > 1 ? runs - 1 : 0;
    const bool contradicted = result.outcome == call_outcome::kNotRun && runs > 0;
    const bool repeated = request.kind == request_kind::kUnrepeatable && runs > 1;
    audit.false_not_run += contradicted ? 1 : 0;
    audit.repeated_once += repeated ? 1 : 0;
    if ((contradicted || repeated) && audit.examples.size() < kMaxExamples) {
      audit.examples.push_back(fmt::format("{} {}: {} runs, answered {} {} {}",
                                           ToString(request.kind), request.number, runs,
                                           ToString(result.outcome), result.status, result.detail));
    }
  }
  return audit;
}

}  // namespace tarragon::load
