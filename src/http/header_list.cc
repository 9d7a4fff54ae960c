#include "tarragon/http/header_list.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <iterator>
#include <ranges>

#include "tarragon/base/invariant.h"

namespace tarragon::http {

namespace {

constexpr std::array<std::string_view, 10> kHopByHop = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Content-Length"};

/** Memory that is reserved for the headers of a message. */
constexpr std::size_t kUsualBytes = 512;

/** Sizes before the name and the value of each record. */
using name_size = std::uint16_t;
using value_size = std::uint32_t;
constexpr std::size_t kPrefixBytes = sizeof(name_size) + sizeof(value_size);

bool EndsName(char c) {
  return c == ':' || (c >= '\0' && c <= ' ');
}

char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool LessIgnoringAsciiCase(std::string_view a, std::string_view b) {
  return std::ranges::lexicographical_compare(a, b, {}, ToLowerAscii, ToLowerAscii);
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t";
  const std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

std::vector<std::string_view> SplitList(std::string_view list) {
  std::vector<std::string_view> tokens;
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (const std::string_view token = Trim(list.substr(0, comma)); !token.empty()) {
      tokens.push_back(token);
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return tokens;
}

}  // namespace

bool EqualsIgnoringAsciiCase(std::string_view a, std::string_view b) {
  // Most names that are compared differ in size or in their first character.
  if (a.size() != b.size() || (!a.empty() && ToLowerAscii(a[0]) != ToLowerAscii(b[0]))) {
    return false;
  }
  return std::ranges::equal(a, b, {}, ToLowerAscii, ToLowerAscii);
}

void header_list::iterator::ReadRecord() {
  if (records_.empty()) {
    return;
  }
  name_size name_bytes = 0;
  value_size value_bytes = 0;
  std::memcpy(&name_bytes, records_.data(), sizeof name_bytes);
  std::memcpy(&value_bytes, records_.data() + sizeof name_bytes, sizeof value_bytes);
  const char* const name = records_.data() + kPrefixBytes;
  current_ = {{name, name_bytes}, {name + name_bytes, value_bytes}};
  record_size_ = kPrefixBytes + name_bytes + value_bytes;
}

void header_list::Add(std::string_view name, std::string_view value) {
  TARRAGON_INVARIANT(
      !name.empty() && name.size() <= kMaxNameBytes && std::ranges::none_of(name, EndsName),
      "the name of a header is not a token");
  if (records_.empty()) {
    records_.reserve(kUsualBytes);
  }
  const auto name_bytes = static_cast<name_size>(name.size());
  const auto value_bytes = static_cast<value_size>(value.size());
  std::array<char, kPrefixBytes> prefix{};
  std::memcpy(prefix.data(), &name_bytes, sizeof name_bytes);
  std::memcpy(prefix.data() + sizeof name_bytes, &value_bytes, sizeof value_bytes);
  records_.append(prefix.data(), prefix.size()).append(name);
  const auto value_start = static_cast<std::ptrdiff_t>(records_.size());
  records_.append(value);
  std::replace_if(
      records_.begin() + value_start, records_.end(),
      [](char c) { return c == '\r' || c == '\n' || c == '\0'; }, ' ');
}

void header_list::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

template <typename P>
void header_list::RemoveIf(P&& is_removed) {
  const std::size_t size = records_.size();
  std::size_t kept = 0;
  for (iterator record = begin(); record != end(); ++record) {
    if (is_removed((*record).name)) {
      continue;
    }
    const std::size_t start = size - record.records_.size();
    if (start != kept) {
      // Records only move towards the front, over bytes that have been read.
      std::memmove(records_.data() + kept, records_.data() + start, record.record_size_);
    }
    kept += record.record_size_;
  }
  records_.resize(kept);
}

void header_list::Remove(std::string_view name) {
  RemoveIf([&](std::string_view other) { return EqualsIgnoringAsciiCase(other, name); });
}

std::optional<std::string_view> header_list::Find(std::string_view name) const {
  const auto found = std::find_if(
      begin(), end(), [&](const header_view& h) { return EqualsIgnoringAsciiCase(h.name, name); });
  return found == end() ? std::nullopt : std::optional((*found).value);
}

bool header_list::HasToken(std::string_view name, std::string_view token) const {
  return std::any_of(begin(), end(), [&](const header_view& h) {
    return EqualsIgnoringAsciiCase(h.name, name) &&
           std::ranges::any_of(SplitList(h.value), [&](std::string_view part) {
             return EqualsIgnoringAsciiCase(part, token);
           });
  });
}

void header_list::RemoveHopByHop() {
  std::vector<std::string> named;
  for (const header_view h : *this) {
    if (EqualsIgnoringAsciiCase(h.name, "Connection")) {
      std::ranges::transform(SplitList(h.value), std::back_inserter(named),
                             [](std::string_view token) { return std::string(token); });
    }
  }
  // A list that names many headers may not make the removal quadratic.
  std::ranges::sort(named, LessIgnoringAsciiCase);
  RemoveIf([&named](std::string_view name) {
    return std::ranges::any_of(kHopByHop,
                               [&](std::string_view hop_by_hop) {
                                 return EqualsIgnoringAsciiCase(name, hop_by_hop);
                               }) ||
           std::ranges::binary_search(named, name, LessIgnoringAsciiCase);
  });
}

void header_list::AppendTo(std::string& text) const {
  for (const header_view h : *this) {
    text.append(h.name).append(": ").append(h.value).append("\r\n");
  }
}

std::vector<header> header_list::all() const {
  std::vector<header> headers;
  std::transform(begin(), end(), std::back_inserter(headers), [](const header_view& h) {
    return header{std::string(h.name), std::string(h.value)};
  });
  return headers;
}

}  // namespace tarragon::http
