#ifndef TARRAGON_TOOLS_TARRAGON_BURN_SCRAPER_H_
#define TARRAGON_TOOLS_TARRAGON_BURN_SCRAPER_H_

#include <chrono>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/burn/sample.h"

namespace tarragon::burn {

/** Scrapes the `/metrics` endpoint of entries. */
class scraper final {
 public:
  /**
   * @param entries addresses, as `ip:port`.
   * @param metrics name prefixes of the metrics to keep.
   * @param timeout limit for the connect and for each read.
   */
  scraper(std::vector<std::string> entries,
          std::vector<std::string> metrics,
          std::chrono::milliseconds timeout,
          const clock& time);

  /** @return one sample per entry that responded; failed scrapes are logged. */
  std::vector<sample> Scrape() const;

 private:
  const std::vector<std::string> entries_;
  const std::vector<std::string> metrics_;
  const std::chrono::milliseconds timeout_;
  const clock& time_;
};

}  // namespace tarragon::burn

#endif  // TARRAGON_TOOLS_TARRAGON_BURN_SCRAPER_H_
