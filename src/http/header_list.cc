#include "tarragon/http/header_list.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <utility>

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

char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
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
  return std::ranges::equal(a, b, {}, ToLowerAscii, ToLowerAscii);
}

void header_list::Add(std::string name, std::string value) {
  headers_.push_back({std::move(name), std::move(value)});
}

void header_list::Set(std::string name, std::string value) {
  Remove(name);
  Add(std::move(name), std::move(value));
}

void header_list::Remove(std::string_view name) {
  std::erase_if(headers_, [&](const header& h) { return EqualsIgnoringAsciiCase(h.name, name); });
}

const std::string* header_list::Find(std::string_view name) const {
  const auto found = std::ranges::find_if(
      headers_, [&](const header& h) { return EqualsIgnoringAsciiCase(h.name, name); });
  return found == headers_.end() ? nullptr : &found->value;
}

bool header_list::HasToken(std::string_view name, std::string_view token) const {
  return std::ranges::any_of(headers_, [&](const header& h) {
    return EqualsIgnoringAsciiCase(h.name, name) &&
           std::ranges::any_of(SplitList(h.value), [&](std::string_view part) {
             return EqualsIgnoringAsciiCase(part, token);
           });
  });
}

void header_list::RemoveHopByHop() {
  std::vector<std::string> connection_headers;
  for (const header& h : headers_) {
    if (EqualsIgnoringAsciiCase(h.name, "Connection")) {
      std::ranges::transform(SplitList(h.value), std::back_inserter(connection_headers),
                             [](std::string_view token) { return std::string(token); });
    }
  }
  std::ranges::for_each(kHopByHop, [this](std::string_view name) { Remove(name); });
  std::ranges::for_each(connection_headers, [this](const std::string& name) { Remove(name); });
}

void header_list::AppendTo(std::string& text) const {
  for (const header& h : headers_) {
    text.append(h.name).append(": ").append(h.value).append("\r\n");
  }
}

}  // namespace tarragon::http
