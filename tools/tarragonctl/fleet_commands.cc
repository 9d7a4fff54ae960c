#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "command.h"
#include "table_printer.h"

namespace tarragon::ctl {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

constexpr int kConflict = 412;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kPollInterval{100};

std::string Seconds(const json& value) {
  return value.is_number() ? fmt::format("{:.1f}", value.get<double>() / 1000) : "-";
}

struct force_count {
  std::size_t live = 0;
  std::size_t in_force = 0;
};

force_count CountInForce(const json& vms, std::uint64_t version) {
  force_count count;
  for (const json& vm : vms) {
    const std::string state = vm.value("state", "");
    // A VM of the document that the entry has not met yet may serve with an older version.
    if (state != "alive" && state != "suspect" && state != "unseen") {
      continue;
    }
    count.live += 1;
    count.in_force += vm.value("document_version", std::uint64_t{0}) >= version ? 1 : 0;
  }
  return count;
}

void PrintVms(const json& vms) {
  table_printer table({"VM", "STATE", "DOCUMENT", "IN FORCE FOR (S)"});
  for (const json& vm : vms) {
    table.Add({vm.value("vm", ""), vm.value("state", ""),
               std::to_string(vm.value("document_version", std::uint64_t{0})),
               Seconds(vm.value("in_force_for_ms", json()))});
  }
  table.Print();
}

void PrintRollouts(const json& rollouts) {
  table_printer table({"MODEL", "VERSION", "STATE", "ENGINES", "FAILURES", "REASON"});
  for (const json& rollout : rollouts) {
    table.Add({rollout.value("model", ""), rollout.value("version", ""), rollout.value("state", ""),
               fmt::format("{}/{}", rollout.value("converged", 0), rollout.value("engines", 0)),
               std::to_string(rollout.value("failures", 0)), rollout.value("reason", "")});
  }
  table.Print();
}

int Print(const command_context& context,
          const std::string& path,
          const char* key,
          void (*print)(const json&)) {
  const admin_answer answer = context.client.Get(path);
  if (answer.status != kOk) {
    return ReportFailure(answer);
  }
  if (context.json) {
    fmt::print("{}\n", answer.body);
  } else {
    print(json::parse(answer.body, nullptr, false).value(key, json::array()));
  }
  return kExitOk;
}

}  // namespace

std::uint64_t VersionOf(const admin_answer& answer) {
  const auto found = answer.headers.find("ETag");
  if (found == answer.headers.end() || found->second.size() < 3) {
    return 0;
  }
  return std::strtoull(found->second.c_str() + 1, nullptr, 10);
}

int ReportFailure(const admin_answer& answer) {
  if (answer.status == 0) {
    fmt::print(stderr, "no answer: check --server, or try another entry\n");
    return kExitUnavailable;
  }
  const json body = json::parse(answer.body, nullptr, false);
  const json error = body.is_object() ? body.value("error", json::object()) : json::object();
  fmt::print(stderr, "{}\n", error.value("message", fmt::format("HTTP {}", answer.status)));
  for (const json& fault : error.value("errors", json::array())) {
    fmt::print(stderr, "  {}:{}: {}\n", fault.value("section", ""), fault.value("line", 0),
               fault.value("message", ""));
  }
  if (answer.status == kConflict) {
    fmt::print(stderr, "{}", error.value("difference", ""));
    fmt::print(stderr, "show the section again, repeat the change on it and put it\n");
    return kExitConflict;
  }
  return answer.status == kUnavailable ? kExitUnavailable : kExitRefused;
}

int WaitInForce(const command_context& context, std::uint64_t document_version) {
  const auto start = std::chrono::steady_clock::now();
  force_count shown{0, SIZE_MAX};
  while (true) {
    const admin_answer answer = context.client.Get("/admin/fleet");
    if (answer.status != kOk) {
      return ReportFailure(answer);
    }
    const json vms = json::parse(answer.body, nullptr, false).value("vms", json::array());
    const force_count count = CountInForce(vms, document_version);
    const std::chrono::duration<double> waited = std::chrono::steady_clock::now() - start;
    if (count.in_force != shown.in_force) {
      fmt::print(stderr, "in force on {} of {} VMs after {:.1f} s\n", count.in_force, count.live,
                 waited.count());
      shown = count;
    }
    if (count.in_force == count.live) {
      return kExitOk;
    }
    if (waited > context.timeout) {
      fmt::print(stderr, "not in force everywhere: see 'tarragonctl fleet'\n");
      return kExitTimeout;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int RunFleet(const command_context& context) {
  return Print(context, "/admin/fleet", "vms", PrintVms);
}

int RunRollout(const command_context& context) {
  return Print(context, "/admin/rollout", "rollouts", PrintRollouts);
}

int RunStatus(const command_context& context) {
  const admin_answer answer = context.client.Get("/admin/status");
  if (answer.status != kOk) {
    return ReportFailure(answer);
  }
  const json body = json::parse(answer.body, nullptr, false);
  fmt::print("{}\n", context.json ? answer.body : body.dump(2));
  return kExitOk;
}

}  // namespace tarragon::ctl
