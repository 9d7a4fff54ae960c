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

#include "load_caller.h"
#include "load_plan.h"
#include "load_report.h"
#include "process_usage.h"
#include "stand_in_audit.h"
#include "tarragon/net/thread_pool.h"

DEFINE_string(user, "lanhai", "mixed: names of the document, lanhai or dobrescu");
DEFINE_string(entries, "127.0.0.1:21900", "mixed: ip:port of each entry, separated by commas");
DEFINE_string(stand_ins, "", "mixed: ip:port of each stand-in whose /stats is read at the end");
DEFINE_string(saved_stats, "", "mixed: files with the /stats of stand-ins before they were killed");
DEFINE_string(run, "run", "mixed: name of the run, part of each prompt and key");
DEFINE_uint64(seed, 1, "mixed: seed of arrivals, accounts and lengths");
DEFINE_double(seconds, 20, "mixed: time in which requests are due");
DEFINE_double(read_rate, 0, "mixed: reads of the plain service per second");
DEFINE_double(short_rate, 0, "mixed: short generations per second");
DEFINE_double(long_rate, 0, "mixed: long generations per second");
DEFINE_double(once_rate, 0, "mixed: unrepeatable calls per second");
DEFINE_uint32(short_tokens, 16, "mixed: median length of short generations");
DEFINE_uint32(long_tokens, 1100, "mixed: median length of long generations");
DEFINE_double(sigma, 0.3, "mixed: spread of the lengths, log-normal");
DEFINE_double(base, 1, "mixed: demand outside the peak, a factor of all rates");
DEFINE_double(peak, 1, "mixed: demand at the peak");
DEFINE_double(peak_start, 0, "mixed: start of the rise in seconds");
DEFINE_double(peak_rise, 0, "mixed: seconds from the base to the peak");
DEFINE_double(peak_hold, 0, "mixed: seconds at the peak");
DEFINE_string(phases, "all:0", "mixed: name:start in seconds of each part, separated by commas");
DEFINE_double(read_deadline, 5, "mixed: seconds after which an answer does not count, 0 for never");
DEFINE_double(short_deadline, 10, "mixed: as read_deadline, for short generations");
DEFINE_double(long_deadline, 300, "mixed: as read_deadline, for long generations");
DEFINE_double(tail, 60, "mixed: seconds after which streams still open are left");
DEFINE_string(pids, "", "mixed: folder with the ids of the processes whose CPU time is reported");
DEFINE_string(raw, "", "mixed: file for one line per request");
DEFINE_string(json, "", "mixed: file for the report");

