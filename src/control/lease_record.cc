#include "tarragon/control/lease_record.h"

#include <nlohmann/json.hpp>

namespace tarragon::control {

std::string lease_record::Encode() const {
  return nlohmann::json{{"holder", holder},
                        {"fencing_number", fencing_number},
                        {"write_number", write_number},
                        {"term_ms", term.count()}}
      .dump();
}

std::optional<lease_record> lease_record::Decode(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("holder") || !json["holder"].is_string()) {
    return std::nullopt;
  }
  const auto number = [&json](const char* key) -> std::optional<std::uint64_t> {
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_unsigned()) {
      return std::nullopt;
    }
    return found->get<std::uint64_t>();
  };
  const auto fencing = number("fencing_number");
  const auto write = number("write_number");
  const auto term = number("term_ms");
  if (!fencing || !write || !term) {
    return std::nullopt;
  }
  return lease_record{json["holder"].get<std::string>(), *fencing, *write,
                      std::chrono::milliseconds(*term)};
}

}  // namespace tarragon::control
