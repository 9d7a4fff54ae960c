#include "tarragon/gateway/version_announcements.h"

#include <fmt/format.h>

#include "tarragon/base/hash.h"

namespace tarragon::gateway {

namespace {

/** Between the service and the version in a row. */
constexpr char kSeparator = '\n';

}  // namespace

std::string EncodeVersion(const routing::software_version& version) {
  return version.service + kSeparator + version.version;
}

std::string AnnouncementKey(const routing::software_version& version) {
  // Names may be longer than the store allows for keys.
  return fmt::format("{}{:016x}", kAnnouncementPrefix, Hash64(EncodeVersion(version)));
}

std::optional<routing::software_version> DecodeVersion(std::string_view text) {
  const std::size_t separator = text.find(kSeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  return routing::software_version{std::string(text.substr(0, separator)),
                                   std::string(text.substr(separator + 1))};
}

bool IsAnnouncement(const table_row& row) {
  return row.key.starts_with(kAnnouncementPrefix);
}

}  // namespace tarragon::gateway
