#include "emulator/fleet_emulator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::emulator {

namespace {

constexpr std::string_view kEngines = "engines";
constexpr std::string_view kPlain = "plain";

nlohmann::json MakeRoute(std::string_view prefix, std::string_view kind, std::string_view service) {
  return {{"name", prefix},  {"host", "fleet.example"}, {"prefix", prefix},
          {"kind", kind},    {"timeout-ms", 20000},     {"target-latency-ms", 1000},
          {"priority", 0},   {"service", service},      {"max-attempts", 2},
          {"public", false}, {"resumable", false}};
}

/** Every route allows two attempts, so that only its kind keeps a request from running twice. */
nlohmann::json MakeConfig(std::uint64_t version, std::size_t engine_slots) {
  const nlohmann::json report = MakeRoute("/stream-report/", "stream", kEngines);
  nlohmann::json tag = MakeRoute("/stream-tag/", "stream", kEngines);
  tag["resumable"] = true;
  const nlohmann::json commit = MakeRoute("/commit/", "unsafe", kPlain);
  const nlohmann::json engine = {
      {"slots", engine_slots}, {"kv-capacity", 34000}, {"moves", true}, {"backups", true}};
  return {{"version", version},
          {"routes", {report, tag, commit, MakeRoute("/read/", "safe", kPlain)}},
          {"services",
           {{{"name", kEngines}, {"max-connections", 200}, {"engine", engine}},
            {{"name", kPlain}, {"max-connections", 200}}}},
          {"tenants", {{{"name", "shop"}, {"api-keys", {"key"}}}}}};
}

/** Prints the log of a gateway that does not serve, since the test deletes the log's folder. */
void PrintGatewayLog(gateway_child& gateway) {
  const bool exited = gateway.HasExited();
  const std::ifstream log(gateway.log_file());
  fmt::print(stderr, "gateway at {} does not serve; exited: {}, exit status {}; log:\n{}\n",
             gateway.callers_address(), exited, gateway.exit_status(),
             (std::ostringstream() << log.rdbuf()).str());
}

}  // namespace

fleet_emulator::fleet_emulator(fleet_options options)
    : options_(std::move(options)), random_(options_.seed) {
  folder_ = (std::filesystem::temp_directory_path() / "tarragon-fleet-XXXXXX").string();
  folder_ = ::mkdtemp(folder_.data());
  WriteConfig();
  for (std::size_t i = 0; i < options_.engines; ++i) {
    AddEndpoint(std::string(kEngines));
  }
  for (std::size_t i = 0; i < options_.plain_endpoints; ++i) {
    AddEndpoint(std::string(kPlain));
  }
  for (std::size_t i = 0; i < options_.gateways; ++i) {
    gateways_.push_back(std::make_unique<gateway_child>(
        gateway_options{fmt::format("vm-{}", i), fmt::format("domain-{}", i % 3), StoreAddressOf(i),
                        folder_, options_.further_settings}));
    gateways_.back()->Start(i < options_.production_gateways ? gateway_build::kProduction
                                                             : gateway_build::kCurrent);
  }
}

fleet_emulator::~fleet_emulator() {
  gateways_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void fleet_emulator::WriteConfig() {
  config_version_ += 1 + random_() % 5;
  store_.Put("op", "config", MakeConfig(config_version_, options_.engine_slots).dump());
}

std::vector<std::size_t> fleet_emulator::FindInLogs(const std::string& text) const {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    const std::ifstream log(gateways_[i]->log_file());
    if ((std::ostringstream() << log.rdbuf()).str().find(text) != std::string::npos) {
      found.push_back(i);
    }
  }
  return found;
}

std::size_t fleet_emulator::CountInLog(std::size_t gateway_index, const std::string& text) const {
  const std::ifstream log(gateways_.at(gateway_index)->log_file());
  const std::string all = (std::ostringstream() << log.rdbuf()).str();
  std::size_t count = 0;
  for (std::size_t at = all.find(text); at != std::string::npos; at = all.find(text, at + 1)) {
    ++count;
  }
  return count;
}

