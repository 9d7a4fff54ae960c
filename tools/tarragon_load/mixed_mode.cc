#include "mixed_mode.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <ranges>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "execution_audit.h"
#include "load_caller.h"
#include "load_plan.h"
#include "load_report.h"
#include "process_usage.h"
#include "tarragon/net/thread_pool.h"

DEFINE_string(user, "lanhai", "mixed: sample document whose names are used, lanhai or dobrescu");
DEFINE_string(entries, "127.0.0.1:21900", "mixed: comma-separated ip:port of each entry");
DEFINE_string(stand_ins,
              "",
              "mixed: ip:port of each fake endpoint whose /stats is read at the end");
DEFINE_string(saved_stats,
              "",
              "mixed: files with the /stats of fake endpoints, saved before a kill");
DEFINE_string(run, "run", "mixed: name of the run, part of each prompt and idempotency key");
DEFINE_uint64(seed, 1, "mixed: seed for arrivals, accounts and output lengths");
DEFINE_double(seconds, 20, "mixed: length of the run; every request is due within it");
DEFINE_double(read_rate, 0, "mixed: reads from the plain service per second");
DEFINE_double(short_rate, 0, "mixed: short generations per second");
DEFINE_double(long_rate, 0, "mixed: long generations per second");
DEFINE_double(once_rate, 0, "mixed: unrepeatable calls per second");
DEFINE_uint32(short_tokens, 16, "mixed: median tokens of short generations");
DEFINE_uint32(long_tokens, 1100, "mixed: median tokens of long generations");
DEFINE_double(sigma, 0.3, "mixed: sigma of the log-normal output lengths");
DEFINE_double(base, 1, "mixed: factor applied to all rates outside the peak");
DEFINE_double(peak, 1, "mixed: factor applied to all rates at the peak");
DEFINE_double(peak_start, 0, "mixed: second at which the ramp from base to peak starts");
DEFINE_double(peak_rise, 0, "mixed: duration of the ramp in seconds");
DEFINE_double(peak_hold, 0, "mixed: duration of the peak in seconds");
DEFINE_string(phases, "all:0", "mixed: comma-separated name:start of each phase, start in seconds");
DEFINE_double(read_deadline, 5, "mixed: deadline in seconds for goodput; 0 for none");
DEFINE_double(short_deadline, 10, "mixed: as read_deadline, for short generations");
DEFINE_double(long_deadline, 300, "mixed: as read_deadline, for long generations");
DEFINE_double(tail, 60, "mixed: seconds after the run until open streams are abandoned");
DEFINE_string(pids, "", "mixed: folder with the pid files of processes whose CPU time is reported");
DEFINE_string(raw, "", "mixed: output file, one CSV line per request");
DEFINE_string(json, "", "mixed: output file for the JSON report");

