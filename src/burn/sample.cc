#include "tarragon/burn/sample.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace tarragon::burn {

namespace {

// Year 5138: differences of times up to this limit cannot overflow.
constexpr std::int64_t kMaxTimestampMs = 100'000'000'000'000;

}  // namespace

std::string sample::ToLine() const {
  const nlohmann::json line = {
      {"at_ms", at.time_since_epoch().count()}, {"entry", entry}, {"text", text}};
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<sample> sample::Make(std::string_view line) {
  const auto parsed = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  const auto at = parsed.find("at_ms");
  const auto entry = parsed.find("entry");
  const auto text = parsed.find("text");
  if (at == parsed.end() || !at->is_number_integer() || entry == parsed.end() ||
      !entry->is_string() || text == parsed.end() || !text->is_string()) {
    return std::nullopt;
  }
  const auto ms = at->get<std::int64_t>();
  if (ms < 0 || ms > kMaxTimestampMs) {
    return std::nullopt;
  }
  return sample{wall_time_point(std::chrono::milliseconds(ms)), entry->get<std::string>(),
                text->get<std::string>()};
}

}  // namespace tarragon::burn