void fleet_emulator::AddEndpoint(const std::string& service) {
  endpoint_options options;
  options.id = fmt::format("{}-{}", service, ++last_endpoint_);
  options.failure_domain = fmt::format("domain-{}", last_endpoint_ % options_.endpoint_domains);
  options.software_version = software_version_;
  options.seed = random_();
  options.event_interval = options_.event_interval;
  if (service == kPlain) {
    options.faults = options_.plain_faults;
  } else {
    if (engines_.size() < options_.slow_engines) {
      options.event_interval = options_.slow_event_interval;
    }
    options.slots = options_.engine_slots;
    options.crashing_part = options_.crashing_part;
    options.has_unframed_streams = options_.has_unframed_streams;
  }
  auto& group = service == kPlain ? plain_ : engines_;
  group.push_back(
      std::make_unique<endpoint_emulator>(loop_, std::move(options), record_, engines_by_address_));
  for (std::size_t i = 0; i < options_.partitionable_gateways; ++i) {
    group.back()->AddEntrance();
    if (cut_off_.contains(i)) {
      group.back()->SetEntranceOpen(i, false);
    }
  }
  group.back()->on_crash = [this, id = group.back()->id()] { OnEngineCrashed(id); };
  PublishEndpoint(*group.back(), service, /*leaving=*/false);
}

std::string fleet_emulator::StoreAddressOf(std::size_t gateway_index) {
  if (gateway_index >= options_.partitionable_gateways) {
    return store_.address();
  }
  return store_.AddView([this, gateway_index](const std::string& table, std::string value) {
    nlohmann::json entry = nlohmann::json::parse(value, nullptr, /*allow_exceptions=*/false);
    const auto known = entry.is_object() && entry.contains("address")
                           ? engines_by_address_.find(entry["address"])
                           : engines_by_address_.end();
    if (table != "servers" || known == engines_by_address_.end()) {
      return value;
    }
    entry["address"] = known->second->EntranceAddress(gateway_index);
    return entry.dump();
  });
}

void fleet_emulator::SetCutOff(std::size_t gateway_index, bool is_cut_off) {
  TARRAGON_INVARIANT(cut_off_.contains(gateway_index) != is_cut_off, "the gateway is so already");
  if (is_cut_off) {
    cut_off_.insert(gateway_index);
  } else {
    cut_off_.erase(gateway_index);
  }
  for (const auto* group : {&engines_, &plain_}) {
    std::ranges::for_each(*group, [&](const auto& endpoint) {
      endpoint->SetEntranceOpen(gateway_index, !is_cut_off);
    });
  }
}

void fleet_emulator::OnEngineCrashed(const std::string& id) {
  const auto crashed = std::ranges::find(engines_, id, &endpoint_emulator::id);
  if (crashed == engines_.end()) {
    return;
  }
  crashes_.push_back(time_.Now());
  (*crashed)->Crash();
  stopped_.push_back(std::move(*crashed));
  engines_.erase(crashed);
  auto timer = std::make_shared<asio::steady_timer>(loop_, options_.engine_restart);
  timer->async_wait([this, timer, id](const asio::error_code&) {
    store_.Remove("servers", id);
    AddEndpoint(std::string(kEngines));
  });
}

void fleet_emulator::PublishEndpoint(const endpoint_emulator& endpoint,
                                     const std::string& service,
                                     bool leaving) {
  const nlohmann::json entry = {{"service", service},
                                {"address", endpoint.address()},
                                {"zone", endpoint.failure_domain()},
                                {"version", endpoint.software_version()},
                                {"slots", options_.engine_slots},
                                {"state", leaving ? "draining" : "ready"},
                                {"cold-remaining-ms", 0},
                                {"sequence", 1}};
  store_.Put("servers", endpoint.id(), entry.dump());
}

std::unique_ptr<endpoint_emulator> fleet_emulator::RemoveRandomEngine() {
  const auto index = static_cast<std::ptrdiff_t>(random_() % engines_.size());
  auto taken = std::move(*(engines_.begin() + index));
  engines_.erase(engines_.begin() + index);
  return taken;
}

std::string fleet_emulator::AddEngine() {
  AddEndpoint(std::string(kEngines));
  return engines_.back()->id();
}

void fleet_emulator::ReplaceEngine(std::chrono::milliseconds notice) {
  AddEngine();
  stopped_.push_back(RemoveRandomEngine());
  endpoint_emulator* const leaving = stopped_.back().get();
  PublishEndpoint(*leaving, std::string(kEngines), /*leaving=*/true);
  auto timer = std::make_shared<asio::steady_timer>(loop_, notice);
  timer->async_wait([this, timer, leaving](const asio::error_code&) {
    leaving->Crash();
    store_.Remove("servers", leaving->id());
  });
}

void fleet_emulator::PublishPlain(std::size_t index, bool leaving) {
  PublishEndpoint(*plain_.at(index), std::string(kPlain), leaving);
}