namespace tarragon::load {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t kMaxThreads = 3000;
constexpr int kExitUsage = 2;
constexpr std::chrono::milliseconds kTailPollInterval{20};

offset ToOffset(double seconds) {
  return std::chrono::duration_cast<offset>(std::chrono::duration<double>(seconds));
}

std::vector<std::string> SplitList(std::string_view list) {
  std::vector<std::string> items;
  for (const auto item : std::views::split(list, ',')) {
    if (!item.empty()) {
      items.emplace_back(item.begin(), item.end());
    }
  }
  return items;
}

plan_options MakePlanOptions(std::size_t entries) {
  plan_options options;
  options.seed = FLAGS_seed;
  options.length = ToOffset(FLAGS_seconds);
  options.kinds[static_cast<std::size_t>(request_kind::kRead)] = {.rate = FLAGS_read_rate};
  options.kinds[static_cast<std::size_t>(request_kind::kShort)] = {
      .rate = FLAGS_short_rate, .median_tokens = FLAGS_short_tokens};
  options.kinds[static_cast<std::size_t>(request_kind::kLong)] = {
      .rate = FLAGS_long_rate, .median_tokens = FLAGS_long_tokens};
  options.kinds[static_cast<std::size_t>(request_kind::kUnrepeatable)] = {.rate = FLAGS_once_rate};
  options.demand = {.base = FLAGS_base,
                    .peak = FLAGS_peak,
                    .ramp_start = ToOffset(FLAGS_peak_start),
                    .ramp = ToOffset(FLAGS_peak_rise),
                    .peak_hold = ToOffset(FLAGS_peak_hold)};
  options.sigma = FLAGS_sigma;
  options.entries = static_cast<std::uint32_t>(entries);
  return options;
}

report_options MakeReportOptions() {
  report_options options;
  for (const std::string& text : SplitList(FLAGS_phases)) {
    const std::size_t colon = text.find(':');
    const double start = colon == std::string::npos ? 0 : std::stod(text.substr(colon + 1));
    options.phases.push_back({text.substr(0, colon), ToOffset(start)});
  }
  options.length = ToOffset(FLAGS_seconds);
  options.deadlines[static_cast<std::size_t>(request_kind::kRead)] = ToOffset(FLAGS_read_deadline);
  options.deadlines[static_cast<std::size_t>(request_kind::kUnrepeatable)] =
      ToOffset(FLAGS_read_deadline);
  options.deadlines[static_cast<std::size_t>(request_kind::kShort)] =
      ToOffset(FLAGS_short_deadline);
  options.deadlines[static_cast<std::size_t>(request_kind::kLong)] = ToOffset(FLAGS_long_deadline);
  return options;
}

struct run_result {
  std::vector<call_result> results;
  std::uint32_t not_started = 0;
  nlohmann::json cpu;
};

nlohmann::json ComputeCpuUse(const cpu_reading& before, const cpu_reading& after, double seconds) {
  nlohmann::json cores = nlohmann::json::object();
  for (const auto& [name, used] : after.processes) {
    const auto previous = before.processes.find(name);
    cores[name] = (used - (previous == before.processes.end() ? 0 : previous->second)) / seconds;
  }
  return {{"cores", cores},
          {"machine_busy_share", (after.machine_busy - before.machine_busy) /
                                     (after.machine_total - before.machine_total)}};
}

/** Starts each request when it is due, without waiting for earlier ones (open loop). */
run_result SendRequests(load_caller& caller, const std::vector<planned_request>& plan) {
  run_result run;
  std::mutex mutex;
  const cpu_reading before = ReadCpu(FLAGS_pids);
  const auto start = steady::now() + std::chrono::milliseconds(100);
  {
    net::thread_pool callers(kMaxThreads);
    for (const planned_request& request : plan) {
      std::this_thread::sleep_until(start + request.due);
      const bool started = callers.TryRun([&, request] {
        call_result result = caller.Call(request, start + request.due);
        std::lock_guard lock(mutex);
        run.results.push_back(std::move(result));
      });
      run.not_started += started ? 0 : 1;
    }
    std::this_thread::sleep_until(start + ToOffset(FLAGS_seconds));
    run.cpu = ComputeCpuUse(before, ReadCpu(FLAGS_pids), FLAGS_seconds);
    const auto tail_end = steady::now() + ToOffset(FLAGS_tail);
    while (callers.RunningTaskCount() > 0 && steady::now() < tail_end) {
      std::this_thread::sleep_for(kTailPollInterval);
    }
    caller.Abandon();
    callers.Stop();
  }
  return run;
}

nlohmann::json ToJson(const audit_result& audit) {
  return {{"stand_ins_read", audit.stand_ins_read},
          {"stand_ins_missing", audit.stand_ins_missing},
          {"false_not_run", audit.false_not_run},
          {"repeated_once", audit.repeated_once},
          {"ran", audit.ran},
          {"extra_runs", audit.extra_runs},
          {"preemptions", audit.preemptions},
          {"stall_ms", audit.stall_ms},
          {"examples", audit.examples}};
}

nlohmann::json SummarizeStartDelays(const std::vector<call_result>& results) {
  std::vector<offset> delays;
  delays.reserve(results.size());
  for (const call_result& result : results) {
    delays.push_back(result.start_delay);
  }
  std::ranges::sort(delays);
  const auto ms = [](offset time) {
    return std::chrono::duration<double, std::milli>(time).count();
  };
  return delays.empty() ? nlohmann::json(nullptr)
                        : nlohmann::json{{"p99", ms(delays[delays.size() * 99 / 100])},
                                         {"max", ms(delays.back())}};
}

/**
 * Writes one CSV line per request: number, kind, entry, due time, time to first token, total time,
 * largest inter-token gap (all times in ms), outcome, resumes.
 */
void WriteRaw(const std::vector<call_result>& results, const std::string& name) {
  std::ofstream file(name);
  const auto ms = [](offset time) {
    return std::chrono::duration<double, std::milli>(time).count();
  };
  for (const call_result& result : results) {
    const offset gap = result.inter_token_gaps.empty()
                           ? offset(0)
                           : *std::ranges::max_element(result.inter_token_gaps);
    file << fmt::format("{},{},{},{:.1f},{:.1f},{:.1f},{:.1f},{},{}\n", result.request.number,
                        ToString(result.request.kind), result.request.entry, ms(result.request.due),
                        ms(result.time_to_first_token.value_or(offset(0))), ms(result.total_time),
                        ms(gap), ToString(result.outcome), result.resumes);
  }
}

}  // namespace

int RunMixedMode() {
  const auto names = document_names::Make(FLAGS_user);
  const std::vector<std::string> entries = SplitList(FLAGS_entries);
  if (!names || entries.empty() || FLAGS_seconds <= 0) {
    fmt::print(stderr, "--user, --entries or --seconds is invalid\n");
    return kExitUsage;
  }
  const report_options report_settings = MakeReportOptions();
  caller_options options{.names = *names, .entries = entries, .run = FLAGS_run};
  std::ranges::transform(report_settings.deadlines, options.deadlines, [](offset deadline) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
  });
  load_caller caller(std::move(options));
  const std::vector<planned_request> plan = MakePlan(MakePlanOptions(entries.size()));
  const run_result run = SendRequests(caller, plan);
  const audit_result audit = AuditExecutions(caller, run.results, SplitList(FLAGS_stand_ins),
                                             SplitList(FLAGS_saved_stats));
  const nlohmann::json report = MakeReport(run.results, report_settings);
  const nlohmann::json full_report = {{"seed", FLAGS_seed},
                                      {"run", FLAGS_run},
                                      {"planned", plan.size()},
                                      {"not_started", run.not_started},
                                      {"start_delay_ms", SummarizeStartDelays(run.results)},
                                      {"cpu", run.cpu},
                                      {"audit", ToJson(audit)},
                                      {"phases", report}};
  if (!FLAGS_raw.empty()) {
    WriteRaw(run.results, FLAGS_raw);
  }
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << full_report.dump(1) << '\n';
  }
  fmt::print("{}audit {}\ncpu {}\nstart delay {}\n", MakeTable(report), full_report["audit"].dump(),
             run.cpu.dump(), full_report["start_delay_ms"].dump());
  const bool failed = std::ranges::any_of(run.results, [](const call_result& result) {
    return result.outcome == call_outcome::kWrong || result.outcome == call_outcome::kLost;
  });
  return failed || audit.false_not_run > 0 || audit.repeated_once > 0 || run.not_started > 0 ? 1
                                                                                             : 0;
}

}  // namespace tarragon::load
