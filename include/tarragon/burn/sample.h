#ifndef TARRAGON_BURN_SAMPLE_H_
#define TARRAGON_BURN_SAMPLE_H_

#include <optional>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"

namespace tarragon::burn {

/** One scrape of one entry. */
struct sample {
  wall_time_point at;
  /** `ip:port`. */
  std::string entry;
  /** Metrics in the text exposition format. */
  std::string text;

  /** @return one line of JSON, without a line break, for a file of saved samples. */
  std::string ToLine() const;

  /** @return empty if the line was not written by `ToLine`. */
  static std::optional<sample> Make(std::string_view line);
};

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_SAMPLE_H_
