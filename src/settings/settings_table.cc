#include "settings/settings_table.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>
#include <utility>

namespace tarragon::settings {

namespace {

constexpr std::string_view kExpectedAddress =
    "expected a numeric IP address and a port, as ip:port";

bool IsIp(const std::string& text, int family) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string ip(text.substr(0, colon));
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  const bool valid_ip = bracketed ? IsIp(ip.substr(1, ip.size() - 2), AF_INET6) : IsIp(ip, AF_INET);
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  return valid_ip && parsed.ec == std::errc() && parsed.ptr == port_text.data() + port_text.size();
}

int LineOfNode(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

}  // namespace

void error_list::Add(int line, std::string_view key, std::string_view expected) {
  messages_.push_back(fmt::format("{}:{}: {}: {}", file_, line, key, expected));
}

settings_table::settings_table(const toml::table* table, std::string path, error_list& errors)
    : table_(table), path_(std::move(path)), errors_(errors) {}

int settings_table::line() const {
  return table_ == nullptr ? 0 : LineOfNode(*table_);
}

bool settings_table::Has(std::string_view key) const {
  return table_ != nullptr && table_->contains(key);
}

int settings_table::LineOf(std::string_view key) const {
  return Has(key) ? LineOfNode(*table_->get(key)) : line();
}

std::string settings_table::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

void settings_table::ReportError(std::string_view key, std::string_view expected) {
  errors_.Add(LineOf(key), PathOf(key), expected);
}

const toml::node* settings_table::Find(std::string_view key,
                                       key_presence presence,
                                       std::string_view expected) {
  known_keys_.emplace(key);
  const toml::node* node = table_ == nullptr ? nullptr : table_->get(key);
  if (node == nullptr && presence == key_presence::kRequired) {
    ReportError(key, fmt::format("missing; {}", expected));
  }
  return node;
}

void settings_table::String(std::string_view key, key_presence presence, std::string& value) {
  constexpr std::string_view kExpected = "expected a string that is not empty";
  const toml::node* node = Find(key, presence, kExpected);
  if (node == nullptr) {
    return;
  }
  const auto* text = node->as_string();
  if (text == nullptr || text->get().empty()) {
    ReportError(key, kExpected);
    return;
  }
  value = text->get();
}

void settings_table::Address(std::string_view key, key_presence presence, std::string& value) {
  const toml::node* node = Find(key, presence, kExpectedAddress);
  if (node == nullptr) {
    return;
  }
  const auto* text = node->as_string();
  if (text == nullptr || !IsAddress(text->get())) {
    ReportError(key, kExpectedAddress);
    return;
  }
  value = text->get();
}

void settings_table::StringList(std::string_view key, std::vector<std::string>& value) {
  constexpr std::string_view kExpected = "expected a list of strings";
  const toml::node* node = Find(key, key_presence::kOptional, kExpected);
  if (node == nullptr) {
    return;
  }
  const toml::array* list = node->as_array();
  if (list == nullptr ||
      !std::ranges::all_of(*list, [](const toml::node& item) { return item.is_string(); })) {
    ReportError(key, kExpected);
    return;
  }
  value.clear();
  for (const toml::node& item : *list) {
    value.push_back(item.as_string()->get());
  }
}

void settings_table::AddressList(std::string_view key, std::vector<std::string>& value) {
  StringList(key, value);
  if (!std::ranges::all_of(value, IsAddress)) {
    ReportError(key, fmt::format("in each item, {}", kExpectedAddress));
  }
}

void settings_table::Bool(std::string_view key, bool& value) {
  constexpr std::string_view kExpected = "expected true or false";
  const toml::node* node = Find(key, key_presence::kOptional, kExpected);
  if (node == nullptr) {
    return;
  }
  if (const auto* flag = node->as_boolean()) {
    value = flag->get();
  } else {
    ReportError(key, kExpected);
  }
}

void settings_table::Integer(std::string_view key,
                             std::int64_t min,
                             std::int64_t max,
                             std::int64_t& value) {
  const std::string expected = fmt::format("expected an integer from {} to {}", min, max);
  const toml::node* node = Find(key, key_presence::kOptional, expected);
  if (node == nullptr) {
    return;
  }
  const auto* number = node->as_integer();
  if (number == nullptr || number->get() < min || number->get() > max) {
    ReportError(key, expected);
    return;
  }
  value = number->get();
}

void settings_table::Number(std::string_view key,
                            key_presence presence,
                            double min,
                            double max,
                            double& value) {
  const std::string expected = fmt::format("expected a number from {} to {}", min, max);
  const toml::node* node = Find(key, presence, expected);
  if (node == nullptr) {
    return;
  }
  const std::optional<double> number = node->value<double>();
  // Negated comparison, so that NaN is rejected.
  if (!number || !(*number >= min && *number <= max)) {
    ReportError(key, expected);
    return;
  }
  value = *number;
}

std::vector<const toml::table*> settings_table::Tables(std::string_view key) {
  constexpr std::string_view kExpected = "expected a list of tables";
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(key, key_presence::kOptional, kExpected);
  if (node == nullptr) {
    return tables;
  }
  const toml::array* list = node->as_array();
  if (list == nullptr ||
      !std::ranges::all_of(*list, [](const toml::node& item) { return item.is_table(); })) {
    ReportError(key, kExpected);
    return tables;
  }
  std::ranges::transform(*list, std::back_inserter(tables),
                         [](const toml::node& item) { return item.as_table(); });
  return tables;
}

void settings_table::Milliseconds(std::string_view key,
                                  std::int64_t min,
                                  std::int64_t max,
                                  std::chrono::milliseconds& value) {
  std::int64_t number = value.count();
  Integer(key, min, max, number);
  value = std::chrono::milliseconds(number);
}

void settings_table::Choice(std::string_view key,
                            const std::vector<std::string_view>& names,
                            std::size_t& index) {
  const std::string expected = fmt::format("expected one of {}", fmt::join(names, ", "));
  const toml::node* node = Find(key, key_presence::kOptional, expected);
  if (node == nullptr) {
    return;
  }
  const auto* text = node->as_string();
  const auto found = text == nullptr ? names.end() : std::ranges::find(names, text->get());
  if (found == names.end()) {
    ReportError(key, expected);
    return;
  }
  index = static_cast<std::size_t>(found - names.begin());
}

const toml::table* settings_table::Table(std::string_view key) {
  constexpr std::string_view kExpected = "expected a table";
  const toml::node* node = Find(key, key_presence::kOptional, kExpected);
  if (node == nullptr) {
    return nullptr;
  }
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    ReportError(key, kExpected);
  }
  return table;
}

void settings_table::ReportUnknownKeys() {
  if (table_ == nullptr) {
    return;
  }
  for (const auto& [key, node] : *table_) {
    if (!known_keys_.contains(key.str())) {
      ReportError(key.str(),
                  fmt::format("unknown key; expected one of {}", fmt::join(known_keys_, ", ")));
    }
  }
}

}  // namespace tarragon::settings
