#ifndef TARRAGON_ROUTING_EVACUATION_LIST_H_
#define TARRAGON_ROUTING_EVACUATION_LIST_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/routing/store_version.h"

namespace tarragon::routing {

/**
 * Failure domains that the operator has ordered to be evacuated: nothing new is sent to their
 * endpoints. Rows may be applied late, repeatedly and in any order; the newest one decides.
 */
class evacuation_list final {
 public:
  /** Applies the row that orders an evacuation. @return whether the domain was in use before. */
  bool Begin(const std::string& failure_domain, const store_version& row_version);

  /** Applies the deletion of a row. @return whether the domain was evacuated before. */
  bool End(const std::string& failure_domain, const store_version& row_version);

  /**
   * Ends the evacuations whose rows a complete read lacks, unless they are newer than the read.
   * @param version the store's version at the time of the read.
   * @param listed failure domains that have a row.
   * @return the domains that are no longer evacuated.
   */
  std::vector<std::string> EndUnlisted(const store_version& version,
                                       const std::vector<std::string>& listed);

  bool IsEvacuated(std::string_view failure_domain) const;

  /** @return number of evacuated failure domains. */
  std::size_t evacuated_count() const { return evacuated_count_; }

  void Validate() const;

 private:
  struct order {
    /** Version of the row, or of its deletion. */
    store_version version;
    bool is_evacuated = false;
  };

  /** Drops the oldest order that has ended if there are too many orders. */
  void LimitSize();

  std::map<std::string, order, std::less<>> orders_;
  std::size_t evacuated_count_ = 0;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_EVACUATION_LIST_H_
