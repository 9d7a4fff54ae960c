#include "document_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace tarragon::document {

namespace {

using name_set = std::unordered_set<std::string_view>;
using error_list = std::vector<document_error>;

void ReportError(error_list& errors, std::string_view section, int line, std::string message) {
  errors.push_back({std::string(section), line, std::move(message)});
}

/** Reports duplicate names. @return the set of names. */
template <typename T>
name_set CheckUniqueNames(const std::vector<located_entry<T>>& entries,
                          std::string_view section,
                          std::string_view entry_kind,
                          error_list& errors) {
  name_set names;
  for (const located_entry<T>& entry : entries) {
    // The parser has already reported an empty name.
    if (!entry.value.name.empty() && !names.insert(entry.value.name).second) {
      ReportError(errors, section, entry.line,
                  fmt::format("{} '{}' is defined more than once", entry_kind, entry.value.name));
    }
  }
  return names;
}

void CheckUniqueTokens(const parsed_document& parsed, error_list& errors) {
  std::unordered_map<std::string_view, std::string_view> owners;
  for (const auto& [account, line] : parsed.accounts) {
    const auto [owner, inserted] = owners.emplace(account.token_sha256, account.name);
    if (!inserted && !account.token_sha256.empty()) {
      ReportError(errors, "accounts", line,
                  fmt::format("account '{}' has the same token as account '{}'", account.name,
                              owner->second));
    }
  }
}

void CheckUniqueAddresses(const parsed_document& parsed, error_list& errors) {
  std::unordered_map<std::string_view, std::string_view> owners;
  for (const auto& [endpoint, line] : parsed.endpoints) {
    const auto [owner, inserted] = owners.emplace(endpoint.address, endpoint.name);
    if (!inserted && !endpoint.address.empty()) {
      ReportError(errors, "fleet", line,
                  fmt::format("endpoint '{}' has the same address as endpoint '{}'", endpoint.name,
                              owner->second));
    }
  }
}

void CheckServices(const parsed_document& parsed,
                   const name_set& models,
                   const name_set& classes,
                   error_list& errors) {
  std::unordered_map<std::string_view, std::string_view> service_of_model;
  for (const auto& [service, line] : parsed.services) {
    if (!service.model.empty() && !models.contains(service.model)) {
      ReportError(errors, "services", line,
                  fmt::format("service '{}': model '{}' is not in section models", service.name,
                              service.model));
    }
    if (!service.default_class.empty() && !classes.contains(service.default_class)) {
      ReportError(errors, "services", line,
                  fmt::format("service '{}': class '{}' is not in section classes", service.name,
                              service.default_class));
    }
    if (service.model.empty()) {
      continue;
    }
    // Requests name only the model, so each model must belong to one service.
    const auto [owner, inserted] = service_of_model.emplace(service.model, service.name);
    if (!inserted) {
      ReportError(errors, "services", line,
                  fmt::format("service '{}': model '{}' is already served by service '{}'",
                              service.name, service.model, owner->second));
    }
  }
}

void CheckFleet(const parsed_document& parsed, const name_set& services, error_list& errors) {
  name_set served_services;
  for (const auto& [endpoint, line] : parsed.endpoints) {
    if (!endpoint.service.empty() && !services.contains(endpoint.service)) {
      ReportError(errors, "fleet", line,
                  fmt::format("endpoint '{}': service '{}' is not in section services",
                              endpoint.name, endpoint.service));
    }
    if (endpoint.state == serving_state::kServing) {
      served_services.insert(endpoint.service);
    }
  }
  for (const auto& [service, line] : parsed.services) {
    if (service.must_serve && !service.name.empty() && !served_services.contains(service.name)) {
      ReportError(errors, "fleet", 0,
                  fmt::format("service '{}' has no endpoint in state serving", service.name));
    }
  }
  const bool all_leaving =
      !parsed.vms.empty() && std::ranges::all_of(parsed.vms, [](const auto& vm) {
        return vm.value.state == serving_state::kLeaving;
      });
  if (all_leaving) {
    ReportError(errors, "fleet", parsed.vms.front().line, "every VM is in state leaving");
  }
}

struct drill_targets {
  const name_set& endpoints;
  const name_set& vms;
  const name_set& failure_domains;
  const name_set& services;
};

void CheckDrill(const parsed_document& parsed, const drill_targets& targets, error_list& errors) {
  for (const auto& [step, line] : parsed.drill) {
    const name_set* names = nullptr;
    std::string_view target_kind;
    switch (step.kind) {
      case drill_step_kind::kDrainEndpoint:
        names = &targets.endpoints, target_kind = "endpoint";
        break;
      case drill_step_kind::kDrainVm:
        names = &targets.vms, target_kind = "VM";
        break;
      case drill_step_kind::kDrainFailureDomain:
        names = &targets.failure_domains, target_kind = "failure domain";
        break;
      case drill_step_kind::kProbe:
        names = &targets.services, target_kind = "service";
        break;
    }
    if (!step.target.empty() && !names->contains(step.target)) {
      ReportError(
          errors, "drill", line,
          fmt::format("step '{}': {} '{}' does not exist", step.name, target_kind, step.target));
    }
    if (step.kind == drill_step_kind::kProbe && step.requests == 0) {
      ReportError(errors, "drill", line,
                  fmt::format("step '{}': 'requests' must be at least 1 for a probe", step.name));
    }
  }
}

}  // namespace

void CheckDocument(const parsed_document& parsed, std::vector<document_error>& errors) {
  const name_set models = CheckUniqueNames(parsed.models, "models", "model", errors);
  CheckUniqueNames(parsed.accounts, "accounts", "account", errors);
  const name_set classes = CheckUniqueNames(parsed.classes, "classes", "class", errors);
  const name_set services = CheckUniqueNames(parsed.services, "services", "service", errors);
  const name_set endpoints = CheckUniqueNames(parsed.endpoints, "fleet", "endpoint", errors);
  const name_set vms = CheckUniqueNames(parsed.vms, "fleet", "vm", errors);
  CheckUniqueNames(parsed.drill, "drill", "step", errors);
  name_set failure_domains;
  for (const auto& entry : parsed.endpoints) {
    failure_domains.insert(entry.value.failure_domain);
  }
  CheckUniqueTokens(parsed, errors);
  CheckUniqueAddresses(parsed, errors);
  CheckServices(parsed, models, classes, errors);
  CheckFleet(parsed, services, errors);
  CheckDrill(parsed, {endpoints, vms, failure_domains, services}, errors);
}

}  // namespace tarragon::document