void fleet_emulator::PublishEngine(std::size_t index, bool leaving) {
  PublishEndpoint(*engines_.at(index), std::string(kEngines), leaving);
}

std::string fleet_emulator::ReincarnatePlain(std::size_t index) {
  endpoint_emulator& endpoint = *plain_.at(index);
  store_.Remove("servers", endpoint.id());
  endpoint.Reincarnate(fmt::format("{}-{}", kPlain, ++last_endpoint_));
  PublishPlain(index, /*leaving=*/false);
  return endpoint.id();
}

void fleet_emulator::CrashEngine() {
  AddEndpoint(std::string(kEngines));
  stopped_.push_back(RemoveRandomEngine());
  stopped_.back()->Crash();
  store_.Remove("servers", stopped_.back()->id());
}

void fleet_emulator::StopEngines(const std::string& software_version) {
  for (std::size_t i = engines_.size(); i-- > 0;) {
    if (engines_[i]->software_version() == software_version) {
      store_.Remove("servers", engines_[i]->id());
      StopEngine(i);
    }
  }
}

void fleet_emulator::StopEngine(std::size_t index) {
  stopped_.push_back(std::move(engines_.at(index)));
  engines_.erase(engines_.begin() + static_cast<std::ptrdiff_t>(index));
  stopped_.back()->Crash();
}

void fleet_emulator::RestartGateways() {
  std::ranges::for_each(gateways_, [](const auto& gateway) { gateway->Kill(); });
  std::ranges::for_each(gateways_, [](const auto& gateway) { gateway->Start(); });
}

std::shared_ptr<caller> fleet_emulator::TakeUp(const caller& broken, std::size_t gateway_index) {
  std::shared_ptr<caller> added = MakeRequest(broken.kind(), broken.events());
  added->TakeUp(broken);
  added->Send(gateway(gateway_index).callers_address());
  return added;
}

std::shared_ptr<caller> fleet_emulator::SendRequest(call_kind kind,
                                                    std::uint64_t events,
                                                    std::size_t gateway_index,
                                                    const std::string& prompt_parts) {
  std::shared_ptr<caller> added = MakeRequest(kind, events);
  added->SetPromptParts(prompt_parts);
  added->Send(gateway(gateway_index).callers_address());
  return added;
}

std::shared_ptr<caller> fleet_emulator::MakeRequest(call_kind kind, std::uint64_t events) {
  callers_.push_back(
      std::make_shared<caller>(loop_, fmt::format("{:016x}", random_()), kind, events));
  return callers_.back();
}

void fleet_emulator::RunFor(std::chrono::milliseconds time) {
  loop_.restart();
  loop_.run_for(time);
}

bool fleet_emulator::RunUntil(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout) {
  constexpr std::chrono::milliseconds kStep{5};
  const time_point end = time_.Now() + timeout;
  bool fulfilled = condition();
  while (!fulfilled && time_.Now() < end) {
    RunFor(kStep);
    fulfilled = condition();
  }
  return fulfilled;
}

bool fleet_emulator::WaitUntilServing() {
  constexpr std::chrono::milliseconds kTimeout{20000};
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    std::shared_ptr<caller> read;
    const bool serves = RunUntil(
        [&] {
          if (!read || (read->is_done() && !read->is_served())) {
            read = SendRequest(call_kind::kRead, 0, i);
          }
          return read->is_served();
        },
        kTimeout);
    if (!serves) {
      PrintGatewayLog(*gateways_[i]);
      return false;
    }
  }
  return true;
}

std::string fleet_emulator::DescribeViolations() const {
  std::string violations;
  const auto add_violation = [&violations](const caller& request, std::string_view violation) {
    violations += fmt::format("request {} of kind {}: {}\n", request.id(),
                              static_cast<int>(request.kind()), violation);
  };
  for (const auto& sent : callers_) {
    const int runs = record_.RunCount(sent->id());
    if (const std::string violation = sent->FindViolation(); !violation.empty()) {
      add_violation(*sent, violation);
    }
    const bool once = sent->kind() == call_kind::kCommit || sent->kind() == call_kind::kReport;
    if (once && runs > 1) {
      add_violation(*sent, fmt::format("ran {} times", runs));
    }
    if (sent->is_refused() && sent->kind() != call_kind::kRead && runs > 0) {
      add_violation(*sent, "was refused, but has run");
    }
  }
  for (const std::string& request : record_.ConcurrentRuns()) {
    violations += fmt::format("request {}: ran at two endpoints at once\n", request);
  }
  return violations;
}

}  // namespace tarragon::emulator