namespace tarragon::load {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t kMaxThreads = 3000;
constexpr int kExitUsage = 2;
constexpr std::chrono::milliseconds kTailPoll{20};

offset Seconds(double seconds) {
  return std::chrono::duration_cast<offset>(std::chrono::duration<double>(seconds));
}

std::vector<std::string> Split(std::string_view list) {
  std::vector<std::string> parts;
  for (const auto part : std::views::split(list, ',')) {
    if (!part.empty()) {
      parts.emplace_back(part.begin(), part.end());
    }
  }
  return parts;
}

plan_options PlanOptions(std::size_t entries) {
  plan_options options;
  options.seed = FLAGS_seed;
  options.length = Seconds(FLAGS_seconds);
  options.kinds[static_cast<std::size_t>(work_kind::kRead)] = {.rate = FLAGS_read_rate};
  options.kinds[static_cast<std::size_t>(work_kind::kShort)] = {.rate = FLAGS_short_rate,
                                                                .tokens = FLAGS_short_tokens};
  options.kinds[static_cast<std::size_t>(work_kind::kLong)] = {.rate = FLAGS_long_rate,
                                                               .tokens = FLAGS_long_tokens};
  options.kinds[static_cast<std::size_t>(work_kind::kOnce)] = {.rate = FLAGS_once_rate};
  options.demand = {.base = FLAGS_base,
                    .peak = FLAGS_peak,
                    .start = Seconds(FLAGS_peak_start),
                    .rise = Seconds(FLAGS_peak_rise),
                    .hold = Seconds(FLAGS_peak_hold)};
  options.sigma = FLAGS_sigma;
  options.entries = static_cast<std::uint32_t>(entries);
  return options;
}

report_options ReportOptions() {
  report_options options;
  for (const std::string& text : Split(FLAGS_phases)) {
    const std::size_t colon = text.find(':');
    const double start = colon == std::string::npos ? 0 : std::stod(text.substr(colon + 1));
    options.phases.push_back({text.substr(0, colon), Seconds(start)});
  }
  options.length = Seconds(FLAGS_seconds);
  options.deadlines[static_cast<std::size_t>(work_kind::kRead)] = Seconds(FLAGS_read_deadline);
  options.deadlines[static_cast<std::size_t>(work_kind::kOnce)] = Seconds(FLAGS_read_deadline);
  options.deadlines[static_cast<std::size_t>(work_kind::kShort)] = Seconds(FLAGS_short_deadline);
  options.deadlines[static_cast<std::size_t>(work_kind::kLong)] = Seconds(FLAGS_long_deadline);
  return options;
}

struct run_result {
  std::vector<call_result> results;
  std::uint32_t not_started = 0;
  nlohmann::json cpu;
};

nlohmann::json CpuUse(const cpu_reading& before, const cpu_reading& after, double seconds) {
  nlohmann::json cores = nlohmann::json::object();
  for (const auto& [name, used] : after.processes) {
    const auto earlier = before.processes.find(name);
    cores[name] = (used - (earlier == before.processes.end() ? 0 : earlier->second)) / seconds;
  }
  return {{"cores", cores},
          {"machine_busy_share", (after.machine_busy - before.machine_busy) /
                                     (after.machine_total - before.machine_total)}};
}

/** Starts every request when it is due, whatever became of the earlier ones. */
run_result SendAll(load_caller& caller, const std::vector<planned_request>& plan) {
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
    std::this_thread::sleep_until(start + Seconds(FLAGS_seconds));
    run.cpu = CpuUse(before, ReadCpu(FLAGS_pids), FLAGS_seconds);
    const auto end_of_tail = steady::now() + Seconds(FLAGS_tail);
    while (callers.RunningTaskCount() > 0 && steady::now() < end_of_tail) {
      std::this_thread::sleep_for(kTailPoll);
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

nlohmann::json StartDelay(const std::vector<call_result>& results) {
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

/** Columns: number, kind, entry, due, first token, whole, largest gap (ms), outcome, resumes. */
void WriteRaw(const std::vector<call_result>& results, const std::string& name) {
  std::ofstream file(name);
  const auto ms = [](offset time) {
    return std::chrono::duration<double, std::milli>(time).count();
  };
  for (const call_result& one : results) {
    const offset gap = one.gaps.empty() ? offset(0) : *std::ranges::max_element(one.gaps);
    file << fmt::format("{},{},{},{:.1f},{:.1f},{:.1f},{:.1f},{},{}\n", one.request.number,
                        ToString(one.request.kind), one.request.entry, ms(one.request.due),
                        ms(one.first_token.value_or(offset(0))), ms(one.whole), ms(gap),
                        ToString(one.end), one.resumes);
  }
}

}  // namespace

int RunMixed() {
  const auto names = user_names::Make(FLAGS_user);
  const std::vector<std::string> entries = Split(FLAGS_entries);
  if (!names || entries.empty() || FLAGS_seconds <= 0) {
    fmt::print(stderr, "--user, --entries or --seconds is invalid\n");
    return kExitUsage;
  }
  const report_options parts = ReportOptions();
  caller_options options{.names = *names, .entries = entries, .run = FLAGS_run};
  std::ranges::transform(parts.deadlines, options.deadlines, [](offset deadline) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
  });
  load_caller caller(std::move(options));
  const std::vector<planned_request> plan = MakePlan(PlanOptions(entries.size()));
  const run_result run = SendAll(caller, plan);
  const audit_result audit =
      Audit(caller, run.results, Split(FLAGS_stand_ins), Split(FLAGS_saved_stats));
  const nlohmann::json report = MakeReport(run.results, parts);
  const nlohmann::json whole = {{"seed", FLAGS_seed},
                                {"run", FLAGS_run},
                                {"planned", plan.size()},
                                {"not_started", run.not_started},
                                {"start_delay_ms", StartDelay(run.results)},
                                {"cpu", run.cpu},
                                {"audit", ToJson(audit)},
                                {"phases", report}};
  if (!FLAGS_raw.empty()) {
    WriteRaw(run.results, FLAGS_raw);
  }
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << whole.dump(1) << '\n';
  }
  fmt::print("{}audit {}\ncpu {}\nstart delay {}\n", MakeTable(report), whole["audit"].dump(),
             run.cpu.dump(), whole["start_delay_ms"].dump());
  const bool broken = std::ranges::any_of(run.results, [](const call_result& result) {
    return result.end == outcome::kWrong || result.end == outcome::kLost;
  });
  return broken || audit.false_not_run > 0 || audit.repeated_once > 0 || run.not_started > 0 ? 1
                                                                                             : 0;
}

}  // namespace tarragon::load
