#ifndef TARRAGON_ROUTING_SOFTWARE_VERSIONS_H_
#define TARRAGON_ROUTING_SOFTWARE_VERSIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::routing {

/** A version of the software of a service's endpoints. */
struct software_version {
  std::string service;
  std::string version;

  auto operator<=>(const software_version&) const = default;
};

/**
 * Knows which software versions of a service may have produced streams that callers can still take
 * up. A version is announced to all daemons, by a row in the store, before a stream begins at it,
 * and withdrawn once no such stream is left. A service with one announced version needs no record
 * of the version that began a stream.
 */
class software_versions final {
 public:
  /** Time after an endpoint of a version was last listed in which streams may be taken up. */
  static constexpr duration kRetention = std::chrono::seconds(120);

  /** Sets the services with streams that callers may take up. */
  void SetServices(std::set<std::string, std::less<>> services);
  bool HasResumableStreams(std::string_view service) const { return services_.contains(service); }
  const std::set<std::string, std::less<>>& services() const { return services_; }

  /** All announcements that the store has are known. */
  void OnLoaded() { is_loaded_ = true; }
  bool is_loaded() const { return is_loaded_; }

  /** The store has the version's row. */
  void OnAnnounced(time_point now, const software_version& announced);
  /** The store has no row of the version any more. */
  void OnWithdrawn(const software_version& withdrawn);

  /**
   * Marks the endpoints whose versions are announced, and notes which versions are listed. Cheap
   * while neither the list nor the announcements have changed.
   */
  void Apply(time_point now, const endpoint_registry& endpoints);

  /** @return listed versions that the store does not have yet. */
  std::vector<software_version> Unannounced() const;
  /** @return announced versions that may be withdrawn. */
  std::vector<software_version> Expired(time_point now) const;

  /** @return versions of the service that are listed or announced. */
  std::vector<software_version> Known(std::string_view service) const;
  /** @return whether streams of the service may have begun at more than one version. */
  bool IsMixed(std::string_view service) const { return Known(service).size() > 1; }
  std::size_t announced_count() const { return announced_.size(); }

  void Validate() const;

 private:
  std::set<std::string, std::less<>> services_;
  /** Time at which an endpoint of each announced version was listed last. */
  std::map<software_version, time_point> announced_;
  std::set<software_version> listed_;
  std::uint64_t applied_revision_ = 0;
  bool has_changed_ = true;
  bool is_loaded_ = false;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SOFTWARE_VERSIONS_H_
