#include "tarragon/net/resumption_ticket.h"

#include <cereal/external/base64.hpp>
#include <cstddef>
#include <nlohmann/json.hpp>

#include "tarragon/base/hash.h"

namespace tarragon::net {

namespace {

// Longer texts are rejected before their HMAC is computed.
constexpr std::size_t kMaxTextBytes = 2048;
constexpr std::size_t kHmacHexBytes = 64;
// Allowed difference between the wall clocks of two VMs.
constexpr std::chrono::milliseconds kMaxClockSkew = std::chrono::minutes(5);

}  // namespace

std::string resumption_ticket::Sign(std::string_view key) const {
  const std::string json =
      nlohmann::json{
          {"r", contents_.request.value},
          {"a", contents_.account},
          {"e", contents_.endpoint},
          {"g", contents_.generation},
          {"c", contents_.request_class},
          {"f", contents_.request_fingerprint.value},
          {"t", contents_.issued.time_since_epoch().count()},
      }
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  std::string text =
      cereal::base64::encode(reinterpret_cast<const unsigned char*>(json.data()), json.size());
  const std::string mac = HmacSha256Hex(key, text);
  return text + "." + mac;
}

std::optional<resumption_ticket> resumption_ticket::ParseAndVerify(
    std::string_view text,
    std::string_view key,
    wall_time_point now,
    std::chrono::milliseconds max_age) {
  const std::size_t dot = text.rfind('.');
  if (text.size() > kMaxTextBytes || dot == std::string_view::npos ||
      text.size() - dot - 1 != kHmacHexBytes) {
    return std::nullopt;
  }
  const std::string_view payload = text.substr(0, dot);
  if (!ConstantTimeEquals(HmacSha256Hex(key, payload), text.substr(dot + 1))) {
    return std::nullopt;
  }
  // The payload is authentic here, so parsing fails only for a ticket of another software version.
  const auto json = nlohmann::json::parse(cereal::base64::decode(std::string(payload)), nullptr,
                                          /*allow_exceptions=*/false);
  fields contents;
  try {
    contents.request.value = json.at("r").get<std::uint64_t>();
    contents.account = json.at("a").get<std::string>();
    contents.endpoint = json.at("e").get<std::string>();
    contents.generation = json.at("g").get<std::string>();
    contents.request_class = json.at("c").get<std::string>();
    contents.request_fingerprint.value = json.at("f").get<std::uint64_t>();
    contents.issued = wall_time_point(std::chrono::milliseconds(json.at("t").get<std::int64_t>()));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  if (now - contents.issued > max_age || contents.issued - now > kMaxClockSkew) {
    return std::nullopt;
  }
  return resumption_ticket(std::move(contents));
}

}  // namespace tarragon::net
