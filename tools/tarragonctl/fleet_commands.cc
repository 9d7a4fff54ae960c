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

constexpr int kHttpOk = 200;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpUnavailable = 503;
constexpr std::chrono::milliseconds kFleetPollInterval{100};

std::string FormatSeconds(const json& value) {
  return value.is_number() ? fmt::format("{:.1f}", value.get<double>() / 1000) : "-";
}

struct in_force_count {
  std::size_t live = 0;
  std::size_t in_force = 0;
};

in_force_count CountInForce(const json& vms, std::uint64_t version) {
  in_force_count count;
  for (const json& vm : vms) {
    const std::string state = vm.value("state", "");
    // A VM in state `unseen` is listed in the document but not yet in the entry's membership. It
    // counts as live, because it may be serving with an older version.
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
               FormatSeconds(vm.value("in_force_for_ms", json()))});
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

int FetchAndPrint(const command_context& context,
                  const std::string& path,
                  const char* key,
                  void (*print)(const json&)) {
  const admin_response response = context.client.Get(path);
  if (response.status != kHttpOk) {
    return ReportFailure(response);
  }
  if (context.json) {
    fmt::print("{}\n", response.body);
  } else {
    print(json::parse(response.body, nullptr, false).value(key, json::array()));
  }
  return kExitOk;
}

}  // namespace

std::uint64_t ParseETagVersion(const admin_response& response) {
  const auto found = response.headers.find("ETag");
  if (found == response.headers.end() || found->second.size() < 3) {
    return 0;
  }
  return std::strtoull(found->second.c_str() + 1, nullptr, 10);
}

int ReportFailure(const admin_response& response) {
  if (response.status == 0) {
    fmt::print(stderr, "no answer from the server: check --server, or try another entry\n");
    return kExitUnavailable;
  }
  const json body = json::parse(response.body, nullptr, false);
  const json error = body.is_object() ? body.value("error", json::object()) : json::object();
  fmt::print(stderr, "{}\n", error.value("message", fmt::format("HTTP {}", response.status)));
  for (const json& error_detail : error.value("errors", json::array())) {
    fmt::print(stderr, "  {}:{}: {}\n", error_detail.value("section", ""),
               error_detail.value("line", 0), error_detail.value("message", ""));
  }
  if (response.status == kHttpPreconditionFailed) {
    fmt::print(stderr, "{}", error.value("difference", ""));
    fmt::print(stderr, "run 'section show' again, repeat the change on its output and put it\n");
    return kExitConflict;
  }
  return response.status == kHttpUnavailable ? kExitUnavailable : kExitRefused;
}

int WaitInForce(const command_context& context, std::uint64_t document_version) {
  const auto start = std::chrono::steady_clock::now();
  in_force_count shown{0, SIZE_MAX};
  while (true) {
    const admin_response response = context.client.Get("/admin/fleet");
    if (response.status != kHttpOk) {
      return ReportFailure(response);
    }
    const json vms = json::parse(response.body, nullptr, false).value("vms", json::array());
    const in_force_count count = CountInForce(vms, document_version);
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
      fmt::print(stderr, "timeout: not in force everywhere; see 'tarragonctl fleet'\n");
      return kExitTimeout;
    }
    std::this_thread::sleep_for(kFleetPollInterval);
  }
}

int RunFleet(const command_context& context) {
  return FetchAndPrint(context, "/admin/fleet", "vms", PrintVms);
}

int RunRollout(const command_context& context) {
  return FetchAndPrint(context, "/admin/rollout", "rollouts", PrintRollouts);
}

int RunStatus(const command_context& context) {
  const admin_response response = context.client.Get("/admin/status");
  if (response.status != kHttpOk) {
    return ReportFailure(response);
  }
  const json body = json::parse(response.body, nullptr, false);
  fmt::print("{}\n", context.json ? response.body : body.dump(2));
  return kExitOk;
}

}  // namespace tarragon::ctl
