#include "tarragon/control/rollout_record.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace tarragon::control {

namespace {

constexpr std::array<std::string_view, 3> kStateNames = {"running", "done", "stopped"};

}  // namespace

std::string_view ToString(rollout_state state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string rollout_record::Encode() const {
  return nlohmann::json{{"model", model},         {"version", version}, {"state", ToString(state)},
                        {"converged", converged}, {"engines", engines}, {"failures", failures},
                        {"reason", reason}}
      .dump();
}

std::optional<rollout_record> rollout_record::Decode(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    rollout_record record;
    record.model = json.at("model").get<std::string>();
    record.version = json.at("version").get<std::string>();
    const auto state = std::ranges::find(kStateNames, json.at("state").get<std::string>());
    if (state == kStateNames.end()) {
      return std::nullopt;
    }
    record.state = static_cast<rollout_state>(state - kStateNames.begin());
    record.converged = json.at("converged").get<std::uint32_t>();
    record.engines = json.at("engines").get<std::uint32_t>();
    record.failures = json.at("failures").get<std::uint32_t>();
    record.reason = json.at("reason").get<std::string>();
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace tarragon::control
