#ifndef TARRAGON_GATEWAY_VERSION_ANNOUNCEMENTS_H_
#define TARRAGON_GATEWAY_VERSION_ANNOUNCEMENTS_H_

#include <optional>
#include <string>
#include <string_view>

#include "tarragon/gateway/platform_adapter.h"
#include "tarragon/routing/software_versions.h"

namespace tarragon::gateway {

/** Rows of the table of daemons that announce software versions; other keys are addresses. */
inline constexpr std::string_view kAnnouncementPrefix = "version/";
/** First key after all announcements. */
inline constexpr std::string_view kAnnouncementEnd = "version0";

std::string AnnouncementKey(const routing::software_version& version);
std::string EncodeVersion(const routing::software_version& version);
/** @return empty if the text was not made by `EncodeVersion`. */
std::optional<routing::software_version> DecodeVersion(std::string_view text);
bool IsAnnouncement(const table_row& row);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_VERSION_ANNOUNCEMENTS_H_
